package reeldeal.zones;

import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.core.Event;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneFile;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.endpoints.EndpointView;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/** Tests what a node does with its copy of a secondary zone while it does not reach its group. */
public class StaleZoneTest {
    private static final String ORIGIN = "fleet.test.";
    private static final long EXPIRE_S = 100;
    private static final String ZONE =
            "$TTL 60\n@ SOA ns ops 1 3600 1 "
                    + EXPIRE_S
                    + " 30\n@ NS ns\n_searcher._tcp SRV 0 0 8000 s0\n"
                    + "s0 A 127.0.0.1\ns0 TXT cell=0\n";

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void aCopyThatHasNotExpiredIsUsed() throws Exception {
        assertEquals(Set.of("s0." + ORIGIN), readyAfterALonelyStart("good", 0));
    }

    /** Guards against searchers of an expired zone that serve again from the copy on disk. */
    @Test
    public void aCopyThatWasExpiredIsNotUsed() throws Exception {
        assertEquals(Set.of(), readyAfterALonelyStart("expired", 0));
    }

    /** Guards against the same if the zone's time ended while no node ran. */
    @Test
    public void aCopyThatExpiredInTheMeantimeIsNotUsed() throws Exception {
        assertEquals(Set.of(), readyAfterALonelyStart("good", EXPIRE_S * 1_000));
    }

    /**
     * Lets a group commit the zone, starts one of its nodes alone, and returns the searchers in its
     * first list.
     */
    private Set<String> readyAfterALonelyStart(String state, long ageMs) throws Exception {
        Path path = folder.getRoot().toPath();
        try (StoreGroup group = new StoreGroup(path)) {
            group.start(group.stores.keySet());
            for (StoreNode store : group.stores.values()) {
                StoreGroup.await(store, group.loop, StoreNode::isCurrent);
            }
            StoreNode leader = group.stores.get(group.leader());
            long confirmedAt = System.currentTimeMillis() - ageMs;
            List<Change> changes = zoneChanges(confirmedAt + " " + state);
            group.loop.submit(() -> leader.write(changes, result -> {})).sync();
            for (StoreNode store : group.stores.values()) {
                StoreGroup.await(store, group.loop, s -> s.get(ZoneKeys.stateKey(ORIGIN)) != null);
            }
        }
        try (StoreGroup group = new StoreGroup(path)) {
            List<Event.EndpointsChanged> events = new CopyOnWriteArrayList<>();
            createService(group, group.stores.get("a"), events);
            group.start(List.of("a"));
            StoreGroup.await(group.stores.get("a"), group.loop, store -> !events.isEmpty());
            Set<String> ready = new HashSet<>();
            events.get(0).entries().stream()
                    .filter(searcher -> searcher.state() == EndpointState.READY)
                    .forEach(searcher -> ready.add(searcher.name()));
            return ready;
        }
    }

    private static List<Change> zoneChanges(String state) throws Exception {
        List<Change> changes = new ArrayList<>();
        Iterator<Zone.OwnedRrSet> sets = ZoneFile.parse("zone", ZONE, ORIGIN, null).sets();
        while (sets.hasNext()) {
            Zone.OwnedRrSet set = sets.next();
            changes.add(
                    new Change(
                            ZoneKeys.recordSetKey(ORIGIN, 1, set.name(), set.type()),
                            ZoneKeys.encode(set.set())));
        }
        changes.add(new Change(ZoneKeys.headKey(ORIGIN), "1"));
        changes.add(new Change(ZoneKeys.stateKey(ORIGIN), state));
        return changes;
    }

    private static void createService(
            StoreGroup group, StoreNode store, List<Event.EndpointsChanged> events) {
        InetSocketAddress primary = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        ZonesConfig config =
                new ZonesConfig(
                        null,
                        List.of(
                                ZoneFixture.secondary(
                                        ORIGIN, List.of(new ZonesConfig.Peer(primary, null)))),
                        Map.of(),
                        1,
                        1_000,
                        EndpointView.Rules.DEFAULT,
                        null);
        DepartureStore departures = new DepartureStore(store, group.loop, line -> {});
        EndpointFeed feed =
                new EndpointFeed(
                        group.loop,
                        new EndpointView(
                                EndpointView.Rules.DEFAULT,
                                List.of(ORIGIN, EndpointFeed.DISCOVERY)),
                        Set.of(ORIGIN),
                        System::currentTimeMillis,
                        events::add,
                        line -> {},
                        departures::save);
        new ZoneService(
                config,
                store,
                group.loop,
                PeerLink.connector(group.eventLoops),
                new Notifier(
                        group.eventLoops,
                        group.loop,
                        Map.of(),
                        System::currentTimeMillis,
                        line -> {}),
                System::currentTimeMillis,
                feed,
                departures,
                line -> {});
    }
}
