package reeldeal.endpoints;

import reeldeal.decision.DecisionModule.EndpointState;

/**
 * What the reports of one source come to for one name.
 *
 * @param address the searcher's address, or null where the source only reports that it is draining
 * @param note what to add to the entry's reason, or ""
 * @param held whether the last valid report replaces an invalid one
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
