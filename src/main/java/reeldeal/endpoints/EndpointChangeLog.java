package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reeldeal.core.Searcher;

/**
 * Collects what a view has to publish: the latest state of each entry that changed, and log lines.
 * Owned by the view and used on its thread.
 */
final class EndpointChangeLog {
    private final Map<String, Searcher> changes = new LinkedHashMap<>();
    private final List<String> lines = new ArrayList<>();

    void addChange(Searcher searcher) {
        changes.put(searcher.name(), searcher);
    }

    void log(String line) {
        lines.add(line);
    }

    List<Searcher> takeChanges() {
        List<Searcher> taken = List.copyOf(changes.values());
        changes.clear();
        return taken;
    }

    List<String> takeLines() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }
}
