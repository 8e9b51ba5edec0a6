package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import reeldeal.config.AdministrativeOverridesFile;
import reeldeal.config.BrokerConfig;
import reeldeal.core.Event;
import reeldeal.core.WallClock;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.endpoints.EndpointView;
import reeldeal.fleet.FleetView;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;
import reeldeal.zones.DepartureStore;
import reeldeal.zones.DnsServer;
import reeldeal.zones.Notifier;
import reeldeal.zones.PeerLink;
import reeldeal.zones.ZoneService;
import reeldeal.zones.ZonesConfig;

/**
 * Connects the DNS zones, and the endpoint list built from them, to the broker. Runs on the state
 * loop.
 */
final class ZoneWiring {
    private final EventLoopGroup stateGroup;
    private final ZonesConfig config;
    private final EndpointFeed feed;
    private final ZoneService service;
    private final List<Event.EndpointsChanged> undelivered = new ArrayList<>();
    private Consumer<Event> eventConsumer;
    private Map<String, EndpointView.AdministrativeOverride> fileOverrides = Map.of();
    private Set<String> drainedSearchers = Set.of();
    private Set<String> drainedInStaleCopy = Set.of();

    /** Creates the wiring for a store that is not started yet. */
    ZoneWiring(EventLoopGroup stateGroup, StoreNode store, ZonesConfig config) {
        this.stateGroup = stateGroup;
        this.config = config;
        List<String> sources = new ArrayList<>();
        config.zones().stream()
                .filter(ZonesConfig.Entry::searchers)
                .forEach(zone -> sources.add(zone.origin()));
        Set<String> awaitedSources = new LinkedHashSet<>(sources);
        sources.add(EndpointFeed.DISCOVERY);
        DepartureStore departures = new DepartureStore(store, stateGroup.next(), BrokerServer::log);
        feed =
                new EndpointFeed(
                        stateGroup.next(),
                        new EndpointView(config.rules(), sources),
                        awaitedSources,
                        WallClock::now,
                        this::deliver,
                        BrokerServer::log,
                        departures::save);
        Notifier notifier =
                new Notifier(
                        stateGroup,
                        stateGroup.next(),
                        config.keys(),
                        System::currentTimeMillis,
                        BrokerServer::log);
        followDrains(store);
        service =
                new ZoneService(
                        config,
                        store,
                        stateGroup.next(),
                        PeerLink.connector(stateGroup),
                        notifier,
                        System::currentTimeMillis,
                        feed,
                        departures,
                        BrokerServer::log);
        readOverrides();
    }

    private void deliver(Event.EndpointsChanged event) {
        if (eventConsumer == null) {
            undelivered.add(event);
        } else {
            eventConsumer.accept(event);
        }
    }

    /**
     * Starts the DNS server, and passes endpoint changes to {@code consumer} from now on, first
     * those collected so far.
     */
    InetSocketAddress start(Consumer<Event> consumer) throws Exception {
        DnsServer server =
                new DnsServer(
                        stateGroup,
                        service,
                        config.maxConnections(),
                        config.idleMs(),
                        BrokerServer::log);
        InetSocketAddress bound =
                StartupRetry.call("dns: listening", () -> server.start(config.listen()));
        BrokerServer.log("dns on " + bound);
        stateGroup
                .next()
                .submit(
                        () -> {
                            eventConsumer = consumer;
                            undelivered.forEach(consumer);
                            undelivered.clear();
                        })
                .sync();
        return bound;
    }

    /** Passes discovery's list to the endpoint feed, as one of its sources. */
    void onDiscovery(Event.EndpointsChanged event) {
        stateGroup.next().execute(() -> feed.updateFromDiscovery(event));
    }

    /**
     * Reads the file of administrative overrides. An invalid or unreadable file is logged and
     * changes nothing.
     */
    void readOverrides() {
        if (config.overridesFile() == null) {
            return;
        }
        try {
            Map<String, EndpointView.AdministrativeOverride> overrides =
                    AdministrativeOverridesFile.read(config.overridesFile());
            stateGroup
                    .next()
                    .execute(
                            () -> {
                                fileOverrides = overrides;
                                feed.setOverrides(fileOverrides, drainedSearchers);
                            });
            BrokerServer.log("members: " + overrides.size() + " administrative overrides read");
        } catch (BrokerConfig.InvalidConfigException | IOException e) {
            BrokerServer.log("members: administrative overrides not read: " + e.getMessage());
        }
    }

    /**
     * Applies the fleet's committed drains of searchers as overrides. Subscribed before the zone
     * service, so that a drain is applied before any endpoint list that it affects is published.
     * Until this node is current, the drains in its stale copy count too, since the log that is not
     * yet applied may contain them.
     */
    private void followDrains(StoreNode store) {
        String prefix = FleetView.drainKey(FleetView.Kind.SEARCHER, "");
        store.onChange(
                changes -> {
                    if (changes.stream().anyMatch(change -> change.key().startsWith(prefix))) {
                        updateDrained(
                                drainedNames(prefix, store.valuesUnder(prefix)),
                                drainedInStaleCopy);
                    }
                });
        store.whenServingStale(
                staleCopy ->
                        updateDrained(
                                drainedNames(prefix, store.valuesUnder(prefix)),
                                drainedNames(prefix, staleCopy.valuesUnder(prefix))));
        store.whenCurrent(
                () -> updateDrained(drainedNames(prefix, store.valuesUnder(prefix)), Set.of()));
    }

    private static Set<String> drainedNames(
            String prefix, Map<String, KeyValueState.Value> drains) {
        return drains.keySet().stream()
                .map(key -> key.substring(prefix.length()))
                .collect(Collectors.toSet());
    }

    private void updateDrained(Set<String> current, Set<String> inStaleCopy) {
        drainedInStaleCopy = inStaleCopy;
        Set<String> combined = new HashSet<>(current);
        combined.addAll(inStaleCopy);
        if (!combined.equals(drainedSearchers)) {
            drainedSearchers = combined;
            feed.setOverrides(fileOverrides, drainedSearchers);
        }
    }

    /**
     * Returns the endpoint list with the reason of each entry's state. Must be called on the state
     * loop.
     */
    List<EndpointView.Entry> view() {
        return feed.entries();
    }
}
