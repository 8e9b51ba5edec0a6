package reeldeal.fleet.takeover;

import java.util.Collection;
import java.util.Map;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;

/**
 * Checks whether searchers can be shown to drop repeats of a request. Any replica of a shard drops
 * repeats of a request that another replica has run. It therefore suffices that each replica of the
 * request's shards is still the same process as when the request was first sent: it is in this
 * node's endpoint list, and its process started before the request was first sent.
 */
public final class DeduplicationWindow {
    private DeduplicationWindow() {}

    /**
     * Returns whether all replicas of the given shards drop repeats of a request.
     *
     * @param requestShards the shards of the request
     * @param knownSearchers the searchers recorded in the log, listed now or not
     * @param listedSearchers the searchers in this node's endpoint list, null if it has no list
     * @param layout the cells that hold each shard
     * @param firstSentAtMs Unix ms at which the request was first sent
     * @param clockErrorMs the maximum difference between the clocks of two machines, ms
     */
    public static boolean coversAllReplicas(
            Collection<Integer> requestShards,
            Map<String, FleetView.KnownSearcher> knownSearchers,
            Map<String, ObservedSearcher> listedSearchers,
            DisruptionBudget.ShardLayout layout,
            long firstSentAtMs,
            long clockErrorMs) {
        if (listedSearchers == null || layout.cells() == 0) {
            return false;
        }
        for (FleetView.KnownSearcher searcher : knownSearchers.values()) {
            if (!listedSearchers.containsKey(searcher.name())
                    && isReplica(requestShards, searcher.cell(), layout)) {
                return false;
            }
        }
        for (ObservedSearcher searcher : listedSearchers.values()) {
            if (searcher.startedAtMs() > firstSentAtMs - clockErrorMs
                    && isReplica(requestShards, searcher.cell(), layout)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isReplica(
            Collection<Integer> requestShards, int cell, DisruptionBudget.ShardLayout layout) {
        return requestShards.stream()
                .anyMatch(
                        shard ->
                                Math.floorMod(cell - shard, layout.cells())
                                        < layout.consecutiveCells());
    }
}
