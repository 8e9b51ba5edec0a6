package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.RepeatSafety;

/**
 * Determines which replicas may take a shard request now: those that have capacity, can answer in
 * time, are healthy and are not much more loaded than the others. Holds no state.
 */
final class ReplicaCandidates {
    /** Amount, in calls, by which a server's load may exceed that of the least-loaded replica. */
    private static final double LOAD_TOLERANCE = 1;

    private final EventClock clock;
    private final int maxShardsPerCall;
    private final ServerRegistry registry;
    private final WaitEstimator waitEstimator;
    private final SlowStart slowStart;
    private final ProbeLimiter probeLimiter;

    ReplicaCandidates(
            EventClock clock,
            int maxShardsPerCall,
            ServerRegistry registry,
            WaitEstimator waitEstimator,
            SlowStart slowStart,
            ProbeLimiter probeLimiter) {
        this.clock = clock;
        this.maxShardsPerCall = maxShardsPerCall;
        this.registry = registry;
        this.waitEstimator = waitEstimator;
        this.slowStart = slowStart;
        this.probeLimiter = probeLimiter;
    }

    /** Returns the replicas from which {@link ReplicaSelector} may choose for a shard request. */
    List<ServerState> of(ShardRequestState shardRequest) {
        List<ServerState> replicas = registry.replicasOf(shardRequest.request.shard());
        double maxWaitMs =
                WaitEstimator.MAX_WAIT_SHARE * waitEstimator.availableMs(shardRequest.query);
        boolean anyInTime = anyInTime(replicas, maxWaitMs);
        List<ServerState> available = withCapacity(shardRequest, replicas);
        if (anyInTime) {
            // A replica that would answer too late gets nothing while any replica would answer in
            // time, even one that cannot take the shard request at this moment.
            available.removeIf(server -> waitEstimator.serverWaitMs(server) > maxWaitMs);
        }
        List<ServerState> healthy = preferHealthy(shardRequest, available);
        return withoutOverloaded(healthy);
    }

    private boolean anyInTime(List<ServerState> replicas, double maxWaitMs) {
        boolean anyInTime = false;
        for (ServerState server : replicas) {
            anyInTime |= waitEstimator.serverWaitMs(server) <= maxWaitMs;
        }
        return anyInTime;
    }

    /**
     * Returns the replicas that can take a shard request now. If some of them had no attempt of it
     * yet, only those are returned.
     */
    private List<ServerState> withCapacity(
            ShardRequestState shardRequest, List<ServerState> replicas) {
        List<ServerState> available = new ArrayList<>(replicas.size());
        boolean anyUntried = false;
        for (ServerState server : replicas) {
            if (server.health.backoffUntilMs <= clock.now()
                    && availableCapacity(server) > 0
                    && !shardRequest.inFlightAt(server)) {
                available.add(server);
                anyUntried |= !shardRequest.attemptedAt(server);
            }
        }
        if (anyUntried) {
            available.removeIf(shardRequest::attemptedAt);
        }
        return available;
    }

    /**
     * Returns the servers that are trusted or may be probed; if there are none, the responsive
     * ones; if there are none of these either, all. A server that is not trusted gets one call at a
     * time, and no shard request that is not idempotent while other servers can take it.
     */
    private List<ServerState> preferHealthy(
            ShardRequestState shardRequest, List<ServerState> available) {
        boolean idempotent =
                shardRequest.query.queryClass.repeatSafety() != RepeatSafety.NOT_IDEMPOTENT;
        List<ServerState> healthy = new ArrayList<>(available);
        healthy.removeIf(
                server -> !server.health.trusted && !(idempotent && probeLimiter.mayProbe(server)));
        if (!healthy.isEmpty()) {
            return healthy;
        }
        List<ServerState> responsive = new ArrayList<>(available);
        responsive.removeIf(server -> server.health.unresponsive);
        return responsive.isEmpty() ? available : responsive;
    }

    private static List<ServerState> withoutOverloaded(List<ServerState> servers) {
        double lowest = Double.POSITIVE_INFINITY;
        for (ServerState server : servers) {
            lowest = Math.min(lowest, server.load());
        }
        double minLoad = lowest;
        servers.removeIf(
                server -> {
                    double tolerance = server.health.outlierFactor > 1 ? 0 : LOAD_TOLERANCE;
                    return server.load() > minLoad + tolerance;
                });
        return servers;
    }

    /** Returns the number of shard requests that a server may be sent now in one call. */
    int availableCapacity(ServerState server) {
        int limit =
                server.health.trusted ? server.remainingInCall(clock.now(), maxShardsPerCall) : 1;
        boolean joinsOpenCall = server.hasOpenCall(clock.now(), maxShardsPerCall);
        return slowStart.allowed(server, limit, joinsOpenCall);
    }
}
