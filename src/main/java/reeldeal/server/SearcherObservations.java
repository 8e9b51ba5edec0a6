package reeldeal.server;

import java.util.Map;
import java.util.TreeMap;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.endpoints.EndpointView;
import reeldeal.fleet.disruption.ObservedSearcher;

/** Converts the endpoint view into the searcher observations that the fleet uses. */
final class SearcherObservations {
    private SearcherObservations() {}

    /**
     * Returns an observation of each searcher in the endpoint view, by name; null if the view lists
     * no searcher.
     *
     * @param slowStartMs how long slow start lasts after a searcher's start, ms
     * @param nowMs the fleet's time, Unix ms
     */
    static Map<String, ObservedSearcher> of(ZoneWiring zones, double slowStartMs, double nowMs) {
        Map<String, ObservedSearcher> observed = new TreeMap<>();
        for (EndpointView.Entry entry : zones.view()) {
            if (entry.searcher().state() != EndpointState.REMOVED) {
                observed.put(entry.searcher().name(), observe(entry, slowStartMs, nowMs));
            }
        }
        return observed.isEmpty() ? null : observed;
    }

    private static ObservedSearcher observe(
            EndpointView.Entry entry, double slowStartMs, double nowMs) {
        Searcher searcher = entry.searcher();
        // A searcher that the fleet itself drains counts as ready: its state in the list without
        // that drain is what matters here.
        boolean ready =
                searcher.state() == EndpointState.READY
                        || entry.reason().startsWith(EndpointView.DRAINED_BY_FLEET_REASON);
        double startedMs = searcher.startedMs();
        boolean warm = startedMs == 0 || nowMs - startedMs >= slowStartMs;
        return new ObservedSearcher(
                searcher.name(),
                searcher.zone(),
                searcher.kind(),
                searcher.cell(),
                (long) startedMs,
                ready,
                warm,
                false);
    }
}
