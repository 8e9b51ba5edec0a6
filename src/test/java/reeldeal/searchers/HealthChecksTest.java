package reeldeal.searchers;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;

/** Tests how health checks in flight on one connection are matched to replies, and how they end. */
public class HealthChecksTest {
    private final List<Event.Probed> ended = new ArrayList<>();
    private final HealthChecks checks =
            new HealthChecks(List.of("cpu"), event -> ended.add((Event.Probed) event));

    private static Searcher searcher(String name) {
        return new Searcher(name, "127.0.0.1:9", "a", "", 0, 0, 1, EndpointState.READY);
    }

    @Test
    public void aReplyEndsTheOldestCheckWithItsElapsedTimeAndLoad() {
        checks.start(searcher("first"), 100);
        checks.start(searcher("second"), 120);
        checks.complete("cpu=0.5", 130);
        assertEquals(1, checks.size());
        assertEquals("first", ended.get(0).searcher());
        assertEquals(Outcome.OK, ended.get(0).outcome());
        assertEquals(30, ended.get(0).elapsedMs(), 0);
        assertArrayEquals(new double[] {0.5}, ended.get(0).load(), 0);
    }

    @Test
    public void anErrorReplyEndsTheCheckAsAnError() {
        checks.start(searcher("first"), 0);
        checks.complete("err", 1);
        assertEquals(Outcome.ERROR, ended.get(0).outcome());
    }

    @Test
    public void aCheckIsOverdueOnlyPastItsTimeout() {
        checks.start(searcher("first"), 0);
        assertFalse(checks.isOverdue(250));
        assertTrue(checks.isOverdue(251));
    }

    @Test
    public void aClosedConnectionFailsAllChecksByWhetherItWasEstablished() {
        checks.start(searcher("first"), 0);
        checks.failAll(false, 5);
        checks.start(searcher("second"), 10);
        checks.failAll(true, 20);
        assertEquals(Outcome.CONNECT_FAILED, ended.get(0).outcome());
        assertEquals(Outcome.TIMEOUT, ended.get(1).outcome());
        assertTrue(checks.isEmpty());
    }
}
