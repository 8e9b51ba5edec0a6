package reeldeal.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import reeldeal.decision.DecisionModule.Outcome;

/**
 * Detects servers that are slow, stalled, hung, unreachable, crashed or failing by a single
 * measure: latency relative to the median server and to the other replicas of the same shards. The
 * latency is that of answers, or the time without an answer while work is in flight. If all servers
 * look bad (a general slowdown, a fault of the broker's own network, a hot shard), the reference
 * latency rises and no server is an outlier. Maintains every {@link ServerHealth}.
 */
final class OutlierDetector {
    /** Multiple of the reference latency from which a server is an outlier. */
    private static final double OUTLIER_FACTOR = 3;

    /** Latency that a failed attempt counts as at least, as a multiple of the typical one. */
    private static final double FAILURE_LATENCY = 6;

    /** Upper bound of the latency of a single outcome, as a multiple of the typical one. */
    private static final double MAX_SAMPLE_LATENCY = 2 * FAILURE_LATENCY;

    /** Wait without an answer, in typical latencies, that counts as a relative latency of 1. */
    private static final double SILENCE_FACTOR = 1.5;

    /** Lower bound of the reference latency. */
    private static final double MIN_REFERENCE = 0.7;

    /** Consecutive successes after which an ejected server is trusted again. */
    private static final int SUCCESSES_TO_READMIT = 3;

    /** Delay of the first probe request after an ejection, in latency objectives. */
    private static final double PROBE_DELAY_OBJECTIVES = 2;

    /** Maximum number of times that the delay before a probe request is doubled. */
    private static final double MAX_PROBE_DELAY_DOUBLINGS = 3;

    /** Time constant of the decay of evidence about a server, in latency objectives. */
    private static final double FADE_OBJECTIVES = 3;

    /** Weight of one outcome in a server's average latency while the evidence is fresh. */
    private static final double FRESH_SMOOTHING = 0.3;

    /** Weight of one outcome in a server's average latency once the evidence has faded. */
    private static final double FADED_SMOOTHING = 0.5;

    /** Weight of one interval in the moving average of the interval between answers. */
    private static final double INTERVAL_SMOOTHING = 0.1;

    /** Backoff after a rejection or a broken connection, in typical latencies. */
    private static final double BACKOFF_FACTOR = 0.5;

    private final EventClock clock;
    private final double latencyObjectiveMs;
    private final double fadeMs;
    private final ServerRegistry registry;
    private final LatencyEstimator latency;
    private final RateLimitedLog log;
    private double referenceLatency = 1;
    private double refreshedAtMs = -1;

    OutlierDetector(
            EventClock clock,
            double latencyObjectiveMs,
            ServerRegistry registry,
            LatencyEstimator latency,
            RateLimitedLog log) {
        this.clock = clock;
        this.latencyObjectiveMs = latencyObjectiveMs;
        this.fadeMs = FADE_OBJECTIVES * latencyObjectiveMs;
        this.registry = registry;
        this.latency = latency;
        this.log = log;
    }

    /** Must be called after each change of the registry. */
    void onServersChanged() {
        refreshedAtMs = -1;
    }

    /** Returns the median server's relative latency at the last {@link #refresh}, at least 0.7. */
    double referenceLatency() {
        return referenceLatency;
    }

    /** Returns whether an outcome is evidence about its server. */
    boolean isEvidence(Outcome outcome) {
        boolean latencyMatters = outcome == Outcome.OK || outcome == Outcome.TIMEOUT;
        return outcome != Outcome.NEVER_SENT && !(clock.stalled() && latencyMatters);
    }

