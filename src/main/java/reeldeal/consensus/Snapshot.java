package reeldeal.consensus;

/**
 * The state after all entries up to an index; it replaces these entries.
 *
 * @param index the index of the last entry that the state includes; 0 for none
 * @param term the term of that entry
 * @param configuration the group's configuration at that entry
 * @param data the state, in a form that consensus does not interpret
 */
public record Snapshot(long index, long term, GroupConfiguration configuration, SnapshotData data) {
    /** Creates a snapshot whose state consists of the given bytes. */
    public Snapshot(long index, long term, GroupConfiguration configuration, byte[] data) {
        this(index, term, configuration, SnapshotData.of(data));
    }

    /** Returns this snapshot with the same state in another representation. */
    public Snapshot withData(SnapshotData sameState) {
        return new Snapshot(index, term, configuration, sameState);
    }
}
