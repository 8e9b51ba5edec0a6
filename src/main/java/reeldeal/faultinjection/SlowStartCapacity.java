package reeldeal.faultinjection;

import java.util.ArrayDeque;

/**
 * Limits the shard requests that a searcher can serve during slow start; more overload it.
 * Thread-safe.
 */
final class SlowStartCapacity {
    /**
     * The capacity of a searcher.
     *
     * @param warmPerSecond shard requests a second that it serves after slow start
     * @param slowStartMs how long slow start takes, ms
     * @param initialShare share of {@code warmPerSecond} that it serves right after its start
     * @param overloadFactor multiple of its current capacity that overloads it
     * @param windowMs length of the sliding window in which requests are counted, ms
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

    /**
     * Counts a call, and returns whether the searcher can serve it. Returns false if the call
     * overloads a searcher in slow start, which began at {@code startedAtMs}. Times are Unix ms.
     */
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
