package reeldeal.decision;

import reeldeal.decision.ServerStatsSnapshot.ServerStats;

/**
 * One server's health as observed by this broker. Changed only by {@link OutlierDetector} and
 * {@link #restore}. Latencies are relative to the typical latency of the fleet: 1 is normal.
 */
final class ServerHealth {
    /**
     * False while the server is ejected, and for a process that replaces an earlier one until it
     * has answered successfully.
     */
    boolean trusted;

    /** Whether an attempt failed and no answer has come since that attempt was sent. */
    boolean unresponsive;

    /** Whether it is unresponsive, or overdue with its next answer while work is in flight. */
    boolean silent;

    int consecutiveSuccesses;
    int ejections;

    /** Smoothed relative latency as of {@link #relativeLatencyAtMs}. */
    double relativeLatency = 1;

    double relativeLatencyAtMs;

    /** The present relative latency, including the wait of the oldest attempt in flight. */
    double currentRelativeLatency = 1;

    /** For an outlier its present latency relative to healthy servers, otherwise 1. */
    double outlierFactor = 1;

    /** Mean interval between two answers while work is in flight; 0 if none was observed. */
    double meanAnswerIntervalMs;

    double lastAnswerAtMs;

    /** Time before which nothing is sent, after the server rejected work or was unreachable. */
    double backoffUntilMs;

    /** Earliest time of the next probe request after an ejection. */
    double nextProbeAtMs;

    ServerHealth(boolean trusted) {
        this.trusted = trusted;
    }

    /** Returns whether the server was ejected for failures and has had no success since. */
    boolean ejected() {
        return !trusted && ejections > 0 && consecutiveSuccesses == 0;
    }

    /** Restores another broker's observations; an ejected server is due for a probe at once. */
    void restore(ServerStats stats, double nowMs) {
        if (stats.ejected()) {
            trusted = false;
            unresponsive = stats.unresponsive();
            ejections = 1;
        }
        relativeLatency = stats.relativeLatency();
        relativeLatencyAtMs = nowMs;
    }
}
