package reeldeal.core;

/**
 * The wall clock of this process: that of the system at the start, advanced by the monotonic timer.
 * A step of the system's clock therefore neither ends nor prolongs what is under way; it takes
 * effect at the next start. May be called by any thread.
 */
public final class WallClock {
    /** Error in milliseconds that fault injection adds to the clock of this process; usually 0. */
    private static final long OFFSET_MS = Long.getLong("reeldeal.drill.wall_off_ms", 0);

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long START_MS = System.currentTimeMillis() + OFFSET_MS;
    private static final long START_NANOS = System.nanoTime();

    private WallClock() {}

    /** Returns Unix time in milliseconds, which never goes back. */
    public static long now() {
        return START_MS + (System.nanoTime() - START_NANOS) / NANOS_PER_MS;
    }
}
