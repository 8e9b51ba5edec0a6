package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reeldeal.core.ReducerFixture.searcher;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import reeldeal.core.SearcherDirectory.Change;
import reeldeal.core.SearcherDirectory.Stopped;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Server;

class SearcherDirectoryTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double NOW_MS = 3 * HOUR_MS;

    private double nowMs = NOW_MS;

    private final SearcherDirectory searchers =
            new SearcherDirectory(List.of("z", "a"), List.of("k"));

    private Change update(EndpointListKind kind, Searcher... entries) {
        return searchers.update(kind, List.of(entries), nowMs);
    }

    @Test
    void anIdIsComputedFromTheNameAlone() {
        update(EndpointListKind.CHANGES, searcher("s", "h:1"));
        long id = ((0xcbf29ce484222325L ^ 's') * 0x100000001b3L) >>> 12;
        assertEquals(id, searchers.findId("s"));
        assertEquals("h:1", searchers.find(id).address());
    }

    @Test
    void zonesAndKindsAreConvertedToIndexes() {
        Server server = update(EndpointListKind.CHANGES, searcher("s", "h:1")).servers().get(0);
        assertEquals(1, server.zone());
        assertEquals(0, server.kind());
    }

    @Test
    void aSearcherMissingFromACompleteListIsStoppedAndForgotten() {
        update(EndpointListKind.COMPLETE, searcher("s", "h:1"), searcher("t", "h:2"));
        long id = searchers.findId("s");
        Change change = update(EndpointListKind.COMPLETE, searcher("t", "h:2"));
        assertEquals(List.of(new Stopped(searcher("s", "h:1"), id, true)), change.stopped());
        assertNull(searchers.findId("s"));
        assertNull(searchers.find(id));
    }

    @Test
    void aCachedListRemovesNothing() {
        update(EndpointListKind.COMPLETE, searcher("s", "h:1"));
        assertEquals(List.of(), update(EndpointListKind.CACHED).stopped());
        assertEquals(List.of(searcher("s", "h:1")), searchers.all());
    }

    @Test
    void aChangedAddressStopsTheOldOneAndKeepsTheSendsOfTheTick() {
        update(EndpointListKind.CHANGES, searcher("s", "h:1"));
        long id = searchers.findId("s");
        Change change = update(EndpointListKind.CHANGES, searcher("s", "h:9"));
        assertEquals(List.of(new Stopped(searcher("s", "h:1"), id, false)), change.stopped());
    }

    @Test
    void aDrainingSearcherIsStoppedAndRemembered() {
        update(EndpointListKind.CHANGES, searcher("s", "h:1"));
        Searcher draining = searcher("s", "h:1", 0, EndpointState.DRAINING);
        Change change = update(EndpointListKind.CHANGES, draining);
        assertTrue(change.stopped().get(0).withdrawSends());
        assertEquals(draining, searchers.find(searchers.findId("s")));
    }

    @Test
    void afterAPowerLossAnEarlierStartIsReplacedInTheZone() {
        nowMs = 1_000;
        assertTrue(searchers.assumeRestart(500, "a"));
        assertFalse(searchers.assumeRestart(500, "a"));
        Searcher otherZone = new Searcher("o", "h:2", "z", "", 0, 100, 1, EndpointState.READY);
        Change change =
                update(
                        EndpointListKind.CHANGES,
                        searcher("s", "h:1", 100, EndpointState.READY),
                        searcher("t", "h:3", 600, EndpointState.READY),
                        otherZone);
        assertEquals(
                List.of(500.0, 600.0, 100.0),
                change.servers().stream().map(Server::startedMs).toList());
    }

    @Test
    void namesAreFoundByIds() {
        update(EndpointListKind.CHANGES, searcher("s", "h:1"), searcher("t", "h:2"));
        assertEquals(Set.of("t"), searchers.namesOf(Set.of(searchers.findId("t"), 3L)));
    }

    private double startOf(EndpointListKind kind, double startedMs) {
        Searcher entry = searcher("s", "h:1", startedMs, EndpointState.READY);
        return update(kind, entry).servers().get(0).startedMs();
    }

    @Test
    void aStartInTheFutureOfThisBrokersClockIsTakenAsNowAndStaysThere() {
        assertEquals(NOW_MS, startOf(EndpointListKind.COMPLETE, NOW_MS + HOUR_MS));
        Searcher again = searcher("s", "h:1", NOW_MS + HOUR_MS, EndpointState.READY);
        Change later = searchers.update(EndpointListKind.COMPLETE, List.of(again), NOW_MS + 5_000);
        assertEquals(NOW_MS, later.servers().get(0).startedMs());
    }

    @Test
    void aRestartThatIsToldIsRecentThoughThisBrokersClockIsAnHourAhead() {
        startOf(EndpointListKind.COMPLETE, 0);
        double startedMs = startOf(EndpointListKind.CHANGES, NOW_MS - HOUR_MS);
        assertTrue(startedMs >= NOW_MS - SearcherDirectory.MAX_TOLD_AGE_MS, "start " + startedMs);
    }

    @Test
    void aPlausibleStartIsKept() {
        assertEquals(NOW_MS - 900, startOf(EndpointListKind.CHANGES, NOW_MS - 900));
        assertEquals(0, startOf(EndpointListKind.CHANGES, 0));
        assertEquals(NOW_MS - HOUR_MS / 10, firstListed(NOW_MS - HOUR_MS / 10));
    }

    private double firstListed(double startedMs) {
        Searcher entry = searcher("t", "h:2", startedMs, EndpointState.READY);
        return update(EndpointListKind.COMPLETE, entry).servers().get(0).startedMs();
    }
}
