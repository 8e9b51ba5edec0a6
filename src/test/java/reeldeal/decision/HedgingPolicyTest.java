package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.ShardRequest;

/** Hedging over two replicas whose typical latency is 100 ms: overdue is what waits over 200 ms. */
class HedgingPolicyTest {
    private final Layout layout = new Layout(1, 1, 8, 50);
    private final EventClock clock = new EventClock(1000, 5);
    private final ServerRegistry registry = new ServerRegistry(clock, layout, 10_000);
    private final LatencyEstimator latency = new LatencyEstimator(1000, layout);
    private final RateLimitedLog log = new RateLimitedLog(clock, new DecisionFixture(), 0);
    private final OutlierDetector outliers =
            new OutlierDetector(clock, 1000, registry, latency, log);
    private final HedgingPolicy hedging =
            new HedgingPolicy(clock, registry, latency, outliers, true);

    HedgingPolicyTest() {
        registry.update(
                EndpointListKind.COMPLETE,
                List.of(
                        DecisionFixture.server(1, 0, 0, EndpointState.READY),
                        DecisionFixture.server(2, 0, 0, EndpointState.READY)));
        latency.record(0, 100);
    }

    /** A shard request with an attempt at server 1; its query has two seconds for it. */
    private ShardRequestState attempted(RepeatSafety repeatSafety) {
        QueryState query =
                new QueryState(
                        new Query(1, 0, 0, 0, 9000, false),
                        DecisionFixture.queryClass(repeatSafety, 1, 1),
                        1);
        query.objectiveAtMs = clock.now() + 2000;
        ShardRequestState shardRequest =
                new ShardRequestState(new ShardRequest(100, 0, 1, 0), query);
        registry.find(1).startAttempt(shardRequest, clock.now(), 8);
        return shardRequest;
    }

    @Test
    void anAttemptCanBeOverdueAfterTwiceTheTypicalLatency() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        assertEquals(1200, hedging.overdueAtMs(shardRequest.attempts.get(0)));
    }

    @Test
    void anAttemptAtAnOutlierIsOverdue() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1200, false);
        assertFalse(hedging.isOverdue(shardRequest));
        clock.advance(1201, false);
        assertTrue(hedging.isOverdue(shardRequest));
    }

    @Test
    void anAttemptAtAnOutlierIsNotOverdueWithoutABetterReplica() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        registry.find(2).health.trusted = false;
        clock.advance(1500, false);
        assertFalse(hedging.isOverdue(shardRequest));
    }

    @Test
    void theTailOfAQueryIsOverdue() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        shardRequest.query.majorityAnsweredAfterMs = 90;
        clock.advance(1270, false);
        assertFalse(hedging.isOverdue(shardRequest));
        clock.advance(1271, false);
        assertTrue(hedging.isOverdue(shardRequest));
    }

    @Test
    void nothingIsOverdueAfterAStall() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1500, true);
        assertFalse(hedging.isOverdue(shardRequest));
    }

    @Test
    void nothingIsOverdueThatIsNotIdempotent() {
        ShardRequestState shardRequest = attempted(RepeatSafety.NOT_IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1500, false);
        assertFalse(hedging.isOverdue(shardRequest));
    }

    @Test
    void nothingIsOverdueWithoutTimeForAnotherAttempt() {
        ShardRequestState shardRequest = attempted(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(2901, false);
        assertFalse(hedging.isOverdue(shardRequest));
    }
}
