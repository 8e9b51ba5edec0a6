package reeldeal.decision;

/**
 * Limits probe requests, that is, shard requests that are sent to servers which are not trusted.
 * Their rate follows the rate of the broker's own queries: otherwise, with many faulty servers and
 * few queries, each query would be sent to a faulty server.
 */
final class ProbeLimiter {
    /** Number of mean query intervals between two probe requests to ejected servers. */
    private static final double QUERIES_PER_PROBE = 4;

    /** Weight of one interval in the moving average of the interval between queries. */
    private static final double INTERVAL_SMOOTHING = 0.3;

    private final EventClock clock;
    private double meanQueryIntervalMs;
    private double lastQueryAtMs;
    private double nextProbeAtMs;

    ProbeLimiter(EventClock clock) {
        this.clock = clock;
        this.lastQueryAtMs = clock.now();
    }

    /** Records the arrival of a query. */
    void recordQuery() {
        meanQueryIntervalMs +=
                (clock.now() - lastQueryAtMs - meanQueryIntervalMs) * INTERVAL_SMOOTHING;
        lastQueryAtMs = clock.now();
    }

    /** Records an attempt; an attempt at an ejected server is a probe request. */
    void recordSend(ServerState server) {
        if (server.health.ejected()) {
            nextProbeAtMs = clock.now() + QUERIES_PER_PROBE * meanQueryIntervalMs;
        }
    }

    /** Returns whether a server that is not trusted may get one call now. */
    boolean mayProbe(ServerState server) {
        ServerHealth health = server.health;
        if (server.callsInFlight > 0) {
            return false;
        }
        return !health.ejected()
                || (health.nextProbeAtMs <= clock.now() && nextProbeAtMs <= clock.now());
    }
}
