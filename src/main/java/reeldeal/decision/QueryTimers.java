package reeldeal.decision;

import reeldeal.decision.DecisionModule.Actions;
import reeldeal.decision.DecisionModule.Settings;

/** Sets a query's time limits and schedules the timers that trigger its reviews. */
final class QueryTimers {
    /** Safety margin before a time limit at which the final answer is given, in ticks. */
    private static final double MARGIN_TICKS = 3;

    /** Share of the time to the deadline after which a query that could not be sent ends. */
    private static final double UNSENT_SHARE = 0.5;

    /** Smallest late priority weight of a class for which the broker waits past the objective. */
    private static final double MIN_LATE_PRIORITY = 0.2;

    private final EventClock clock;
    private final Actions actions;
    private final HedgingPolicy hedgingPolicy;
    private final double marginMs;
    private final double reviewIntervalMs;

    QueryTimers(EventClock clock, Settings settings, Actions actions, HedgingPolicy hedgingPolicy) {
        this.clock = clock;
        this.actions = actions;
        this.hedgingPolicy = hedgingPolicy;
        this.marginMs = MARGIN_TICKS * settings.tickMs();
        this.reviewIntervalMs = EventClock.REVIEW_INTERVAL_TICKS * settings.tickMs();
    }

    /** Sets the time limits of a new query. */
    void setLimits(QueryState query, double startedAtMs) {
        query.startedAtMs = startedAtMs;
        double objectiveMs = startedAtMs + query.queryClass.latencyObjectiveMs() - marginMs;
        double deadlineMs = query.query.deadlineMs() - marginMs;
        boolean lateAnswerCounts = query.queryClass.latePriorityWeight() >= MIN_LATE_PRIORITY;
        query.endAtMs = lateAnswerCounts ? deadlineMs : Math.min(deadlineMs, objectiveMs);
        query.objectiveAtMs = Math.min(objectiveMs, deadlineMs);
        query.unsentEndAtMs =
                clock.now() + UNSENT_SHARE * (query.query.deadlineMs() - clock.now()) - marginMs;
    }

    /** Sets the time of the next review of a query that was just reviewed, and its timer. */
    void scheduleReview(QueryState query) {
        query.nextReviewAtMs = nextReviewAtMs(query);
        schedule(query);
    }

    /**
     * Schedules a query's next timer unless an earlier one is already scheduled. A timer fires
     * every review interval even if there is nothing to review: a longer gap between events shows
     * that the broker stalled.
     */
    void schedule(QueryState query) {
        double dueMs = Math.min(query.nextLimitMs(clock.now()), clock.now() + reviewIntervalMs);
        if (query.timerAtMs > dueMs) {
            query.timerAtMs = dueMs;
            actions.scheduleTimer(Math.max(0, dueMs - clock.now()), query.timerToken);
        }
    }

    /** Returns the time of the next review: now if a shard request waits to be sent. */
    private double nextReviewAtMs(QueryState query) {
        double dueMs = query.nextLimitMs(clock.now());
        for (ShardRequestState shardRequest : query.phaseRequests) {
            if (!shardRequest.done && shardRequest.inFlight == 0) {
                dueMs = clock.now();
            }
            for (Attempt attempt : shardRequest.attempts) {
                if (!attempt.ended) {
                    dueMs = Math.min(dueMs, hedgingPolicy.overdueAtMs(attempt));
                }
            }
        }
        return dueMs;
    }
}
