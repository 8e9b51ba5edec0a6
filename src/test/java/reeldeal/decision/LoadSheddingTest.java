package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.ShardRequest;

/** Tests which queries are rejected under load. */
class LoadSheddingTest {
    @Test
    void oneFaultyServerDoesNotCauseLoadShedding() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        for (int i = 1; i <= 10; i++) {
            fixture.submit(i, 0);
            for (DecisionFixture.Sent send : fixture.sendsOf(i)) {
                if (send.server() != 0) {
                    fixture.now += 10;
                    fixture.complete(send.shardRequest(), 0, Outcome.OK, 100);
                }
            }
            fixture.advance(20);
        }
        assertTrue(
                fixture.results.stream()
                        .noneMatch(
                                result ->
                                        result.query() <= 10
                                                && result.outcome().equals("rejected")));
    }

    @Test
    void onlyQueriesOfAnOverloadedShardAreRejected() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        for (int i = 1; i <= 40; i++) { // every replica of shard 0 times out
            fixture.submit(i, 0);
            fixture.advance(45);
            for (DecisionFixture.Sent send : List.copyOf(fixture.sent)) {
                if (send.shardRequest() < 5000
                        && send.sentAtMs() + send.timeoutMs() <= fixture.now) {
                    fixture.complete(
                            send.shardRequest(),
                            send.attemptNumber(),
                            Outcome.TIMEOUT,
                            send.timeoutMs());
                }
            }
        }
        fixture.submit(50, 0, 1);
        fixture.submit(51, 2, 3);
        assertEquals("rejected", fixture.resultOf(50));
        assertTrue(fixture.sendsOf(50).isEmpty());
        assertEquals(2, fixture.sendsOf(51).size());
    }

    @Test
    void aRetryPastItsLatencyObjectiveIsRejected() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        fixture.advance(1000);
        assertEquals("rejected", fixture.resultOf(1));
        fixture.engine.query(
                fixture.now,
                new Query(2, 0, 0, 5, fixture.now + 1900, true),
                List.of(new ShardRequest(200, 0, 1, 0)));
        assertEquals("rejected", fixture.resultOf(2));
        assertTrue(fixture.sendsOf(2).isEmpty());
    }

    @Test
    void aQueryWithAShortDeadlineIsNotTreatedAsARetry() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0, fixture.now + 3000, 0);
        fixture.submit(2, 0, fixture.now + 1900, 1);
        assertEquals(1, fixture.sendsOf(2).size());
    }

    @Test
    void aFullBrokerDoesNotWaitForLateAnswers() {
        for (int maxInFlight : new int[] {1000, 4}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.maxInFlight = maxInFlight;
            fixture.classes.set(
                    0,
                    new DecisionModule.QueryClass(
                            1000, 0, 3000, 1, 0.5, RepeatSafety.IDEMPOTENT, 0, 1, 1, 1, 0));
            fixture.start(3);
            fixture.submit(1, 0);
            fixture.advance(1500);
            assertEquals(maxInFlight == 4 ? "rejected" : "", fixture.resultOf(1));
        }
    }

    @Test
    void aNearlyFullBrokerAdmitsOnlyFastQueries() {
        for (int maxInFlight : new int[] {1000, 12}) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.maxInFlight = maxInFlight;
            fixture.start(3);
            fixture.establishTypicalLatency(40, 0, 1, 2, 3);
            for (int i = 1; i <= 5; i++) {
                fixture.submit(i, 0, 1, 2, 3);
                fixture.now += 20;
            }
            assertEquals(maxInFlight == 12 ? "rejected" : "", fixture.resultOf(5));
        }
    }

    @Test
    void onlyQueriesOfAShardWithTooMuchInFlightAreRejected() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.hedging = false;
        fixture.maxShardsPerCall = 1;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        for (int query = 1; query <= 60; query++) {
            fixture.submit(query, 0);
        }
        // At an assumed answer every 50 ms, each of three servers gets what it can answer within
        // 0.65 of the remaining time.
        assertEquals(
                39, fixture.sent.stream().filter(send -> send.shardRequest() < 100_000).count());
        assertEquals("", fixture.resultOf(1));
        assertEquals("rejected", fixture.resultOf(60));
        fixture.submit(61, 1);
        assertEquals("", fixture.resultOf(61));
        assertEquals(1, fixture.sendsOf(61).size());
    }

    @Test
    void aQueryThatCouldNotBeSentIsRejectedWithinHalfOfItsTime() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(1);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.submit(1, 0, fixture.now + 1200, 0);
        fixture.complete(100, 0, Outcome.CONNECT_FAILED, 1);
        fixture.changeServers(DecisionFixture.server(0, 0, 0, EndpointState.DRAINING));
        fixture.advance(599);
        assertEquals("rejected", fixture.resultOf(1));
    }

    @Test
    void anOverloadedReplicaIsSkippedForOneThatCanSoonTakeTheRequest() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.maxShardsPerCall = 1;
        fixture.hedging = false;
        fixture.start(1);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        for (int query = 1; query <= 13; query++) {
            fixture.submit(query, 0);
        }
        // The warm replica is full; the one in slow start has no tokens yet but will soon have
        // some.
        fixture.changeServers(
                DecisionFixture.server(1, 0, fixture.now - 5000, EndpointState.READY));
        fixture.submit(14, 0);
        assertEquals("", fixture.resultOf(14));
        fixture.advance(400);
        assertEquals(1, fixture.sendsOf(14).get(0).server());
    }
}
