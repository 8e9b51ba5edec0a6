package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.RepeatSafety;

/** Tests when attempts in flight are hedged or cancelled. */
class HedgingTest {
    /** Answers all shard requests of a query after a delay, except those at one server. */
    private static void answerAllExceptAt(
            DecisionFixture fixture, long query, long server, double delayMs) {
        fixture.advance(delayMs);
        for (DecisionFixture.Sent send : fixture.sendsOf(query)) {
            if (send.server() != server) {
                fixture.complete(send.shardRequest(), send.attemptNumber(), Outcome.OK, delayMs);
            }
        }
    }

    @Test
    void aSlowAttemptAtAHealthyServerIsNotHedged() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        fixture.advance(300); // late enough for hedging, but the server is not an outlier yet
        assertEquals(1, fixture.sendsOf(1).size());
    }

    @Test
    void theTailOfAQueryIsHedgedOnceMostOfItIsAnswered() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0, 1, 2, 3);
        long silent = fixture.sendsOf(1).get(3).server();
        answerAllExceptAt(fixture, 1, silent, 100);
        // 350 ms: the server is not an outlier yet, but over 3 times as late as the other shards
        fixture.advance(250);
        assertEquals(5, fixture.sendsOf(1).size());
        assertTrue(fixture.sendsOf(1).get(4).server() != silent);
    }

    @Test
    void noTailIsHedgedIfTheWholeQueryIsSlow() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0, 1, 2, 3);
        answerAllExceptAt(fixture, 1, fixture.sendsOf(1).get(3).server(), 220);
        fixture.advance(100);
        assertEquals(4, fixture.sendsOf(1).size());
    }

    @Test
    void withoutHedgingTheTailIsNotCancelled() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.hedging = false;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.submit(1, 0, 1, 2, 3);
        answerAllExceptAt(fixture, 1, fixture.sendsOf(1).get(3).server(), 100);
        fixture.advance(250);
        assertTrue(fixture.cancelled.isEmpty());
    }

    /**
     * A call of a query that becomes overdue and of another, which alone would not be cancelled.
     */
    private static final class SharedCall {
        final DecisionFixture fixture = new DecisionFixture();
        final long overdueQuery;
        final long otherQuery = 4;

        SharedCall(RepeatSafety ofTheOther) {
            fixture.hedging = false;
            fixture.cancelsWholeCalls = true;
            fixture.classes.add(DecisionFixture.queryClass(ofTheOther, 1, 1));
            fixture.start(3);
            fixture.establishTypicalLatency(40, 0, 1, 2, 3);
            for (long query = 1; query < otherQuery; query++) {
                fixture.submit(query, 0);
            }
            // Its deadline leaves no time for an attempt that would meet the objective.
            fixture.submit(otherQuery, 1, fixture.now + 850, 4);
            long silent = fixture.sendsOf(otherQuery).get(0).server();
            overdueQuery =
                    fixture.sent.stream()
                            .filter(send -> send.server() == silent)
                            .mapToLong(send -> send.shardRequest() / 100)
                            .filter(query -> query < otherQuery)
                            .findFirst()
                            .orElseThrow();
            for (long query = 1; query < otherQuery; query++) {
                answerAllExceptAt(fixture, query, silent, query == 1 ? 100 : 0);
            }
            fixture.advance(650);
        }
    }

    @Test
    void anOverdueAttemptIsCancelledWithItsCallIfTheServerCancelsOnlyWholeCalls() {
        SharedCall call = new SharedCall(RepeatSafety.IDEMPOTENT);
        assertEquals(
                List.of(100 * call.overdueQuery + "/0", 100 * call.otherQuery + 4 + "/0"),
                call.fixture.cancelled);
    }

    @Test
    void aCallIsNotCancelledForAnOverdueAttemptIfAnotherMustNotBeRepeated() {
        SharedCall call = new SharedCall(RepeatSafety.NOT_IDEMPOTENT);
        assertEquals(List.of(), call.fixture.cancelled);
        assertEquals(1, call.fixture.sendsOf(call.overdueQuery).size());
    }

    /**
     * If the attempt at the only replica that answers were cancelled in favour of silent replicas,
     * its answer would be lost and no other would come.
     */
    @Test
    void aLateAttemptIsNotCancelledWithoutATrustedReplica() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.hedging = false;
        fixture.classes.set(
                0,
                new DecisionModule.QueryClass(
                        4000,
                        0,
                        6000,
                        1,
                        0,
                        DecisionModule.RepeatSafety.IDEMPOTENT,
                        2000,
                        1,
                        1,
                        0.9,
                        0));
        fixture.start(2);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.submit(1, 0, fixture.now + 6000, 0);
        DecisionFixture.Sent silent = fixture.sendsOf(1).get(0);
        fixture.advance(500);
        fixture.complete(silent.shardRequest(), 0, Outcome.CANCELLED, 500);
        fixture.advance(20);
        DecisionFixture.Sent replica = fixture.sendsOf(1).get(1);
        assertTrue(replica.server() != silent.server());
        int cancelledBefore = fixture.cancelled.size();
        fixture.advance(700);
        assertEquals(cancelledBefore, fixture.cancelled.size());
    }

    /** One very fast answer must not make the answers after the next usual one look late. */
    @Test
    void theTypicalLatencyRecoversFromAVeryFastAnswer() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(3);
        fixture.submit(1, 0);
        fixture.complete(fixture.sendsOf(1).get(0).shardRequest(), 0, Outcome.OK, 1);
        for (int query = 2; query <= 9; query++) {
            fixture.submit(query, 0);
            fixture.complete(fixture.sendsOf(query).get(0).shardRequest(), 0, Outcome.OK, 100);
        }
        fixture.submit(10, 0);
        fixture.advance(140); // less than twice the mean of these answers
        assertEquals(1, fixture.sendsOf(10).size());
        fixture.submit(11, 0);
        assertEquals("", fixture.resultOf(11));
    }
}
