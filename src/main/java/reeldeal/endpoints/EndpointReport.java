package reeldeal.endpoints;

import java.util.List;
import reeldeal.decision.DecisionModule.EndpointState;

/**
 * What one source reports of one searcher.
 *
 * @param set the group in which it is listed, as an SRV record's owner; a set that is empty for a
 *     moment differs from a name that leaves
 * @param name the searcher's name, the same in every source
 * @param addresses its addresses as host:port, none where the source lacks them
 * @param priority of several reports of one name the lowest counts, 0 to 65,535
 * @param weight among equal priorities the highest counts first, 0 to 65,535
 * @param cells the cells to which it is said to belong: one, unless the source is in error
 * @param zone its availability zone, or ""
 * @param kind its kind of machine, or ""
 * @param startedMs when its process started, Unix time in ms, 0 for long ago
 * @param size its relative size, 1 for an ordinary one
 * @param listed the state that the source gives it
 * @param bare whether the source has nothing but its listing: no address, no attributes
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

    /** Why the report is not valid, or null where it is. */
    String invalidReason() {
        if (addresses.isEmpty()) {
            return "no address";
        }
        return cells.isEmpty() ? "no cell" : null;
    }

    /** The same report with the state draining. */
    EndpointReport asDraining() {
        if (state == EndpointState.DRAINING) {
            return this;
        }
        return new EndpointReport(
                set,
                name,
                addresses,
                priority,
                weight,
                cells,
                zone,
                kind,
                startedMs,
                size,
                EndpointState.DRAINING,
                false);
    }
}
