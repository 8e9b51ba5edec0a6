package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the replica for each shard request by a greedy set cover. The server that can take the
 * largest number of unsent shard requests gets them in one call; ties go to the least-loaded
 * server. If that server can take only one, the shard request goes to its own least-loaded replica.
 * Holds no state of its own.
 */
final class ReplicaSelector {
    private final int zone;
    private final ServerRegistry registry;
    private final ReplicaCandidates candidates;
    private final AttemptSender sender;

    ReplicaSelector(
            int zone, ServerRegistry registry, ReplicaCandidates candidates, AttemptSender sender) {
        this.zone = zone;
        this.registry = registry;
        this.candidates = candidates;
        this.sender = sender;
    }

    /**
     * Sends these shard requests of a query as far as replicas can take them; those that cannot be
     * sent wait for the next review. If the query's class is complete with a share of the shards,
     * no first attempts beyond that share are sent. {@link OutlierDetector#refresh} must have been
     * called at the current time.
     */
    void sendAll(QueryState query, List<ShardRequestState> toSend) {
        List<ShardRequestState> unsent = new ArrayList<>(toSend);
        unsent.forEach(shardRequest -> shardRequest.candidates = null);
        double neededWeight = neededWeight(query);
        double plannedWeight = plannedWeight(query);
        while (!unsent.isEmpty()) {
            Assignment assignment = nextAssignment(unsent, query.query.key());
            if (assignment == null) {
                return;
            }
            for (ShardRequestState shardRequest : assignment.shardRequests()) {
                boolean retry = !shardRequest.attempts.isEmpty();
                if (plannedWeight >= neededWeight && !retry) {
                    return;
                }
                boolean single = assignment.shardRequests().size() == 1;
                ServerState server =
                        single
                                ? leastLoaded(shardRequest, assignment.server())
                                : assignment.server();
                sender.send(shardRequest, server);
                unsent.remove(shardRequest);
                dropCandidatesAt(server, unsent);
                plannedWeight +=
                        shardRequest.inFlight > 1 || retry ? 0 : shardRequest.request.weight();
            }
        }
    }

    /** A server and the shard requests that are sent to it in one call. */
    private record Assignment(ServerState server, List<ShardRequestState> shardRequests) {}

    private static double neededWeight(QueryState query) {
        double share = query.queryClass.completeShare();
        return query.inFetchPhase || share == 1
                ? Double.POSITIVE_INFINITY
                : share - QueryState.WEIGHT_TOLERANCE;
    }

    private static double plannedWeight(QueryState query) {
        double weight = 0;
        for (ShardRequestState shardRequest : query.phaseRequests) {
            boolean planned = shardRequest.done || shardRequest.inFlight > 0;
            weight += planned ? shardRequest.request.weight() : 0;
        }
        return weight;
    }

    /**
     * Clears the candidates of the unsent shard requests that this server could take: its load has
     * changed, which affects the choice for these and no others.
     */
    private void dropCandidatesAt(ServerState server, List<ShardRequestState> unsent) {
        for (ShardRequestState shardRequest : unsent) {
            if (registry.replicasOf(shardRequest.request.shard()).contains(server)) {
                shardRequest.candidates = null;
            }
        }
    }

    /**
     * Returns the server that can take the most shard requests, together with those; null if no
     * server can take any.
     */
    private Assignment nextAssignment(List<ShardRequestState> unsent, long key) {
        ServerState best = null;
        List<ShardRequestState> bestShardRequests = List.of();
        int bestCount = 0;
        for (Map.Entry<ServerState, List<ShardRequestState>> entry :
                byCandidate(unsent).entrySet()) {
            ServerState server = entry.getKey();
            int count = Math.min(entry.getValue().size(), candidates.availableCapacity(server));
            if (count > bestCount
                    || (count == bestCount && count > 0 && isPreferred(server, best, key))) {
                best = server;
                bestShardRequests = entry.getValue();
                bestCount = count;
            }
        }
        return best == null
                ? null
                : new Assignment(best, List.copyOf(bestShardRequests.subList(0, bestCount)));
    }

    /** Returns the shard requests that each server may take, with the servers in order of id. */
    private Map<ServerState, List<ShardRequestState>> byCandidate(List<ShardRequestState> unsent) {
        Map<ServerState, List<ShardRequestState>> shardRequestsByServer =
                new TreeMap<>((one, other) -> Long.compare(one.id, other.id));
        for (ShardRequestState shardRequest : unsent) {
            if (shardRequest.candidates == null) {
                shardRequest.candidates = candidates.of(shardRequest);
            }
            for (ServerState server : shardRequest.candidates) {
                shardRequestsByServer
                        .computeIfAbsent(server, newServer -> new ArrayList<>())
                        .add(shardRequest);
            }
        }
        return shardRequestsByServer;
    }

    private ServerState leastLoaded(ShardRequestState shardRequest, ServerState initial) {
        ServerState best = initial;
        for (ServerState server : shardRequest.candidates) {
            if (isPreferred(server, best, shardRequest.query.query.key())) {
                best = server;
            }
        }
        return best;
    }

    /**
     * Compares two servers by load, then by whether they are in the broker's own zone, then by
     * rendezvous hashing of the query's key.
     */
    private boolean isPreferred(ServerState server, ServerState other, long key) {
        if (other == null || server.load() != other.load()) {
            return other == null || server.load() < other.load();
        }
        boolean sameZone = server.listEntry.zone() == zone;
        if (sameZone != (other.listEntry.zone() == zone)) {
            return sameZone;
        }
        return Long.compareUnsigned(rank(key, server), rank(key, other)) > 0;
    }

    private static long rank(long key, ServerState server) {
        return Hashing.mix64(key ^ Hashing.mix64(server.id));
    }
}
