package reeldeal.decision;

import reeldeal.decision.DecisionModule.Actions;

/** Writes to the operators' log, and drops lines that follow the previous one too soon. */
final class RateLimitedLog {
    private final EventClock clock;
    private final Actions actions;
    private final double minIntervalMs;
    private double lastLineAtMs;

    RateLimitedLog(EventClock clock, Actions actions, double minIntervalMs) {
        this.clock = clock;
        this.actions = actions;
        this.minIntervalMs = minIntervalMs;
        this.lastLineAtMs = clock.now();
    }

    void log(String line) {
        if (clock.now() - lastLineAtMs >= minIntervalMs) {
            lastLineAtMs = clock.now();
            actions.log(line);
        }
    }
}
