package reeldeal.endpoints;

/**
 * The valid report of one source for one name, or the last valid one while it is held.
 *
 * @param source the source
 * @param report the selected report
 * @param address address of the searcher
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
        boolean held) {}
