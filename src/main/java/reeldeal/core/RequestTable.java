package reeldeal.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests without a final answer, and their shard requests. A shard request stays in the table
 * after the end of its request until all its attempts have ended.
 */
final class RequestTable {
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final Map<Long, PendingShardRequest> shardRequests = new HashMap<>();
    private int unitsInFlight;
    private long nextShardRequestId = 1;

    /** Adds a request, without its shard requests. */
    PendingRequest add(Request request) {
        PendingRequest pending = new PendingRequest(request);
        requests.put(request.id(), pending);
        unitsInFlight++;
        return pending;
    }

    /** Adds a shard request to a request's current phase. */
    PendingShardRequest addShardRequest(PendingRequest pending, int shard) {
        PendingShardRequest shardRequest =
                new PendingShardRequest(nextShardRequestId++, pending, shard);
        shardRequests.put(shardRequest.id, shardRequest);
        pending.currentPhase.add(shardRequest);
        pending.shardRequestCount++;
        unitsInFlight++;
        return shardRequest;
    }

    /** Removes a request; {@link #removeIfIdle} removes its shard requests. */
    void remove(PendingRequest pending) {
        requests.remove(pending.request.id());
        unitsInFlight -= 1 + pending.shardRequestCount;
    }

    /** Removes a completed shard request once no attempt of it is in flight. */
    void removeIfIdle(PendingShardRequest shardRequest) {
        if (shardRequest.completed && shardRequest.inFlight == 0) {
            shardRequests.remove(shardRequest.id);
        }
    }

    /** Returns the open request with this id, or null. */
    PendingRequest find(long requestId) {
        return requests.get(requestId);
    }

    /** Returns the shard request with this id, or null. */
    PendingShardRequest findShardRequest(long shardRequestId) {
        return shardRequests.get(shardRequestId);
    }

    /** Returns the number of open requests. */
    int size() {
        return requests.size();
    }

    /** Returns the number of open requests plus their shard requests, which the settings limit. */
    int unitsInFlight() {
        return unitsInFlight;
    }
}
