package reeldeal.decision;

/**
 * Holds the time of the event that is being handled, and whether the broker's event loop stalled
 * before that event, as during a long garbage collection or while the process is stopped. Advanced
 * by {@link DecisionEngine} only; times are in milliseconds of the events' clock.
 */
final class EventClock {
    /** Ticks between two reviews of a waiting query. */
    static final double REVIEW_INTERVAL_TICKS = 4;

    /** Review intervals without any event after which the broker's event loop has stalled. */
    private static final double STALL_REVIEW_INTERVALS = 3;

    private final double stallAfterMs;
    private double nowMs;
    private boolean stalled;

    EventClock(double nowMs, double tickMs) {
        this.nowMs = nowMs;
        this.stallAfterMs = STALL_REVIEW_INTERVALS * REVIEW_INTERVAL_TICKS * tickMs;
    }

    double now() {
        return nowMs;
    }

    /**
     * Returns whether the current tick follows a stall of the broker. Missing and late answers that
     * are found in such a tick are not the servers' fault.
     */
    boolean stalled() {
        return stalled;
    }

    /**
     * Advances to the time of an event; an earlier time is ignored.
     *
     * @param queriesInFlight whether queries are in flight: their timers cause an event at least
     *     every review interval, so a much longer gap means that the event loop stalled
     */
    void advance(double eventMs, boolean queriesInFlight) {
        if (eventMs > nowMs) {
            stalled = queriesInFlight && eventMs - nowMs > stallAfterMs;
            nowMs = eventMs;
        }
    }
}
