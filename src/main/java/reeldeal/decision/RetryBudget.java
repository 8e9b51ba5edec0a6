package reeldeal.decision;

import java.util.ArrayDeque;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Rules;

/**
 * The budget for retries and hedged requests, exact over a sliding window: a fixed number plus a
 * ratio of the work that arrived in the window.
 */
final class RetryBudget {
    /** Share of the budget that hedged requests may use; the rest is kept for failed attempts. */
    static final double HEDGING_SHARE = 0.7;

    /** Share of the budget that queries which may be answered partially can use. */
    static final double PARTIAL_SHARE = 0.75;

    /** Retries per unit of work if no budget is configured. */
    private static final double DEFAULT_RATIO = 0.1;

    /** Length of the window, in latency objectives, if no budget is configured. */
    private static final double DEFAULT_WINDOW_OBJECTIVES = 3;

    private record Work(double atMs, int units) {}

    private final EventClock clock;
    private final RateLimitedLog log;
    private final double windowMs;
    private final double freeRetries;
    private final double ratio;
    private final ArrayDeque<Work> work = new ArrayDeque<>();
    private final ArrayDeque<Double> retries = new ArrayDeque<>();
    private double workUnits;
    private boolean exhausted;

    RetryBudget(
            EventClock clock,
            Rules rules,
            Layout layout,
            double latencyObjectiveMs,
            RateLimitedLog log) {
        boolean configured = rules.retryWindowMs() > 0;
        this.clock = clock;
        this.log = log;
        this.windowMs =
                configured ? rules.retryWindowMs() : latencyObjectiveMs * DEFAULT_WINDOW_OBJECTIVES;
        this.freeRetries = configured ? rules.freeRetries() : layout.maxShardsPerCall();
        this.ratio = configured ? rules.retryRatio() : DEFAULT_RATIO;
    }

    /** Records queries and shard requests that arrived. */
    void recordWork(int units) {
        work.add(new Work(clock.now(), units));
        workUnits += units;
        removeExpired();
    }

    /** Records a retry or a hedged request that is sent. */
    void recordRetry() {
        retries.add(clock.now());
    }

    /** Returns how many retries a share of the budget still allows; 0 or less if none. */
    int remaining(double share) {
        removeExpired();
        double allowed = freeRetries + ratio * workUnits;
        return (int) Math.floor(allowed * share + 1e-9) - retries.size();
    }

    /** Logs when the budget is exhausted and when it is restored. */
    void logChange(int remaining) {
        if (exhausted != (remaining <= 0)) {
            exhausted = !exhausted;
            log.log(exhausted ? "retry budget exhausted" : "retry budget restored");
        }
    }

    private void removeExpired() {
        double windowStartMs = clock.now() - windowMs;
        while (!retries.isEmpty() && retries.peek() < windowStartMs) {
            retries.poll();
        }
        while (!work.isEmpty() && work.peek().atMs() <= windowStartMs) {
            workUnits -= work.poll().units();
        }
    }
}
