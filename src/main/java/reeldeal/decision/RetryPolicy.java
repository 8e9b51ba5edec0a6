package reeldeal.decision;

import reeldeal.decision.DecisionModule.Settings;

/** Decides whether a shard request may be attempted again without harm. Holds no state. */
final class RetryPolicy {
    private final EventClock clock;
    private final int maxAttempts;
    private final double tickMs;

    RetryPolicy(EventClock clock, Settings settings) {
        this.clock = clock;
        this.maxAttempts = settings.limits().maxAttempts();
        this.tickMs = settings.tickMs();
    }

    /**
     * Returns whether another attempt is allowed. For a hedged request {@link HedgingPolicy} must
     * allow it as well.
     */
    boolean mayAttempt(ShardRequestState shardRequest) {
        if (shardRequest.done || shardRequest.attempts.size() >= maxAttempts) {
            return false;
        }
        return switch (shardRequest.query.queryClass.repeatSafety()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY -> inDeduplicationWindow(shardRequest);
            case NOT_IDEMPOTENT -> shardRequest.inFlight == 0 && shardRequest.provenNotRun();
        };
    }

    /**
     * Returns whether the servers would still drop a repeat with the same idempotency key, so that
     * a shard request that may have run can be sent again.
     */
    private boolean inDeduplicationWindow(ShardRequestState shardRequest) {
        QueryState query = shardRequest.query;
        double earliestRunMs =
                Math.min(query.query.firstSentAtMs(), earliestLocalRunMs(shardRequest));
        return earliestRunMs + query.queryClass.deduplicationWindowMs() - tickMs > clock.now();
    }

    private double earliestLocalRunMs(ShardRequestState shardRequest) {
        for (Attempt attempt : shardRequest.attempts) {
            if (!attempt.neverRan) {
                return attempt.sentAtMs; // attempts are in the order in which they were sent
            }
        }
        return clock.now();
    }
}
