package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import reeldeal.core.AttemptEnd.Reach;
import reeldeal.decision.DecisionModule.Outcome;

class AttemptEndTest {
    @Test
    void answersAndRejectionsHaveTheirOwnOutcomes() {
        assertEquals(Outcome.OK, new AttemptEnd.Served(1, "v").outcome());
        assertEquals(Outcome.ERROR, new AttemptEnd.Failed().outcome());
        assertEquals(Outcome.REJECTED, new AttemptEnd.Rejected().outcome());
        assertEquals(Outcome.NEVER_SENT, new AttemptEnd.NeverSent().outcome());
    }

    @Test
    void anUnsentAttemptNeverRanHoweverItEnded() {
        assertEquals(Outcome.CONNECT_FAILED, new AttemptEnd.Broken(Reach.UNSENT, "r").outcome());
        assertEquals(
                Outcome.CONNECT_FAILED, new AttemptEnd.Abandoned(Reach.UNSENT, true).outcome());
        assertEquals(
                Outcome.CONNECT_FAILED, new AttemptEnd.Abandoned(Reach.UNSENT, false).outcome());
    }

    @Test
    void aSentAttemptMayHaveRun() {
        assertEquals(Outcome.RESET, new AttemptEnd.Broken(Reach.SENT, "r").outcome());
        assertEquals(Outcome.TIMEOUT, new AttemptEnd.Abandoned(Reach.SENT, true).outcome());
        assertEquals(Outcome.CANCELLED, new AttemptEnd.Abandoned(Reach.SENT, false).outcome());
    }
}
