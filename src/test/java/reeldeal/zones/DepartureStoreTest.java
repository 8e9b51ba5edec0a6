package reeldeal.zones;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.store.StoreNode;

/** Guards against a searcher that was taken out and serves again after a restart. */
public class DepartureStoreTest {
    private static final String ORIGIN = "fleet.test.";
    private static final String SHARED_KEY = "members/left";
    private static final String ZONE =
            """
            $TTL 60
            @ SOA ns ops 1 3600 1 86400 30
            @ NS ns
            _searcher._tcp SRV 0 0 8000 s0
            _searcher._tcp SRV 0 0 8001 s1
            s0 A 127.0.0.1
            s0 TXT cell=0
            s1 A 127.0.0.1
            s1 TXT cell=0
            """;

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    private static Searcher searcher(int number, EndpointState state) {
        String name = "s" + number + "." + ORIGIN;
        return new Searcher(name, "127.0.0.1:800" + number, "", "", 0, 0, 1, state);
    }

    private static void discover(ZoneFixture fixture, EndpointListKind kind, Searcher... searchers)
            throws Exception {
        Event.EndpointsChanged event = new Event.EndpointsChanged(kind, List.of(searchers));
        fixture.group.next().submit(() -> fixture.feed.updateFromDiscovery(event)).sync();
    }

    private static void discoverBoth(ZoneFixture fixture) throws Exception {
        discover(
                fixture,
                EndpointListKind.COMPLETE,
                searcher(0, EndpointState.READY),
                searcher(1, EndpointState.READY));
    }

    private static void takeOutFirst(ZoneFixture fixture) throws Exception {
        Name origin = Name.fromString(ORIGIN);
        Update update = new Update(origin);
        Name owner = Name.fromString("_searcher._tcp", origin);
        update.delete(Record.fromString(owner, Type.SRV, DClass.IN, 60, "0 0 8000 s0", origin));
        assertEquals(Rcode.NOERROR, fixture.resolver(true).send(update).getRcode());
    }

    private ZoneFixture start() throws Exception {
        Path path = folder.getRoot().toPath();
        ZonesConfig.Entry entry =
                ZoneFixture.primary(path, ORIGIN, ZONE, List.of(), ZoneFixture.ANY, List.of());
        return new ZoneFixture(path, List.of(entry), Map.of(), 64, 10_000);
    }

