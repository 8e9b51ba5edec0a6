package reeldeal.core;

/** The wall clock of this process. May be called by any thread. */
public final class WallClock {
    /** Error in milliseconds that fault injection adds to the clock of this process; usually 0. */
    private static final long OFFSET_MS = Long.getLong("reeldeal.drill.wall_off_ms", 0);

    private WallClock() {}

    /** Returns Unix time in milliseconds, which may go back when the system's clock is set. */
    public static long now() {
        return System.currentTimeMillis() + OFFSET_MS;
    }
}
