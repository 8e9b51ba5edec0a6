package reeldeal.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The fake searchers of a scenario, which a zone lists. Used by the thread of the scenario.
 * Searchers report an overload from their own threads.
 */
final class SearcherFleet implements AutoCloseable {
    private static final int CELLS = 4;
    private static final int SHORTEST_SERVICE_MS = 3;
    private static final int SERVICE_JITTER_MS = 5;
    private static final double SLOW_START_SHARE = 0.2;
    private static final double OVERLOAD_FACTOR = 2.5;
    private static final int OVERLOAD_WINDOW_MS = 3_000;
    private static final int DOWN_AFTER_OVERLOAD_MS = 3_000;
    private static final int SHORTEST_OUTAGE_MS = 200;
    private static final int UPDATE_TIMEOUT_MS = 1_500;

    private final History history;
    private final List<FakeSearcher> searchers = new ArrayList<>();
    private final IdempotencyKeys keys;
    private final Map<FakeSearcher, Long> restartAt = new ConcurrentHashMap<>();
    private final Set<FakeSearcher> unpublishedStarts = new HashSet<>();

    /** Starts all searchers of a scenario. */
    SearcherFleet(Scenario scenario, SplittableRandom random, History history) throws IOException {
        this.history = history;
        Scenario.KeyedRequests keyed = scenario.load().keyed();
        keys =
                new IdempotencyKeys(
                        keyed.windowMs(),
                        (searcher, run) -> history.add(nameOf(searcher), "run", run));
        for (int i = 1; i <= scenario.fleet().searchers(); i++) {
            String name = "s" + i;
            int serviceMs =
                    keyed.serviceMs() > 0
                            ? keyed.serviceMs()
                            : SHORTEST_SERVICE_MS + random.nextInt(SERVICE_JITTER_MS);
            FakeSearcher searcher =
                    new FakeSearcher(serviceMs, part -> history.add(name, "part", part), keys);
            searchers.add(searcher);
            if (scenario.power().enabled()) {
                limitCapacity(searcher, name, scenario.power());
            }
        }
    }

    private void limitCapacity(FakeSearcher searcher, String name, Scenario.PowerLoss power) {
        SlowStartCapacity.Model capacity =
                new SlowStartCapacity.Model(
                        power.capacityPerSecond(),
                        power.slowStartMs(),
                        SLOW_START_SHARE,
                        OVERLOAD_FACTOR,
                        OVERLOAD_WINDOW_MS);
        Runnable onOverload =
                () -> {
                    history.add(name, "fell", "");
                    restartAt.put(searcher, history.elapsedMs() + DOWN_AFTER_OVERLOAD_MS);
                };
        searcher.limitCapacity(capacity, onOverload, () -> history.add(name, "conn", ""));
    }

    /** Returns the zone of the searcher or node with a number. */
    static String zoneOf(int number) {
        return number % 2 == 0 ? "a" : "b";
    }

    private String nameOf(FakeSearcher searcher) {
        return "s" + numberOf(searcher);
    }

    private int numberOf(FakeSearcher searcher) {
        return searchers.indexOf(searcher) + 1;
    }

    /** Returns the port of a searcher. Searchers are numbered from 1. */
    int port(int number) {
        return searchers.get(number - 1).port();
    }

    /** Returns the records of the zone file that lists all searchers. */
    String zoneRecords() {
        StringBuilder zone =
                new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 1 86400 30\n@ NS ns\n");
        for (int number = 1; number <= searchers.size(); number++) {
            String name = "s" + number;
            zone.append("_searcher._tcp SRV 0 0 ")
                    .append(port(number))
                    .append(' ')
                    .append(name)
                    .append('\n');
            zone.append(name).append(" A 127.0.0.1\n");
            zone.append(name).append(" TXT ").append(attributes(number)).append('\n');
        }
        return zone.toString();
    }

    private static String attributes(int number) {
        return "cell=" + number % CELLS + " zone=" + zoneOf(number) + " kind=std";
    }

    /**
     * Stops all searchers, or those of one zone if {@code zone} is not empty, as a power loss
     * would. Each restarts after the shortest outage plus a random time below {@code withinMs}.
     */
    void losePower(String zone, long withinMs, SplittableRandom random) throws IOException {
        for (FakeSearcher searcher : searchers) {
            if (zone.isEmpty() || zone.equals(zoneOf(numberOf(searcher)))) {
                searcher.stop();
                long outageMs = SHORTEST_OUTAGE_MS + random.nextLong(Math.max(1, withinMs));
                restartAt.put(searcher, history.elapsedMs() + outageMs);
            }
        }
    }

    /** Makes a random searcher forget the idempotency keys that it has served. */
    void forgetKeys(SplittableRandom random) {
        FakeSearcher searcher = searchers.get(random.nextInt(searchers.size()));
        history.add(nameOf(searcher), "forget", "");
        keys.forget(searcher);
    }

    /** Restarts the searchers that are due, and publishes the time of each restart in the zone. */
    void supervise(Collection<BrokerProcess> brokers) throws IOException {
        for (Map.Entry<FakeSearcher, Long> due : Map.copyOf(restartAt).entrySet()) {
            if (history.elapsedMs() >= due.getValue()) {
                restartAt.remove(due.getKey());
                due.getKey().restart();
                history.add(nameOf(due.getKey()), "up", "");
                unpublishedStarts.add(due.getKey());
            }
        }
        unpublishedStarts.removeIf(searcher -> publishStart(searcher, brokers));
    }

    /** Returns whether all searchers run and the zone lists the time of each restart. */
    boolean isHealed() {
        return restartAt.isEmpty() && unpublishedStarts.isEmpty();
    }

    /**
     * Publishes the start time of a searcher in the zone, as the agent on a searcher's host does.
     * Returns whether a node has accepted the update.
     */
    private boolean publishStart(FakeSearcher searcher, Collection<BrokerProcess> brokers) {
        String name = nameOf(searcher);
        byte[] update =
                ZoneClient.update(
                        NodeFiles.ORIGIN + ".",
                        List.of(
                                "del " + name + " TXT",
                                "add "
                                        + name
                                        + " 60 TXT "
                                        + attributes(numberOf(searcher))
                                        + " since_ms="
                                        + searcher.startedAt()));
        for (BrokerProcess broker : brokers) {
            if (broker.isServing()) {
                try (ZoneClient client = new ZoneClient(broker.dnsPort)) {
                    client.setTimeoutMs(UPDATE_TIMEOUT_MS);
                    history.add(
                            name, "listing",
                            ""); // recorded before the update: it may take effect at once
                    client.send(update);
                    client.read();
                    history.add(name, "listed", "since=" + searcher.startedAt());
                    return true;
                } catch (IOException e) {
                    return false; // the store has no majority yet; retried by the next supervise()
                }
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        for (FakeSearcher searcher : searchers) {
            searcher.close();
        }
    }
}
