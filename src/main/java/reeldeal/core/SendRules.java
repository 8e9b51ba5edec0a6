package reeldeal.core;

import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;

/**
 * The limits that the broker enforces on every attempt, independently of the decision module. Holds
 * no state.
 */
final class SendRules {
    private final Settings settings;

    SendRules(Settings settings) {
        this.settings = settings;
    }

    /**
     * Whether an attempt that has been started may be sent: the phase of its shard request is not
     * over, the shard request has no answer, the maximum number of attempts is not exceeded, and no
     * other attempt is in flight unless hedged requests are enabled.
     */
    boolean maySend(PendingShardRequest shardRequest, int attempt) {
        boolean disallowedHedge = shardRequest.inFlight > 1 && !settings.limits().hedging();
        return !shardRequest.completed
                && shardRequest.answer == null
                && !disallowedHedge
                && attempt < settings.limits().maxAttempts();
    }

    /**
     * Returns the time before which another attempt must be written. A request with an idempotency
     * key that may have run is repeated only within the deduplication window of the searchers. The
     * attempt is decided within that window, but its connection may be established after the
     * window; this limit guards against that case.
     */
    double sendByMs(PendingShardRequest shardRequest) {
        QueryClass queryClass = settings.classes().get(shardRequest.parent.request.classIndex());
        if (queryClass.repeatSafety() != RepeatSafety.IDEMPOTENT_WITH_KEY) {
            return Double.POSITIVE_INFINITY;
        }
        return shardRequest.mayHaveRunSinceMs()
                + queryClass.deduplicationWindowMs()
                - settings.tickMs();
    }
}
