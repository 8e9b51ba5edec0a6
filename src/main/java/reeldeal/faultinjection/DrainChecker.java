package reeldeal.faultinjection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that no shard request reaches a searcher later than 500 ms after its drain was answered as
 * done, until the drain is taken back or a newer process of the searcher is listed.
 */
final class DrainChecker {
    private static final long GRACE_MS = 500;

    private final List<History.Event> events;
    private final Findings findings;

    DrainChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void check() {
        Map<String, Long> drainedAt = new HashMap<>();
        Map<String, Long> lastRequestAfterMs = new TreeMap<>();
        for (History.Event event : events) {
            if (event.is("drained")) {
                drainedAt.put(event.source(), event.atMs());
                lastRequestAfterMs.put(event.source(), -1L);
            } else if (event.is("undrained") || event.is("listing")) {
                drainedAt.remove(event.source());
            } else if (event.is("part") && drainedAt.containsKey(event.source())) {
                long afterMs = event.atMs() - drainedAt.get(event.source());
                lastRequestAfterMs.merge(event.source(), afterMs, Math::max);
                if (afterMs > GRACE_MS) {
                    findings.addViolation(
                            "searcher "
                                    + event.source()
                                    + " received a shard request "
                                    + afterMs
                                    + (" ms after its drain, allowed are " + GRACE_MS + " ms"));
                }
            }
        }
        if (!lastRequestAfterMs.isEmpty()) {
            findings.addFigure(
                    "last part after a searcher's drain, ms (-1 for none)",
                    lastRequestAfterMs.toString());
        }
    }
}
