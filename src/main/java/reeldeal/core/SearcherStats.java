package reeldeal.core;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.decision.DecisionEngine;
import reeldeal.decision.ServerStatsSnapshot;

/**
 * Exports what the decision module has observed of searchers, and imports what others have. Stats
 * concern one process of a searcher; those of a searcher that is not listed yet wait for it.
 */
final class SearcherStats {
    private final DecisionEngine engine;
    private final SearcherDirectory searchers;
    private final Map<String, Event.ImportedServerStats> pendingStats = new HashMap<>();

    SearcherStats(DecisionEngine engine, SearcherDirectory searchers) {
        this.engine = engine;
        this.searchers = searchers;
    }

    /** The module's observations by name of the searcher. */
    Map<String, Event.ImportedServerStats> exportStats() {
        Map<String, Event.ImportedServerStats> exported = new TreeMap<>();
        ServerStatsSnapshot.of(engine)
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

    /** Imports stats by name of the searcher. */
    void importStats(Map<String, Event.ImportedServerStats> stats, double nowMs) {
        pendingStats.putAll(stats);
        importPending(nowMs);
    }

    /**
     * Imports stats whose searchers are listed by now; must be called after each change of these.
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
