package reeldeal.faultinjection.soak;

/**
 * The work that a searcher bears while it starts slowly, by the terms of acceptance.
 *
 * @param warm the work that a warm searcher bears
 * @param initialShare the share of it that it serves right after its start
 * @param slowStartMs how long the start takes, ms
 * @param overloadFactor the multiple of the present capacity that overloads it
 * @param windowMs the length of the sliding window in which work is counted, ms
 */
record SlowStartBudget(
        WarmCapacity warm,
        double initialShare,
        double slowStartMs,
        double overloadFactor,
        long windowMs) {
    private static final int SMALL = 30;

    /** Returns the most shard requests within one window, at this age of the searcher in ms. */
    double limit(double ageMs) {
        double ramp = initialShare + (1 - initialShare) * Math.min(1, ageMs / slowStartMs);
        double allowed = overloadFactor * ramp * warm.perSecond() * windowMs / 1_000;
        return allowed < SMALL
                ? allowed + 3 * Math.sqrt(allowed) + 3
                : allowed + 2 * Math.sqrt(allowed) + 2;
    }
}
