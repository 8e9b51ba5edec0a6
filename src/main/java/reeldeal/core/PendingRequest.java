package reeldeal.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A request without a final answer: the shard requests of its current phase. */
final class PendingRequest {
    private static final Comparator<PendingShardRequest> BEST_FIRST =
            Comparator.comparingDouble(
                            (PendingShardRequest shardRequest) -> -shardRequest.answer.score())
                    .thenComparingInt(shardRequest -> shardRequest.shard);

    final Request request;
    final List<PendingShardRequest> currentPhase = new ArrayList<>();

    /** Set at the end of the query phase, where a fetch phase follows. */
    Effect.QueryPhaseResult queryPhase;

    boolean fetchPhaseBegun;

    /** Shard requests of both phases. */
    int shardRequestCount;

    PendingRequest(Request request) {
        this.request = request;
    }

    /** The shard requests of the current phase that are answered. */
    List<PendingShardRequest> answered() {
        return currentPhase.stream().filter(shardRequest -> shardRequest.answer != null).toList();
    }

    /** The best answers of the current phase, the highest score first, at most so many. */
    List<PendingShardRequest> bestAnswers(int limit) {
        List<PendingShardRequest> best = new ArrayList<>(answered());
        best.sort(BEST_FIRST);
        return best.subList(0, Math.min(best.size(), limit));
    }

    /** The key of the client's shard request for a shard; 0 where there is none. */
    long keyOfShard(int shard) {
        return request.shards().stream()
                .filter(shardRequest -> shardRequest.shard() == shard)
                .mapToLong(Request.ShardRequest::key)
                .findFirst()
                .orElse(0);
    }

    /** The final answer from the shard requests that are answered. */
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
