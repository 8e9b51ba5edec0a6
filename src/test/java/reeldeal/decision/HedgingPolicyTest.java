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

/**
 * Tests hedging with two replicas whose typical latency is 100 ms: an attempt can be overdue after
 * 200 ms.
 */
class HedgingPolicyTest {
    private final Layout layout = new Layout(1, 1, 8, 50);
    private final EventClock clock = new EventClock(1000, 5);
    private final ServerRegistry registry = new ServerRegistry(clock, layout, 10_000);
    private final LatencyEstimator latency = new LatencyEstimator(1000, layout);
    private final RateLimitedLog log = new RateLimitedLog(clock, new DecisionFixture(), 0);
    private final OutlierDetector outliers =
            new OutlierDetector(clock, 1000, registry, latency, log);
    private final HedgingPolicy policy =
            new HedgingPolicy(clock, registry, latency, outliers, true);

    HedgingPolicyTest() {
        registry.update(
                EndpointListKind.COMPLETE,
                List.of(
                        DecisionFixture.server(1, 0, 0, EndpointState.READY),
                        DecisionFixture.server(2, 0, 0, EndpointState.READY)));
        latency.record(0, 100);
    }

    /** Returns a shard request with an attempt at server 1, of a query with two seconds left. */
    private ShardRequestState shardRequestWithAttempt(RepeatSafety repeatSafety) {
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
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        assertEquals(1200, policy.overdueAtMs(shardRequest.attempts.get(0)));
    }

    @Test
    void anAttemptAtAnOutlierIsOverdue() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1200, false);
        assertFalse(policy.isOverdue(shardRequest));
        clock.advance(1201, false);
        assertTrue(policy.isOverdue(shardRequest));
    }

    @Test
    void anAttemptAtAnOutlierIsNotOverdueWithoutABetterReplica() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        registry.find(2).health.trusted = false;
        clock.advance(1500, false);
        assertFalse(policy.isOverdue(shardRequest));
    }

    @Test
    void theTailOfAQueryIsOverdue() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        shardRequest.query.majorityAnsweredAfterMs = 90;
        clock.advance(1270, false);
        assertFalse(policy.isOverdue(shardRequest));
        clock.advance(1271, false);
        assertTrue(policy.isOverdue(shardRequest));
    }

    @Test
    void nothingIsOverdueAfterAStall() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1500, true);
        assertFalse(policy.isOverdue(shardRequest));
    }

    @Test
    void aRequestThatIsNotIdempotentIsNeverOverdue() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.NOT_IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(1500, false);
        assertFalse(policy.isOverdue(shardRequest));
    }

    @Test
    void anAttemptIsNotOverdueWithoutTimeForAnotherAttempt() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT);
        registry.find(1).health.outlierFactor = 4;
        clock.advance(2901, false);
        assertFalse(policy.isOverdue(shardRequest));
    }
}
