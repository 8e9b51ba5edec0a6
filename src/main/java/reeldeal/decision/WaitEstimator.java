package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;

/** Estimates how long servers take to answer and how long queries wait. Holds no state. */
final class WaitEstimator {
    /** Largest share of {@link #availableMs} that a wait may take; a longer wait is too long. */
    static final double MAX_WAIT_SHARE = 0.65;

    private record ShardWait(double waitMs, double weight) {}

    private final EventClock clock;
    private final double latencyObjectiveMs;
    private final ServerRegistry registry;
    private final LatencyEstimator latency;
    private final SlowStart slowStart;
    private final QueryTable queries;

    WaitEstimator(
            EventClock clock,
            double latencyObjectiveMs,
            ServerRegistry registry,
            LatencyEstimator latency,
            SlowStart slowStart,
            QueryTable queries) {
        this.clock = clock;
        this.latencyObjectiveMs = latencyObjectiveMs;
        this.registry = registry;
        this.latency = latency;
        this.slowStart = slowStart;
        this.queries = queries;
    }

    /** Returns the milliseconds left for a query, at most the lowest latency objective. */
    double availableMs(QueryState query) {
        return Math.min(query.objectiveAtMs - clock.now(), latencyObjectiveMs);
    }

    /**
     * Returns the milliseconds until a server would answer a shard request that is sent now, from
     * its present latency, its work in flight, its slow start and its backoff.
     */
    double serverWaitMs(ServerState server) {
        ServerHealth health = server.health;
        double intervalMs =
                health.meanAnswerIntervalMs > 0 || !latency.hasSamples()
                        ? health.meanAnswerIntervalMs
                        : latency.typicalMs(0) / 2;
        double waitMs =
                Math.max(
                        health.currentRelativeLatency * latency.typicalMs(0),
                        server.inFlight.size() * intervalMs);
        if (slowStart.isWarmingUp(server)) {
            long waiting = queries.waitingInCell(server.listEntry.cell(), registry);
            waitMs += slowStart.delayMs(server, waiting);
        }
        return waitMs + Math.max(0, health.backoffUntilMs - clock.now());
    }

    /**
     * Returns the milliseconds until as many shards as the query needs would have been answered by
     * their fastest replicas. A hot shard therefore delays only the queries that need it.
     */
    double queryWaitMs(QueryState query) {
        List<ShardWait> waits = new ArrayList<>();
        for (ShardRequestState shardRequest : query.phaseRequests) {
            double minMs = Double.POSITIVE_INFINITY;
            for (ServerState server : registry.replicasOf(shardRequest.request.shard())) {
                minMs = Math.min(minMs, serverWaitMs(server));
            }
            waits.add(new ShardWait(minMs, shardRequest.request.weight()));
        }
        waits.sort((one, other) -> Double.compare(one.waitMs(), other.waitMs()));
        double weight = 0;
        for (ShardWait wait : waits) {
            weight += wait.weight();
            if (weight >= query.queryClass.minimumShare() - QueryState.WEIGHT_TOLERANCE) {
                return wait.waitMs();
            }
        }
        return 0;
    }
}