    /**
     * Records the outcome of an attempt. Failures count as very late answers, so that fast errors
     * never make a server look idle.
     *
     * @param elapsedMs time from the send to the outcome
     * @param typicalMs typical latency at the attempt's position before this outcome
     */
    void recordOutcome(Attempt attempt, Outcome outcome, double elapsedMs, double typicalMs) {
        ServerState server = attempt.server;
        ServerHealth health = server.health;
        double relativeLatency = elapsedMs / typicalMs;
        if (outcome == Outcome.OK) {
            recordAnswer(server);
        } else if (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED) {
            relativeLatency = Math.max(relativeLatency, fadedLatency(health));
            health.unresponsive |= health.lastAnswerAtMs < attempt.sentAtMs;
        } else {
            relativeLatency = Math.max(relativeLatency, FAILURE_LATENCY);
            recordFailure(attempt, outcome);
        }
        smoothLatency(health, relativeLatency);
        boolean success =
                outcome == Outcome.OK
                        && relativeLatency < OUTLIER_FACTOR * Math.max(1, referenceLatency);
        health.consecutiveSuccesses = success ? health.consecutiveSuccesses + 1 : 0;
        if (!success && (!health.trusted || isSilence(health, outcome, elapsedMs, typicalMs))) {
            eject(health);
        }
        if (!health.trusted && health.consecutiveSuccesses >= SUCCESSES_TO_READMIT) {
            readmit(server);
        }
        refreshedAtMs = -1;
    }

    private void recordAnswer(ServerState server) {
        ServerHealth health = server.health;
        double intervalMs = clock.now() - Math.max(health.lastAnswerAtMs, server.busySinceMs);
        if (!server.inFlight.isEmpty()) {
            double meanMs = health.meanAnswerIntervalMs;
            health.meanAnswerIntervalMs =
                    meanMs == 0 ? intervalMs : meanMs + (intervalMs - meanMs) * INTERVAL_SMOOTHING;
        }
        health.lastAnswerAtMs = clock.now();
        health.unresponsive = false;
    }

    /**
     * Records a failure. Unless the server answered with an error, it gets nothing for the backoff
     * time: otherwise shard requests would use up their attempts at a server that is overloaded or
     * down.
     */
    private void recordFailure(Attempt attempt, Outcome outcome) {
        ServerHealth health = attempt.server.health;
        health.unresponsive |=
                health.lastAnswerAtMs < attempt.sentAtMs && outcome != Outcome.REJECTED;
        health.backoffUntilMs =
                outcome == Outcome.ERROR ? 0 : clock.now() + BACKOFF_FACTOR * latency.typicalMs(0);
    }

    /**
     * Adds a latency to the server's moving average. The older the previous evidence is, the more
     * the new latency weighs: with many brokers, each of them sends to a server only rarely.
     */
    private void smoothLatency(ServerHealth health, double relativeLatency) {
        double freshness = Math.exp((health.relativeLatencyAtMs - clock.now()) / fadeMs);
        double smoothing = FADED_SMOOTHING + (FRESH_SMOOTHING - FADED_SMOOTHING) * freshness;
        double faded = fadedLatency(health);
        health.relativeLatency =
                faded + (Math.min(relativeLatency, MAX_SAMPLE_LATENCY) - faded) * smoothing;
        health.relativeLatencyAtMs = clock.now();
    }

    /**
     * Returns whether a failed attempt shows that the server is silent. One attempt is enough while
     * other servers answer: with many brokers, each of them may not send to the server again soon.
     */
    private boolean isSilence(
            ServerHealth health, Outcome outcome, double elapsedMs, double typicalMs) {
        return health.unresponsive
                && (outcome == Outcome.TIMEOUT
                        || outcome == Outcome.CANCELLED
                        || outcome == Outcome.CONNECT_FAILED)
                && elapsedMs > OUTLIER_FACTOR * referenceLatency * typicalMs;
    }

