package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.RepeatSafety;

/** Tests timeouts, retries and the retry budget. */
class RetryHandlingTest {
    @Test
    void theTimeoutEndsWithTheLatencyObjective() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(1);
        fixture.submit(1, 0);
        double timeoutMs = fixture.sendsOf(1).get(0).timeoutMs();
        assertTrue(timeoutMs <= 1000 && timeoutMs > 900, "timeout in ms: " + timeoutMs);
    }

    @Test
    void retriesBackOffFromServersThatReject() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        fixture.now += 5;
        fixture.complete(100, 0, Outcome.REJECTED, 5);
        fixture.submit(2, 0);
        assertTrue(fixture.sendsOf(2).get(0).server() != fixture.sendsOf(1).get(0).server());
        fixture.now += 5;
        fixture.complete(100, 1, Outcome.REJECTED, 5);
        fixture.complete(200, 0, Outcome.REJECTED, 5); // now all three replicas have rejected work
        fixture.advance(20);
        long sentBefore = (long) fixture.sendsOf(1).size() + fixture.sendsOf(2).size();
        fixture.advance(100);
        assertTrue(
                fixture.sendsOf(1).size() + fixture.sendsOf(2).size() > sentBefore,
                "no retry was sent after the backoff");
    }

    @Test
    void aQueryThatCannotBeAnsweredEndsImmediately() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.maxAttempts = 1;
        fixture.start(2);
        fixture.submit(1, 0, 1);
        fixture.now += 10;
        fixture.complete(100, 0, Outcome.ERROR, 10);
        assertEquals("rejected", fixture.resultOf(1));
    }

    @Test
    void queriesThatNeedEveryShardMayUseMoreOfTheBudget() {
        int[] retriesUsed = new int[2];
        for (int run = 0; run < 2; run++) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.cells = 1;
            fixture.rules = new DecisionModule.Rules(250, 0.25, 10000, 2, 2000, 4, 0, 5000, 10000);
            fixture.classes.set(
                    0, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, run == 0 ? 1 : 0.1));
            fixture.start(4);
            for (int query = 1; query <= 6; query++) {
                fixture.submit(query, 0);
            }
            fixture.advance(10);
            for (int query = 1; query <= 6; query++) {
                fixture.complete(100L * query, 0, Outcome.RESET, 10);
            }
            fixture.advance(500);
            retriesUsed[run] = fixture.sent.size() - 6;
        }
        assertEquals(4, retriesUsed[0]);
        assertEquals(3, retriesUsed[1]);
    }
}
