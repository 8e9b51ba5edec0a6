package reeldeal.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the sends of the current tick by searcher, and forms calls of them at its end. */
final class OutgoingCalls {
    private final int maxShardsPerCall;
    private final Map<Long, List<Effect.Send>> bySearcher = new LinkedHashMap<>();

    OutgoingCalls(int maxShardsPerCall) {
        this.maxShardsPerCall = maxShardsPerCall;
    }

    /** Adds a send to the searcher with this id. */
    void add(long searcherId, Effect.Send send) {
        bySearcher.computeIfAbsent(searcherId, id -> new ArrayList<>()).add(send);
    }

    /** Removes and returns all sends to a searcher. */
    List<Effect.Send> withdrawAll(long searcherId) {
        List<Effect.Send> sends = bySearcher.remove(searcherId);
        return sends == null ? List.of() : sends;
    }

    /** Removes one attempt; returns false if it is not among the sends of this tick. */
    boolean withdraw(long shardRequestId, int attempt) {
        for (List<Effect.Send> sends : bySearcher.values()) {
            if (sends.removeIf(
                    send -> send.shardRequestId() == shardRequestId && send.attempt() == attempt)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Removes all sends and adds them to the effects, as calls of at most as many shard requests as
     * the layout allows in one call.
     */
    void drainTo(List<Effect> effects, SearcherDirectory searchers) {
        bySearcher.forEach(
                (searcherId, sends) -> {
                    Searcher searcher = searchers.find(searcherId);
                    for (int from = 0; from < sends.size(); from += maxShardsPerCall) {
                        int to = Math.min(sends.size(), from + maxShardsPerCall);
                        effects.add(
                                new Effect.Call(searcher, List.copyOf(sends.subList(from, to))));
                    }
                });
        bySearcher.clear();
    }
}
