package reeldeal.endpoints;

import reeldeal.decision.DecisionModule.EndpointState;

/**
 * The result of the reports of one source for one name.
 *
 * @param source the source
 * @param report the selected report
 * @param address address of the searcher, or null if the source only reports that it is draining
 * @param cell cell of the searcher
 * @param note text to add to the entry's reason, or ""
 * @param held whether the report is the last valid one, which replaces an invalid one
 */
record SourceFinding(
        EndpointSource source,
        EndpointReport report,
        String address,
        int cell,
        String note,
        boolean held) {

    static SourceFinding drainingOnly(EndpointSource source, EndpointReport report) {
        return new SourceFinding(source, report.asDraining(), null, 0, "", false);
    }

    boolean listsAddress() {
        return address != null;
    }

    boolean isDraining() {
        return report.state() != EndpointState.READY;
    }
}
