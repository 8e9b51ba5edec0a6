package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.ShardRequest;

class RetryPolicyTest {
    private final EventClock clock = new EventClock(1000, 5);
    private final RetryPolicy policy = new RetryPolicy(clock, new DecisionFixture().settings());
    private final ServerState server = new ServerState(1, true);

    private static ShardRequestState shardRequest(RepeatSafety safety, double firstSentAtMs) {
        Query query = new Query(1, 0, 0, 0, 9000, false, firstSentAtMs);
        QueryState state = new QueryState(query, DecisionFixture.queryClass(safety, 1, 1), 1);
        return new ShardRequestState(new ShardRequest(100, 0, 1, 0), state);
    }

    private ShardRequestState shardRequestWithAttempt(RepeatSafety safety, boolean neverRan) {
        ShardRequestState shardRequest = shardRequest(safety, Double.POSITIVE_INFINITY);
        server.endAttempt(server.startAttempt(shardRequest, clock.now(), 8), neverRan);
        return shardRequest;
    }

    @Test
    void anIdempotentRequestMayBeAttemptedUpToTheLimit() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT, false);
        assertTrue(policy.mayAttempt(shardRequest));
        server.startAttempt(shardRequest, clock.now(), 8);
        server.startAttempt(shardRequest, clock.now(), 8);
        assertFalse(policy.mayAttempt(shardRequest));
    }

    @Test
    void anAnsweredRequestIsNotAttempted() {
        ShardRequestState shardRequest = shardRequestWithAttempt(RepeatSafety.IDEMPOTENT, false);
        shardRequest.done = true;
        assertFalse(policy.mayAttempt(shardRequest));
    }

    @Test
    void aNonIdempotentRequestMayBeRepeatedOnlyIfItProvablyDidNotRun() {
        assertTrue(policy.mayAttempt(shardRequestWithAttempt(RepeatSafety.NOT_IDEMPOTENT, true)));
        assertFalse(policy.mayAttempt(shardRequestWithAttempt(RepeatSafety.NOT_IDEMPOTENT, false)));
    }

    @Test
    void aRequestWithAKeyMayBeRepeatedWithinTheDeduplicationWindow() {
        ShardRequestState shardRequest =
                shardRequestWithAttempt(RepeatSafety.IDEMPOTENT_WITH_KEY, false);
        clock.advance(2994, false); // the last millisecond of the window of 2,000 ms less one tick
        assertTrue(policy.mayAttempt(shardRequest));
        clock.advance(2995, false);
        assertFalse(policy.mayAttempt(shardRequest));
    }

    @Test
    void theDeduplicationWindowBeginsWithAnotherBrokersSend() {
        assertTrue(policy.mayAttempt(shardRequest(RepeatSafety.IDEMPOTENT_WITH_KEY, -994)));
        assertFalse(policy.mayAttempt(shardRequest(RepeatSafety.IDEMPOTENT_WITH_KEY, -995)));
    }
}
