package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import reeldeal.core.Event;
import reeldeal.core.WallClock;
import reeldeal.decision.ServerStatsSnapshot.ServerStats;
import reeldeal.fleet.recovery.StateTrustPolicy;
import reeldeal.fleet.takeover.ServerStatsExchange;
import reeldeal.fleet.takeover.ServerStatsExchange.BrokerStats;
import reeldeal.fleet.takeover.ServerStatsExchange.SharedServerStats;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;

/**
 * Shares statistics of searchers between brokers through the store. A broker imports what others
 * have published, and publishes its own periodically and when it stops. Runs on the state loop.
 */
final class ServerStatsSharing {
    private static final long MAX_AGE_MS = StateTrustPolicy.EJECTIONS.maxAgeMs();
    private static final long MIN_PUBLISH_INTERVAL_MS = 30_000;
    private static final int CHECK_INTERVAL_MS = 1_000;
    private static final String EJECTIONS = "ejections";
    private static final String RELATIVE_LATENCIES = "paces";

    private final EventLoopGroup stateGroup;
    private final StoreNode store;
    private final BrokerServer broker;
    private final Set<String> sharedKinds;
    private final ServerStatsExchange exchange = new ServerStatsExchange(MIN_PUBLISH_INTERVAL_MS);

    /**
     * Creates the sharing of a broker that does not serve yet. {@code sharedKinds} has the kinds of
     * statistics to publish, by their names in the configuration.
     */
    ServerStatsSharing(
            EventLoopGroup stateGroup,
            StoreNode store,
            BrokerServer broker,
            Set<String> sharedKinds) {
        this.stateGroup = stateGroup;
        this.store = store;
        this.broker = broker;
        this.sharedKinds = sharedKinds;
    }

    /** Imports the published statistics, and starts publishing this broker's own. */
    void start() throws InterruptedException {
        List<BrokerStats> published = stateGroup.next().submit(this::readPublished).sync().getNow();
        Map<String, Event.ImportedServerStats> imported = new TreeMap<>();
        ServerStatsExchange.importFor(store.node(), published, WallClock.now(), MAX_AGE_MS)
                .forEach((name, stats) -> imported.put(name, toEvent(stats)));
        if (!imported.isEmpty()) {
            BrokerServer.log("imported published statistics of searchers " + imported.keySet());
            broker.submitEvent(new Event.ServerStatsImported(imported));
        }
        broker.shareStats();
        stateGroup
                .next()
                .scheduleAtFixedRate(
                        () -> publish(false),
                        CHECK_INTERVAL_MS,
                        CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Publishes this broker's statistics one last time, since the broker stops. */
    void stop() {
        stateGroup.next().execute(() -> publish(true));
    }

    private List<BrokerStats> readPublished() {
        List<BrokerStats> published = new ArrayList<>();
        Map<String, KeyValueState.Value> values = store.valuesUnder(ServerStatsExchange.ROOT);
        values.forEach(
                (key, value) -> {
                    String name = key.substring(ServerStatsExchange.ROOT.length());
                    published.add(ServerStatsExchange.parse(name, value.text()));
                });
        return published;
    }

    private static Event.ImportedServerStats toEvent(SharedServerStats stats) {
        return new Event.ImportedServerStats(
                stats.startedAtMs(),
                new ServerStats(stats.ejected(), stats.unresponsive(), stats.relativeLatency()));
    }

    private void publish(boolean stopping) {
        Map<String, SharedServerStats> ownStats = new TreeMap<>();
        broker.sharedStats()
                .forEach(
                        (name, observed) -> {
                            SharedServerStats stats = toShared(observed);
                            if (stats.ejected() || stats.relativeLatency() > 1) {
                                ownStats.put(name, stats);
                            }
                        });
        String value = exchange.takeValueToWrite(WallClock.now(), ownStats, stopping);
        if (value != null) {
            Change change = new Change(ServerStatsExchange.ROOT + store.node(), value);
            store.submit(List.of(), List.of(change), result -> {});
        }
    }

    private SharedServerStats toShared(Event.ImportedServerStats observed) {
        boolean ejected = sharedKinds.contains(EJECTIONS) && observed.stats().ejected();
        double latency =
                sharedKinds.contains(RELATIVE_LATENCIES) ? observed.stats().relativeLatency() : 1;
        return new SharedServerStats(
                (long) observed.startedMs(),
                ejected,
                ejected && observed.stats().unresponsive(),
                latency);
    }
}
