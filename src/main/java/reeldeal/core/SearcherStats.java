package reeldeal.core;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.decision.DecisionEngine;
import reeldeal.decision.ServerStatsSnapshot;

/**
 * Exports the decision module's observations of searchers, and imports those of other brokers.
 * Stats apply to one process of a searcher. Stats of a searcher that is not listed yet are kept
 * until it is listed.
 */
final class SearcherStats {
    private final DecisionEngine engine;
    private final SearcherDirectory searchers;
    private final Map<String, Event.ImportedServerStats> pendingStats = new HashMap<>();

    SearcherStats(DecisionEngine engine, SearcherDirectory searchers) {
        this.engine = engine;
        this.searchers = searchers;
    }

    /** Returns the decision module's observations by name of the searcher. */
    Map<String, Event.ImportedServerStats> exportStats() {
        Map<String, Event.ImportedServerStats> exported = new TreeMap<>();
        ServerStatsSnapshot.exportStats(engine)
                .forEach(
                        (id, stats) -> {
                            Searcher searcher = searchers.find(id);
                            if (searcher != null) {
                                exported.put(
                                        searcher.name(),
                                        new Event.ImportedServerStats(searcher.startedMs(), stats));
                            }
                        });
        return exported;
    }

    /** Imports stats by name of the searcher; stats of unlisted searchers are kept for later. */
    void importStats(Map<String, Event.ImportedServerStats> stats, double nowMs) {
        pendingStats.putAll(stats);
        importPending(nowMs);
    }

    /**
     * Imports the kept stats of searchers that are listed now. Must be called after each change of
     * the list.
     */
    void importPending(double nowMs) {
        pendingStats
                .entrySet()
                .removeIf(entry -> importIfListed(entry.getKey(), entry.getValue(), nowMs));
    }

    private boolean importIfListed(String name, Event.ImportedServerStats stats, double nowMs) {
        Long id = searchers.findId(name);
        Searcher searcher = id == null ? null : searchers.find(id);
        if (searcher == null) {
            return false;
        }
        if (searcher.startedMs() == stats.startedMs()) {
            ServerStatsSnapshot.importStats(engine, id, stats.stats(), nowMs);
        }
        return true;
    }
}
