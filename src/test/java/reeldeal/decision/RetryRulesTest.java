package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;

/** Tests the boundary cases of the rules for retries and final answers. */
class RetryRulesTest {
    @Test
    void everyQueryEndsBeforeItsDeadline() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(2);
        fixture.submit(1, 0, fixture.now + 400, 0, 1);
        fixture.advance(399);
        assertEquals("rejected", fixture.resultOf(1));
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(2);
        fixture.submit(1, 0);
        fixture.engine.clientDisconnected(fixture.now, 1);
        fixture.now += 10;
        fixture.complete(100, 0, Outcome.CONNECT_FAILED, 10);
        fixture.advance(3000);
        assertEquals(1, fixture.sendsOf(1).size());
        assertEquals("", fixture.resultOf(1));
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        for (Outcome outcome :
                new Outcome[] {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.NOT_IDEMPOTENT, 1, 1));
            fixture.start(2);
            fixture.submit(1, 0);
            fixture.now += 10;
            fixture.complete(100, 0, outcome, 10);
            fixture.advance(3000);
            assertEquals(1, fixture.sendsOf(1).size(), outcome.name());
            assertEquals("failed", fixture.resultOf(1), outcome.name());
        }
    }

    @Test
    void aNonIdempotentRequestProvenNotToHaveRunIsRetried() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.NOT_IDEMPOTENT, 1, 1));
        fixture.start(2);
        fixture.submit(1, 0);
        fixture.now += 10;
        fixture.complete(100, 0, Outcome.CONNECT_FAILED, 10);
        assertEquals(2, fixture.sendsOf(1).size());
    }

    @Test
    void aRequestWithAKeyIsRetriedOnlyWithinItsDeduplicationWindow() {
        for (double waitMs : new double[] {500, 2100}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.classes.set(
                    0,
                    new DecisionModule.QueryClass(
                            4000,
                            0,
                            6000,
                            1,
                            0,
                            RepeatSafety.IDEMPOTENT_WITH_KEY,
                            2000,
                            1,
                            1,
                            1,
                            0));
            fixture.hedging = false;
            fixture.cancel = false;
            fixture.start(2);
            fixture.submit(1, 0, fixture.now + 6000, 0);
            fixture.advance(waitMs);
            fixture.complete(100, 0, Outcome.ERROR, waitMs);
            fixture.advance(50);
            assertEquals(waitMs < 2000 ? 2 : 1, fixture.sendsOf(1).size());
        }
    }

    @Test
    void theDeduplicationWindowBeginsWithTheFirstSendByAnotherBroker() {
        for (double agoMs : new double[] {100, 1700, 2000}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.classes.set(
                    0,
                    new DecisionModule.QueryClass(
                            4000,
                            0,
                            6000,
                            1,
                            0,
                            RepeatSafety.IDEMPOTENT_WITH_KEY,
                            2000,
                            1,
                            1,
                            1,
                            0));
            fixture.hedging = false;
            fixture.cancel = false;
            fixture.start(2);
            fixture.engine.query(
                    fixture.now,
                    new DecisionModule.Query(
                            1, 0, 0, 5, fixture.now + 6000, true, fixture.now - agoMs),
                    List.of(new DecisionModule.ShardRequest(100, 0, 1, 0)));
            int first = agoMs < 1995 ? 1 : 0;
            assertEquals(first, fixture.sendsOf(1).size());
            fixture.advance(500);
            if (first > 0) {
                fixture.complete(100, 0, Outcome.ERROR, 500);
            }
            fixture.advance(50);
            assertEquals(
                    agoMs < 1500 ? 2 : first,
                    fixture.sendsOf(1).size(),
                    "first sent " + agoMs + " ms ago");
        }
    }

    @Test
    void drainingAndRemovedServersGetNothingNew() {
        for (EndpointState state :
                new EndpointState[] {EndpointState.DRAINING, EndpointState.REMOVED}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.start(2);
            fixture.submit(1, 0);
            long first = fixture.sendsOf(1).get(0).server();
            // The server still has an attempt in flight.
            fixture.changeServers(DecisionFixture.server(first, 0, 0, state));
            fixture.submit(2, 0);
            fixture.submit(3, 0);
            assertTrue(fixture.sendsOf(2).stream().noneMatch(send -> send.server() == first));
            assertTrue(fixture.sendsOf(3).stream().noneMatch(send -> send.server() == first));
            fixture.now += 20;
            fixture.complete(100, 0, Outcome.OK, 20);
            assertEquals("complete", fixture.resultOf(1));
        }
    }

    @Test
    void answersBelowTheMinimumShareAreNotGivenAndPartialOnesAreMarked() {
        for (int answers = 1; answers <= 4; answers++) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 0.5));
            fixture.start(1);
            fixture.submit(1, 0, 1, 2, 3);
            fixture.now += 50;
            for (int shard = 0; shard < answers; shard++) {
                fixture.complete(100 + shard, 0, Outcome.OK, 50);
            }
            fixture.advance(2000);
            assertEquals(
                    answers == 4 ? "complete" : answers >= 2 ? "partial" : "rejected",
                    fixture.resultOf(1));
        }
    }

    @Test
    void aShardRequestCountsOnceHoweverManyAnswersCome() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 0.5));
        fixture.start(2);
        fixture.submit(1, 0, 1, 2, 3);
        fixture.now += 50;
        fixture.complete(100, 0, Outcome.OK, 50);
        fixture.complete(100, 0, Outcome.OK, 50);
        fixture.advance(2000);
        assertEquals("rejected", fixture.resultOf(1));
    }

    @Test
    void retriesStopExactlyAtTheBudget() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.cells = 1;
        fixture.rules = new Rules(250, 0.25, 10000, 2, 2000, 2, 0.25, 5000, 10000);
        fixture.start(4);
        // 6 queries for 1 shard are 12 units of work, which allow 2 + 3 retries.
        for (int query = 1; query <= 6; query++) {
            fixture.submit(query, 0);
        }
        fixture.now += 10;
        for (int query = 1; query <= 6; query++) {
            fixture.complete(100L * query, 0, Outcome.RESET, 10);
        }
        fixture.advance(500);
        assertEquals(6 + 5, fixture.sent.size());
    }

    @Test
    void withoutHedgingNoTwoAttemptsAreInFlightTogether() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.hedging = false;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.submit(1, 0);
        fixture.advance(800);
        assertEquals(1, fixture.sendsOf(1).size());
        assertEquals(1, fixture.cancelled.size());
        fixture.complete(100, 0, Outcome.CANCELLED, 800);
        assertEquals(2, fixture.sendsOf(1).size());
    }

    @Test
    void nothingIsCancelledIfCancellationIsOff() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.hedging = false;
        fixture.cancel = false;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.submit(1, 0);
        fixture.advance(900);
        assertTrue(fixture.cancelled.isEmpty());
        assertEquals(1, fixture.sendsOf(1).size());
    }

    @Test
    void settingsOutOfRangeAreNamed() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.maxShardsPerCall = 0;
        assertEquals(
                "setting out of range: layout.maxShardsPerCall",
                assertThrows(IllegalArgumentException.class, fixture::settings).getMessage());
    }

    @Test
    void eventsAboutUnknownObjectsAreIgnored() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(2);
        fixture.submit(1, 0);
        int before = fixture.transcript.size();
        fixture.complete(100, 3, Outcome.OK, 5);
        fixture.complete(777, 0, Outcome.OK, 5);
        fixture.engine.clientDisconnected(fixture.now, 99);
        fixture.engine.fetchPhase(fixture.now, 1, java.util.List.of());
        fixture.engine.timer(fixture.now, 12345);
        fixture.engine.timer(fixture.now - 500, 12345);
        assertEquals(before, fixture.transcript.size());
        assertFalse(fixture.results.stream().anyMatch(result -> result.query() == 1));
    }
}
