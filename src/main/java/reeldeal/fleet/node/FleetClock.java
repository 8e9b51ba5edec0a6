package reeldeal.fleet.node;

/**
 * The clocks of this node as a member of the fleet: a steady clock, and the deviation of the wall
 * clock from the fleet's. Updated on the state loop.
 */
final class FleetClock {
    /** The factor by which fault injection speeds up or slows down this process's steady clock. */
    private static final double CLOCK_RATE =
            Double.parseDouble(System.getProperty("reeldeal.drill.clock_rate", "1"));

    private static final double NANOS_PER_MS = 1e6;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private long errorMs = UNKNOWN;
    private long fleetAheadMs;

    /** Returns the time of the steady clock, ms; callable from any thread. */
    static long nowMs() {
        return (long) (System.nanoTime() * CLOCK_RATE / NANOS_PER_MS);
    }

    /**
     * Updates the deviation of this node's wall clock. The leader read the fleet's clock at some
     * time in the last {@code roundTripMs}, so that only a difference outside of that interval
     * counts as an error.
     *
     * @param fleetWallMs the fleet's clock, Unix ms; 0 or less if the leader does not know it
     * @param wallMs this node's clock now, Unix ms
     * @param roundTripMs the time from the heartbeat to its answer, ms
     */
    void onFleetWallClock(long fleetWallMs, long wallMs, long roundTripMs) {
        if (fleetWallMs <= 0) {
            return;
        }
        long behindMs = fleetWallMs - wallMs;
        long aheadMs = wallMs - roundTripMs - fleetWallMs;
        errorMs = Math.max(0, Math.max(behindMs, aheadMs));
        if (errorMs == 0) {
            fleetAheadMs = 0;
        } else {
            fleetAheadMs = behindMs > 0 ? behindMs : -aheadMs;
        }
    }

    /**
     * Returns the minimum deviation of the wall clock from the fleet's, ms; negative if unknown.
     */
    long errorMs() {
        return errorMs;
    }

    /**
     * Returns by how much the fleet's wall clock is at least ahead, ms; negative if it is behind.
     */
    long fleetAheadMs() {
        return fleetAheadMs;
    }
}
