package reeldeal.decision;

import reeldeal.decision.DecisionModule.RepeatSafety;

/**
 * Decides when a shard request with attempts in flight is overdue. An overdue shard request is
 * hedged or, if hedging is off, cancelled and sent again, which guards against silent, stalled and
 * slow servers alike. Holds no state.
 */
final class HedgingPolicy {
    /** Multiple of the typical latency after which an attempt can be overdue. */
    private static final double OVERDUE_FACTOR = 2;

    /**
     * An attempt is in the tail of its query after this multiple of the time in which most of the
     * query's shard requests were answered.
     */
    private static final double TAIL_FACTOR = 3;

    private final EventClock clock;
    private final ServerRegistry registry;
    private final LatencyEstimator latency;
    private final OutlierDetector outliers;
    private final boolean hedging;

    HedgingPolicy(
            EventClock clock,
            ServerRegistry registry,
            LatencyEstimator latency,
            OutlierDetector outliers,
            boolean hedging) {
        this.clock = clock;
        this.registry = registry;
        this.latency = latency;
        this.outliers = outliers;
        this.hedging = hedging;
    }

    /** Returns the earliest time at which an attempt can be overdue. */
    double overdueAtMs(Attempt attempt) {
        return attempt.sentAtMs + overdueAfterMs(attempt);
    }

    /**
     * Returns whether all attempts in flight of a shard request are overdue and another attempt
     * could still meet the latency objective.
     */
    boolean isOverdue(ShardRequestState shardRequest) {
        QueryState query = shardRequest.query;
        if (clock.stalled()
                || query.objectiveAtMs - clock.now() < latency.typicalMs(0)
                || query.queryClass.repeatSafety() == RepeatSafety.NOT_IDEMPOTENT) {
            return false;
        }
        for (Attempt attempt : shardRequest.attempts) {
            if (!attempt.ended && !isOverdue(attempt)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether an attempt is overdue: either its server is an outlier and there is a better
     * replica, or the attempt is in the tail of its query, that is, much later than most of the
     * query's other shard requests. The second rule works even if the broker sends to each server
     * too rarely to detect outliers, and has no effect where all replicas are equally slow.
     */
    private boolean isOverdue(Attempt attempt) {
        double waitedMs = clock.now() - attempt.sentAtMs;
        if (waitedMs <= overdueAfterMs(attempt)) {
            return false;
        }
        boolean tail =
                hedging
                        && waitedMs
                                > TAIL_FACTOR * attempt.shardRequest.query.majorityAnsweredAfterMs;
        return tail || (attempt.server.health.outlierFactor > 1 && hasBetterReplica(attempt));
    }

    private boolean hasBetterReplica(Attempt attempt) {
        double factor = attempt.server.health.outlierFactor;
        for (ServerState replica : registry.replicasOf(attempt.shardRequest.request.shard())) {
            ServerHealth health = replica.health;
            if (health.outlierFactor < factor && health.trusted && !health.unresponsive) {
                return true;
            }
        }
        return false;
    }

    private double overdueAfterMs(Attempt attempt) {
        return OVERDUE_FACTOR
                * latency.typicalMs(attempt.position)
                * Math.max(1, outliers.referenceLatency());
    }
}
