package reeldeal.decision;

import reeldeal.decision.DecisionModule.Actions;
import reeldeal.decision.DecisionModule.Settings;

/** Sends attempts and charges each of them to the budgets that it uses. */
final class AttemptSender {
    private final EventClock clock;
    private final Actions actions;
    private final RetryBudget retryBudget;
    private final ProbeLimiter probeLimiter;
    private final SlowStart slowStart;
    private final int maxShardsPerCall;
    private final double tickMs;

    AttemptSender(
            Settings settings,
            EventClock clock,
            Actions actions,
            RetryBudget retryBudget,
            ProbeLimiter probeLimiter,
            SlowStart slowStart) {
        this.clock = clock;
        this.actions = actions;
        this.retryBudget = retryBudget;
        this.probeLimiter = probeLimiter;
        this.slowStart = slowStart;
        this.maxShardsPerCall = settings.layout().maxShardsPerCall();
        this.tickMs = settings.tickMs();
    }

    /**
     * Sends a shard request to a server, with a timeout that ends when the query no longer waits
     * for an answer.
     */
    void send(ShardRequestState shardRequest, ServerState server) {
        probeLimiter.recordSend(server);
        if (!shardRequest.attempts.isEmpty()) {
            retryBudget.recordRetry();
        }
        Attempt attempt = server.startAttempt(shardRequest, clock.now(), maxShardsPerCall);
        slowStart.consume(attempt);
        double timeoutMs = Math.max(tickMs, shardRequest.query.endAtMs - clock.now());
        actions.send(shardRequest.request.id(), server.id, timeoutMs);
    }
}
