package reeldeal.decision;

import reeldeal.decision.DecisionModule.Actions;
import reeldeal.decision.DecisionModule.Limits;
import reeldeal.decision.DecisionModule.RepeatSafety;

/** Decides when a query ends and with which final answer; a query gets at most one. */
final class QueryCompletion {
    /** Share of {@code maxInFlight} in use above which the broker waits for no late answers. */
    private static final double LATE_ANSWER_MAX_FILL = 0.4;

    private final EventClock clock;
    private final Limits limits;
    private final Actions actions;
    private final QueryTable queries;
    private final UnservedQueries unservedQueries;
    private final RetryPolicy retryPolicy;
    private final QueryTimers timers;

    QueryCompletion(
            EventClock clock,
            Limits limits,
            Actions actions,
            QueryTable queries,
            UnservedQueries unservedQueries,
            RetryPolicy retryPolicy,
            QueryTimers timers) {
        this.clock = clock;
        this.limits = limits;
        this.actions = actions;
        this.queries = queries;
        this.unservedQueries = unservedQueries;
        this.retryPolicy = retryPolicy;
        this.timers = timers;
    }

    /** Returns whether an incomplete query must end now. */
    boolean mustEnd(QueryState query) {
        double now = clock.now();
        // If a broker that fills up waited for late answers, it would have to reject new queries.
        boolean fillingUp = queries.unitsInFlight() > LATE_ANSWER_MAX_FILL * limits.maxInFlight();
        return now >= query.endAtMs
                || (now >= query.objectiveAtMs && (query.minimumAnswered() || fillingUp))
                || (now >= query.unsentEndAtMs && query.idleAndProvenNotRun())
                || isWaitingUseless(query);
    }

    /**
     * Returns whether no further answer can come, or those that can come do not reach the minimum
     * share. Such a query would take capacity from others, and its client may still retry in time.
     */
    private boolean isWaitingUseless(QueryState query) {
        double possibleWeight = 0;
        for (ShardRequestState shardRequest : query.phaseRequests) {
            boolean possible =
                    !shardRequest.done
                            && (shardRequest.inFlight > 0 || retryPolicy.mayAttempt(shardRequest));
            possibleWeight += possible ? shardRequest.request.weight() : 0;
        }
        double minimumWeight = query.queryClass.minimumShare() - QueryState.WEIGHT_TOLERANCE;
        return !query.phaseRequests.isEmpty()
                && (possibleWeight == 0 || query.answeredWeight + possibleWeight < minimumWeight);
    }

    /**
     * Answers a query from the answers received so far, then starts a fetch phase if it has one.
     */
    void answer(QueryState query) {
        boolean complete = query.isComplete();
        if (query.phaseRequests.isEmpty()) {
            actions.fail(query.query.id());
            end(query);
            return;
        }
        actions.answer(query.query.id(), complete);
        if (query.queryClass.fetchShards() == 0 || query.inFetchPhase) {
            end(query);
            return;
        }
        query.beginFetchPhase(complete);
        timers.schedule(query);
    }

    /**
     * Ends a query whose time is up. It is answered partially if the minimum share is answered;
     * otherwise it is rejected if a retry does no harm, that is, if it is idempotent or provably
     * has not run; otherwise it fails.
     */
    void expire(QueryState query) {
        if (query.minimumAnswered() && !query.phaseRequests.isEmpty()) {
            answer(query);
            return;
        }
        boolean idempotent = query.queryClass.repeatSafety() != RepeatSafety.NOT_IDEMPOTENT;
        if (idempotent || !query.mayHaveRun()) {
            reject(query, limits.maxRetryAfterMs());
        } else {
            actions.fail(query.query.id());
            unservedQueries.add(query);
            end(query);
        }
    }

    /** Rejects a query that its client may safely retry. */
    void reject(QueryState query, double retryAfterMs) {
        actions.reject(query.query.id(), Math.min(limits.maxRetryAfterMs(), retryAfterMs));
        unservedQueries.add(query);
        end(query);
    }

    /** Removes a query, either after its final answer or without one. */
    void end(QueryState query) {
        query.ended = true;
        queries.remove(query);
    }
}
