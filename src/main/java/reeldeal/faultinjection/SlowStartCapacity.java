package reeldeal.faultinjection;

import java.util.ArrayDeque;

/** How much a searcher serves while it warms up; more than that overloads it. Thread-safe. */
final class SlowStartCapacity {
    /**
     * A searcher's capacity.
     *
     * @param warmPerSecond shard requests a second once it is warm
     * @param slowStartMs how long it warms up, ms
     * @param initialShare share of that which it serves as it starts
     * @param overloadFactor multiple of what it can serve that overloads it
     * @param windowMs over which requests are counted, ms
     */
    record Model(
            int warmPerSecond,
            long slowStartMs,
            double initialShare,
            double overloadFactor,
            long windowMs) {}

    private record Call(long atMs, int shardRequests) {}

    private final Model model;
    private final ArrayDeque<Call> recent = new ArrayDeque<>();

    SlowStartCapacity(Model model) {
        this.model = model;
    }

    /** Forgets all calls, for a process that was restarted. */
    synchronized void reset() {
        recent.clear();
    }

    /** Counts a call; false where it overloads a searcher that started then. Times are Unix ms. */
    synchronized boolean accepts(int shardRequests, long startedAtMs, long nowMs) {
        recent.add(new Call(nowMs, shardRequests));
        while (recent.peek().atMs() < nowMs - model.windowMs()) {
            recent.poll();
        }
        double sum = recent.stream().mapToInt(Call::shardRequests).sum();
        double limit = overloadLimit(nowMs - startedAtMs);
        boolean isWarm = nowMs - startedAtMs >= model.slowStartMs();
        return isWarm || sum <= limit + 3 * Math.sqrt(limit) + 3;
    }

    private double overloadLimit(long ageMs) {
        double ramp =
                Math.min(
                        1,
                        model.initialShare()
                                + (1 - model.initialShare()) * ageMs / model.slowStartMs());
        return model.overloadFactor() * ramp * model.warmPerSecond() * model.windowMs() / 1_000;
    }
}
