package reeldeal.server;

import reeldeal.core.WallClock;

/**
 * Returns Unix time in milliseconds that never decreases: the wall clock's time when this clock was
 * created, advanced by the system's monotonic timer. Immutable; any thread may call it.
 */
final class MonotonicClock {
    private static final double NANOS_PER_MS = 1e6;

    private final double startMs = WallClock.now();
    private final long startNanos = System.nanoTime();

    double now() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