    /**
     * Ejects a server, or keeps it ejected. Each ejection and each failed probe request doubles the
     * delay before the next probe request, up to a limit: a probe request puts a query at risk, and
     * a flapping server would otherwise be probed again and again.
     */
    private void eject(ServerHealth health) {
        if (health.trusted || health.nextProbeAtMs <= clock.now()) {
            double factor = Math.pow(2, Math.min(health.ejections++, MAX_PROBE_DELAY_DOUBLINGS));
            health.nextProbeAtMs =
                    clock.now() + PROBE_DELAY_OBJECTIVES * latencyObjectiveMs * factor;
        }
        health.trusted = false;
        health.consecutiveSuccesses = 0;
    }

    private void readmit(ServerState server) {
        server.health.trusted = true;
        server.health.relativeLatency = Math.min(server.health.relativeLatency, 1);
        log.log("server " + server.id + " readmitted");
    }

    private double fadedLatency(ServerHealth health) {
        return 1
                + (health.relativeLatency - 1)
                        * Math.exp((health.relativeLatencyAtMs - clock.now()) / fadeMs);
    }

    /**
     * Updates the health of all servers to the present time, and ejects silent servers that became
     * outliers.
     */
    void refresh() {
        if (refreshedAtMs == clock.now()) {
            return;
        }
        refreshedAtMs = clock.now();
        double[] latencies = new double[registry.servers().size()];
        int count = 0;
        for (ServerState server : registry.servers()) {
            refreshLatency(server);
            if (server.ready && !server.health.silent) {
                latencies[count++] = server.health.currentRelativeLatency;
            }
        }
        Arrays.sort(latencies, 0, count);
        referenceLatency = count == 0 ? 1 : Math.max(MIN_REFERENCE, latencies[count / 2]);
        for (ServerState server : registry.servers()) {
            refreshOutlierFactor(server);
        }
    }

    private void refreshLatency(ServerState server) {
        ServerHealth health = server.health;
        boolean waiting = !server.inFlight.isEmpty() && !clock.stalled();
        double silenceLatency = 0;
        if (waiting) {
            Attempt oldest = server.inFlight.get(0);
            silenceLatency =
                    (clock.now() - oldest.sentAtMs)
                            / latency.typicalMs(oldest.position)
                            / SILENCE_FACTOR;
        }
        health.currentRelativeLatency = Math.max(fadedLatency(health), silenceLatency);
        double silentMs = clock.now() - Math.max(health.lastAnswerAtMs, server.busySinceMs);
        health.silent =
                health.unresponsive
                        || (waiting
                                && silentMs
                                        > OUTLIER_FACTOR
                                                * Math.max(
                                                        latency.typicalMs(0),
                                                        health.meanAnswerIntervalMs));
    }

    private void refreshOutlierFactor(ServerState server) {
        ServerHealth health = server.health;
        double current = health.currentRelativeLatency;
        // The latency of other replicas does not excuse a server that answers nothing at all.
        double reference =
                health.silent || current < OUTLIER_FACTOR * referenceLatency
                        ? referenceLatency
                        : Math.max(referenceLatency, replicasLatency(server));
        health.outlierFactor = current / reference;
        if (health.outlierFactor < OUTLIER_FACTOR) {
            health.outlierFactor = 1;
        } else if (health.trusted
                && health.silent
                && fadedLatency(health) / reference >= OUTLIER_FACTOR) {
            // A slow server that answers is not ejected: its outlier factor limits its load.
            eject(health);
            log.log("server " + server.id + " ejected");
        }
    }

    /**
     * Returns the lower median of the latencies of all servers that share shards with this one: a
     * hot shard is not the fault of a single replica.
     */
    private double replicasLatency(ServerState server) {
        List<Double> latencies = new ArrayList<>();
        int neighbourCells = registry.neighbourCells();
        for (int offset = -neighbourCells; offset <= neighbourCells; offset++) {
            for (ServerState replica : registry.cell(server.listEntry.cell() + offset)) {
                latencies.add(replica.health.currentRelativeLatency);
            }
        }
        latencies.sort(null);
        return latencies.isEmpty() ? 1 : latencies.get((latencies.size() - 1) / 2);
    }
}
