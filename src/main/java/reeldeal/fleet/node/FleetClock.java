package reeldeal.fleet.node;

/**
 * This node's clocks as a member of the fleet: a steady clock, and by how much the wall clock is
 * off the fleet's. Updated on the state loop.
 */
final class FleetClock {
    /** By which the fault injection lets this process's steady clock run faster or slower. */
    private static final double CLOCK_RATE =
            Double.parseDouble(System.getProperty("reeldeal.drill.clock_rate", "1"));

    private static final double NANOS_PER_MS = 1e6;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private long errorMs = UNKNOWN;
    private long fleetAheadMs;

    /** The steady clock, ms; from any thread. */
    static long nowMs() {
        return (long) (System.nanoTime() * CLOCK_RATE / NANOS_PER_MS);
    }

    /**
     * The leader sent the fleet's wall clock at some time in the last {@code roundTripMs}; what
     * lies outside of that interval is error.
     *
     * @param fleetWallMs the fleet's clock, Unix ms; 0 or less where the leader does not know it
     * @param wallMs this node's clock now, Unix ms
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

    /** By how much the wall clock is off the fleet's at the least, ms; negative while unknown. */
    long errorMs() {
        return errorMs;
    }

    /** By how much the fleet's wall clock is surely ahead of this node's, ms; may be negative. */
    long fleetAheadMs() {
        return fleetAheadMs;
    }
}
