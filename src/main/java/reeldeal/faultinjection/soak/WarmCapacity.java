package reeldeal.faultinjection.soak;

/**
 * The work that a warm searcher is known to bear: what any warm searcher has borne lately, and at
 * least what was assumed at the start. Thread-safe.
 */
final class WarmCapacity {
    private static final double MS_PER_S = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private final double assumedPerSecond;
    private long windowEndsAt = System.nanoTime();
    private double highest; // shard requests a second, in the window that runs
    private double highestBefore; // in the window before it

    WarmCapacity(double assumedPerSecond) {
        this.assumedPerSecond = assumedPerSecond;
    }

    /** Records the shard requests that a warm searcher got within the latest window. */
    synchronized void observe(int shardRequests, long windowMs) {
        long now = System.nanoTime();
        if (now >= windowEndsAt) {
            windowEndsAt = now + windowMs * NANOS_PER_MS;
            highestBefore = highest;
            highest = 0;
        }
        highest = Math.max(highest, shardRequests * MS_PER_S / windowMs);
    }

    /** Returns the shard requests a second that a warm searcher serves. */
    synchronized double perSecond() {
        return Math.max(assumedPerSecond, Math.max(highest, highestBefore));
    }
}
