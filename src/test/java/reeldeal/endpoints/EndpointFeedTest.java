package reeldeal.endpoints;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneFile;

/**
 * Guards against a searcher that discovery reports as draining or gone and that serves again
 * because a zone lists it, or the other way round. Runs the feed as the broker does.
 */
public class EndpointFeedTest {
    private static final String ORIGIN = "z.test.";
    private static final String NAME = "s0." + ORIGIN;

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private Map<String, EndpointState> published;
    private String saved = "";
    private EndpointFeed feed = newFeed();
    private long now = 1_000_000;

    private EndpointFeed newFeed() {
        published = new TreeMap<>();
        return new EndpointFeed(
                loop,
                new EndpointView(
                        EndpointView.Rules.DEFAULT, List.of(ORIGIN, EndpointFeed.DISCOVERY)),
                Set.of(),
                () -> now,
                event -> event.entries().forEach(s -> published.put(s.name(), s.state())),
                line -> {},
                text -> saved = text);
    }

    @After
    public void stopLoop() throws Exception {
        loop.shutdownNow();
        loop.awaitTermination(5, TimeUnit.SECONDS);
    }

    private static Zone zone(int serial, int firstSearcher, String furtherRecords)
            throws Exception {
        StringBuilder text = new StringBuilder("$TTL 60\n@ SOA ns ops ");
        text.append(serial).append(" 3600 1 86400 30\n@ NS ns\n").append(furtherRecords);
        for (int i = firstSearcher; i < 4; i++) {
            text.append("_searcher._tcp SRV 0 0 800" + i + " s" + i + "\n");
            text.append("s" + i + " A 127.0.0.1\ns" + i + " TXT cell=0\n");
        }
        return ZoneFile.parse("zone", text.toString(), ORIGIN, null);
    }

    private static Searcher searcher(int number, EndpointState state) {
        String name = "s" + number + "." + ORIGIN;
        return new Searcher(name, "127.0.0.1:800" + number, "a", "std", 0, 0, 1, state);
    }

    private void wholeList(int firstSearcher) {
        List<Searcher> searchers = new ArrayList<>();
        for (int i = firstSearcher; i < 4; i++) {
            searchers.add(searcher(i, EndpointState.READY));
        }
        feed.updateFromDiscovery(new Event.EndpointsChanged(EndpointListKind.COMPLETE, searchers));
    }

    private void change(EndpointState state) {
        List<Searcher> changed = List.of(searcher(0, state));
        feed.updateFromDiscovery(new Event.EndpointsChanged(EndpointListKind.CHANGES, changed));
    }

    private void restart() {
        String text = saved;
        feed = newFeed();
        feed.restore(text);
    }

    private void assertDrained(String context) {
        EndpointState state = published.getOrDefault(NAME, EndpointState.REMOVED);
        assertEquals(context, "not ready", state == EndpointState.READY ? "ready" : "not ready");
    }

    private void bothListAll() throws Exception {
        feed.updateZone(zone(1, 0, ""), null);
        wholeList(0);
        assertEquals(EndpointState.READY, published.get(NAME));
    }

    @Test
    public void aSearcherLeftOutOfAWholeListAfterItsDrainStaysOutOfService() throws Exception {
        bothListAll();
        change(EndpointState.DRAINING);
        assertDrained("draining");
        now += 6_000;
        wholeList(1);
        assertDrained("left out of the whole list");
        feed.updateZone(zone(2, 0, "other A 127.0.0.9\n"), Set.of("other." + ORIGIN));
        feed.updateZone(zone(3, 0, "other A 127.0.0.9\n"), null);
        assertDrained("the zone changes elsewhere");
        wholeList(0);
        assertEquals("listed again", EndpointState.READY, published.get(NAME));
    }

    @Test
    public void aSearcherThatAChangeReportsAsGoneStaysOutOfService() throws Exception {
        bothListAll();
        change(EndpointState.REMOVED);
        assertDrained("gone");
        feed.updateZone(zone(2, 0, ""), null);
        assertDrained("the zone lists it still");
        change(EndpointState.READY);
        assertEquals("listed again", EndpointState.READY, published.get(NAME));
    }

    @Test
    public void aSearcherThatAChangeReportsAsGoneAfterTheFirstListStaysOutOfService()
            throws Exception {
        feed.updateZone(zone(1, 0, ""), null);
        wholeList(1);
        assertEquals("a zone alone lists it", EndpointState.READY, published.get(NAME));
        change(EndpointState.REMOVED);
        assertDrained("gone");
        feed.updateZone(zone(2, 0, ""), null);
        assertDrained("the zone lists it still");
    }

    @Test
    public void aSearcherThatIsGoneFromAWholeListWithoutADrainStaysOutOfService() throws Exception {
        bothListAll();
        wholeList(1);
        assertDrained("left out of the whole list");
    }

    @Test
    public void aSearcherThatDiscoveryWithdrewStaysOutOfServiceOverARestart() throws Exception {
        for (EndpointState state : List.of(EndpointState.DRAINING, EndpointState.REMOVED)) {
            bothListAll();
            change(state);
            restart();
            feed.updateZone(zone(1, 0, ""), null);
            assertDrained(state + ", before discovery reports");
            wholeList(1);
            assertDrained(state + ", after discovery's whole list");
            wholeList(0);
        }
    }

    @Test
    public void aSearcherTakenOutOfTheZoneStaysOutIfDiscoveryReportsFirstAfterARestart()
            throws Exception {
        bothListAll();
        feed.updateZone(zone(2, 1, ""), null);
        assertDrained("taken out");
        String text = saved;
        feed = newFeed();
        wholeList(0);
        feed.restore(text);
        feed.updateZone(zone(2, 1, ""), null);
        assertDrained("restored after discovery's list");
        feed.updateZone(zone(3, 0, ""), null);
        assertEquals("listed again", EndpointState.READY, published.get(NAME));
    }

    @Test
    public void aStaleCopyIsNotUsedOnceTheStoreHasDeliveredTheZone() throws Exception {
        feed.updateZone(zone(2, 1, ""), null);
        feed.useStaleZone(zone(1, 0, ""));
        assertDrained("the stale copy lists it");
    }
}
