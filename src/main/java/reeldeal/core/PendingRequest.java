package reeldeal.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A request that has no final answer yet, with the shard requests of its current phase. */
final class PendingRequest {
    private static final Comparator<PendingShardRequest> BEST_FIRST =
            Comparator.comparingDouble(
                            (PendingShardRequest shardRequest) -> -shardRequest.answer.score())
                    .thenComparingInt(shardRequest -> shardRequest.shard);

    final Request request;
    final List<PendingShardRequest> currentPhase = new ArrayList<>();

    /** The result of the query phase; set at its end if a fetch phase follows, null before. */
    Effect.QueryPhaseResult queryPhase;

    boolean fetchPhaseBegun;

    /** Whether the request has its final answer, or its client has left. */
    boolean closed;

    /** Number of attempts in both phases that have not ended. */
    int attemptsInFlight;

    /** Number of shard requests in both phases. */
    int shardRequestCount;

    PendingRequest(Request request) {
        this.request = request;
    }

    /** Whether the request is closed and no searcher holds a shard request of it any more. */
    boolean isOver() {
        return closed && attemptsInFlight == 0;
    }

    /** Returns the shard requests of the current phase that are answered. */
    List<PendingShardRequest> answered() {
        return currentPhase.stream().filter(shardRequest -> shardRequest.answer != null).toList();
    }

    /**
     * Returns the answered shard requests of the current phase with the highest scores.
     *
     * @param limit maximum number of shard requests to return
     * @return the shard requests, the highest score first
     */
    List<PendingShardRequest> bestAnswers(int limit) {
        List<PendingShardRequest> best = new ArrayList<>(answered());
        best.sort(BEST_FIRST);
        return best.subList(0, Math.min(best.size(), limit));
    }

    /** Returns the key of the client's shard request for a shard, or 0 if there is none. */
    long keyOfShard(int shard) {
        return request.shards().stream()
                .filter(shardRequest -> shardRequest.shard() == shard)
                .mapToLong(Request.ShardRequest::key)
                .findFirst()
                .orElse(0);
    }

    /** Builds the final answer from the shard requests that are answered. */
    Reply.Served reply(boolean phaseComplete) {
        boolean complete = phaseComplete && (queryPhase == null || queryPhase.complete());
        return new Reply.Served(
                complete,
                answered().stream()
                        .map(
                                shardRequest ->
                                        new Reply.Hit(
                                                shardRequest.shard,
                                                shardRequest.answer.value(),
                                                shardRequest.answer.score()))
                        .toList());
    }
}
