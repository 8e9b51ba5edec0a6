package reeldeal.core;

import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;

/** The limits that an attempt keeps whatever the decision module decides. Holds no state. */
final class SendRules {
    private final Settings settings;

    SendRules(Settings settings) {
        this.settings = settings;
    }

    /**
     * Whether an attempt that has been started may be sent: its phase is not over, it is not one
     * too many, and no other one is in flight where hedging is off.
     */
    boolean maySend(PendingShardRequest shardRequest, int attempt) {
        boolean disallowedHedge = shardRequest.inFlight > 1 && !settings.limits().hedging();
        return !shardRequest.completed
                && shardRequest.answer == null
                && !disallowedHedge
                && attempt < settings.limits().maxAttempts();
    }

    /**
     * Until when another attempt may be written. A request with an idempotency key that may have
     * run is repeated only while searchers drop repeats: this guards against a connection that
     * comes up after the window in which the attempt was decided.
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
