package reeldeal.endpoints;

import java.util.List;
import reeldeal.decision.DecisionModule.EndpointState;

/**
 * A report of one source about one searcher.
 *
 * @param set name of the set in which the searcher is listed, such as the owner of an SRV record; a
 *     set that becomes empty is treated differently from a name that leaves its set
 * @param name name of the searcher, which is the same in every source
 * @param addresses addresses of the searcher as host:port; empty if the source has none
 * @param priority priority of the report, 0 to 65,535; of several reports of one name the one with
 *     the lowest priority is used
 * @param weight weight of the report, 0 to 65,535; a higher weight is preferred among reports of
 *     equal priority
 * @param cells the cells to which the searcher belongs; exactly one unless the source is wrong
 * @param zone availability zone of the searcher, or ""
 * @param kind kind of machine, or ""
 * @param startedMs start of the searcher's process, Unix time in milliseconds; 0 for long ago
 * @param size relative size of the searcher; 1 is the ordinary size
 * @param state the state in which the source lists the searcher
 * @param withoutRecords whether the source only lists the name, and has neither an address nor
 *     attributes for it
 */
public record EndpointReport(
        String set,
        String name,
        List<String> addresses,
        int priority,
        int weight,
        List<Integer> cells,
        String zone,
        String kind,
        double startedMs,
        double size,
        EndpointState state,
        boolean withoutRecords) {

    /** Returns the reason for which the report is invalid, or null if it is valid. */
    String invalidReason() {
        if (addresses.isEmpty()) {
            return "no address";
        }
        return cells.isEmpty() ? "no cell" : null;
    }
}
