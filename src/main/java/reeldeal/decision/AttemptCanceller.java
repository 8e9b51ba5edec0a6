package reeldeal.decision;

import java.util.List;
import reeldeal.decision.DecisionModule.Actions;

/**
 * Cancels overdue attempts so that they are sent again, where hedging is off. A server that can
 * cancel only whole calls keeps working on a cancelled attempt until its call has ended, so that
 * all attempts of the call are cancelled together or none is.
 */
final class AttemptCanceller {
    private final Actions actions;
    private final RetryPolicy retryPolicy;

    AttemptCanceller(Actions actions, RetryPolicy retryPolicy) {
        this.actions = actions;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Cancels an attempt that is in flight, and the others of its call if the server can cancel
     * only all of them. Does nothing if one of these must not be sent again.
     *
     * @param retries the number of retries that the retry budget allows
     */
    void cancel(Attempt overdue, int retries) {
        if (overdue.cancelled) {
            return;
        }
        List<Attempt> together = cancelledTogether(overdue);
        long resent = together.stream().filter(AttemptCanceller::isNeeded).count();
        if (resent <= retries && together.stream().allMatch(this::mayBeCancelled)) {
            together.forEach(this::cancel);
        }
    }

    private List<Attempt> cancelledTogether(Attempt overdue) {
        ServerState server = overdue.server;
        if (!actions.cancelsWholeCalls(server.id)) {
            return List.of(overdue);
        }
        return server.inFlight.stream().filter(attempt -> attempt.call == overdue.call).toList();
    }

    private static boolean isNeeded(Attempt attempt) {
        return !attempt.shardRequest.done && !attempt.shardRequest.query.ended;
    }

    private boolean mayBeCancelled(Attempt attempt) {
        return !isNeeded(attempt) || retryPolicy.mayAttempt(attempt.shardRequest);
    }

    private void cancel(Attempt attempt) {
        if (!attempt.cancelled) {
            attempt.cancelled = true;
            ShardRequestState shardRequest = attempt.shardRequest;
            actions.cancel(shardRequest.request.id(), shardRequest.attempts.indexOf(attempt));
        }
    }
}