    private static void stop(ZoneFixture fixture) throws Exception {
        Callable<Void> close =
                () -> {
                    fixture.store.close();
                    return null;
                };
        fixture.group.next().submit(close).sync();
        fixture.group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).sync();
    }

    /** Returns whether s0 was ever published as ready. */
    private static boolean wasReady(ZoneFixture fixture) {
        return fixture.endpointEvents.stream()
                .flatMap(event -> event.entries().stream())
                .anyMatch(s -> s.name().equals("s0." + ORIGIN) && s.state() == EndpointState.READY);
    }

    /** Guards against a drain that was answered NOERROR and that a kill right after it loses. */
    @Test
    public void anUpdateIsAnsweredOnceItsDepartureIsSaved() throws Exception {
        for (int i = 0; i < 10; i++) {
            ZoneFixture fixture = start();
            fixture.await(ORIGIN);
            discoverBoth(fixture);
            takeOutFirst(fixture);
            Callable<String> read = () -> fixture.store.get(SHARED_KEY);
            String saved = fixture.group.next().submit(read).get();
            assertTrue("run " + i + ": " + saved, saved != null && saved.contains("s0." + ORIGIN));
            fixture.close();
            folder.create();
        }
    }

    @Test
    public void aRestartedNodeKnowsItsDeparturesBeforeTheFirstList() throws Exception {
        ZoneFixture fixture = start();
        fixture.await(ORIGIN);
        discoverBoth(fixture);
        takeOutFirst(fixture);
        stop(fixture);
        ZoneFixture restarted = start();
        discoverBoth(restarted);
        restarted.await(ORIGIN);
        discoverBoth(restarted);
        assertTrue("" + restarted.endpointEvents, !wasReady(restarted));
        assertTrue(!restarted.endpointEvents.isEmpty());
        stop(restarted);
    }

    @Test
    public void whatDiscoverySaidOutlastsARestart() throws Exception {
        for (EndpointState state : List.of(EndpointState.DRAINING, EndpointState.REMOVED)) {
            ZoneFixture fixture = start();
            fixture.await(ORIGIN);
            discoverBoth(fixture);
            discover(fixture, EndpointListKind.CHANGES, searcher(0, state));
            awaitSaved(fixture);
            stop(fixture);
            ZoneFixture restarted = start();
            restarted.await(ORIGIN);
            discover(restarted, EndpointListKind.COMPLETE, searcher(1, EndpointState.READY));
            assertTrue(state + " " + restarted.endpointEvents, !wasReady(restarted));
            discoverBoth(restarted);
            assertTrue("listed again", wasReady(restarted));
            stop(restarted);
        }
    }

    private static void awaitSaved(ZoneFixture fixture) throws Exception {
        StoreGroup.await(
                fixture.store,
                fixture.group.next(),
                store -> String.valueOf(store.get(SHARED_KEY)).contains("s0." + ORIGIN));
    }

    @Test
    public void eachNodeSavesItsOwnTextAndTheLeaderTheSharedOneUntilTheyAreCommitted()
            throws Exception {
        try (StoreGroup group = new StoreGroup(folder.getRoot().toPath())) {
            Map<String, DepartureStore> departuresByNode = new TreeMap<>();
            group.stores.forEach(
                    (node, store) ->
                            departuresByNode.put(
                                    node, new DepartureStore(store, group.loop, line -> {})));
            group.start(group.stores.keySet());
            for (StoreNode store : group.stores.values()) {
                StoreGroup.await(store, group.loop, StoreNode::isCurrent);
            }
            String first = group.leader();
            for (String node : group.stores.keySet()) {
                DepartureStore departures = departuresByNode.get(node);
                group.loop.submit(departures::onRestored).sync();
                group.loop.submit(() -> departures.save("text of " + node)).sync();
            }
            for (String node : group.stores.keySet()) {
                StoreNode store = group.stores.get(node);
                for (String other : group.stores.keySet()) {
                    String expected = "text of " + other;
                    StoreGroup.await(
                            store,
                            group.loop,
                            s -> expected.equals(s.get(SHARED_KEY + "/" + other)));
                }
                StoreGroup.await(
                        store, group.loop, s -> ("text of " + first).equals(s.get(SHARED_KEY)));
            }
            group.stop(first);
            group.stores.remove(first);
            List<String> left = new ArrayList<>(group.stores.keySet());
            // Saved while no node accepts writes.
            for (String node : left) {
                DepartureStore departures = departuresByNode.get(node);
                group.loop.submit(() -> departures.save("later text of " + node)).sync();
            }
            String second = awaitLeader(group);
            StoreNode store = group.stores.get(second);
            assertEquals(
                    "the last leader's text is read before it is replaced",
                    "text of " + first,
                    group.loop.submit(() -> store.get(SHARED_KEY)).get());
            group.loop.submit(departuresByNode.get(second)::onRestored).sync();
            StoreGroup.await(
                    store, group.loop, s -> ("later text of " + second).equals(s.get(SHARED_KEY)));
            for (String node : left) {
                String expected = "later text of " + node;
                StoreGroup.await(
                        store, group.loop, s -> expected.equals(s.get(SHARED_KEY + "/" + node)));
            }
        }
    }

    private static String awaitLeader(StoreGroup group) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (group.leader().isEmpty()) {
            assertTrue("in time", System.nanoTime() < deadline);
            Thread.sleep(10);
        }
        return group.leader();
    }
}
