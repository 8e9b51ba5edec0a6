package reeldeal.faultinjection.soak;

import java.util.concurrent.atomic.AtomicInteger;
import reeldeal.faultinjection.DaemonThreads;

/**
 * Notices when this JVM was not scheduled in time. What the soak measures then is its own delay,
 * not that of a broker. Thread-safe.
 */
final class StallMonitor {
    private static final int INTERVAL_MS = 2;
    private static final long STALL_NANOS = 25_000_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private volatile long lastStallAt = Long.MIN_VALUE;
    private volatile long lastStallNanos;
    private final AtomicInteger stalls = new AtomicInteger();

    /** Starts a monitor, which runs until the JVM ends. */
    StallMonitor() {
        DaemonThreads.start(this::watch);
    }

    private void watch() throws InterruptedException {
        long previous = System.nanoTime();
        while (true) {
            Thread.sleep(INTERVAL_MS);
            long now = System.nanoTime();
            if (now - previous > STALL_NANOS) {
                lastStallNanos = now - previous;
                lastStallAt = now;
                stalls.incrementAndGet();
            }
            previous = now;
        }
    }

    /** Whether this JVM has stalled since a time of {@link System#nanoTime}. */
    boolean stalledSince(long nanoTime) {
        return lastStallAt != Long.MIN_VALUE && lastStallAt - nanoTime > 0;
    }

    /** Returns when the latest stall ended and how long it was, as text for a report. */
    String describeLatest() {
        if (lastStallAt == Long.MIN_VALUE) {
            return "no stall of the harness";
        }
        long agoMs = (System.nanoTime() - lastStallAt) / NANOS_PER_MS;
        return "harness stalled " + lastStallNanos / NANOS_PER_MS + " ms, " + agoMs + " ms ago";
    }

    int count() {
        return stalls.get();
    }
}
