package reeldeal.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The log of one node: its latest snapshot and the entries after it, the index up to which they are
 * committed, delivered and on disk, and the changes for which no disk request was issued yet.
 */
final class RaftLog {
    /** The approximate size of an entry in a message without its data, in bytes. */
    private static final int ENTRY_OVERHEAD_BYTES = 32;

    /** The approximate heap size of an entry without the content of its data, in bytes. */
    private static final long ENTRY_HEAP_BYTES = 72;

    private final Outbox outbox;
    private final List<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private long heapBytes;
    private long deliveredHeapBytes;
    private long commitIndex;
    private long deliveredIndex;
    private long durableIndex;
    private long unsavedFrom = Long.MAX_VALUE;
    private Snapshot unsavedSnapshot;
    private boolean unsavedReset;

    /**
     * Creates a log from the snapshot and entries on disk. Committed entries and installed
     * snapshots go to {@code outbox}.
     */
    RaftLog(Snapshot snapshot, List<Entry> entries, Outbox outbox) {
        this.outbox = outbox;
        this.snapshot = snapshot;
        entries.forEach(this::add);
        this.commitIndex = snapshot.index();
        this.deliveredIndex = snapshot.index();
        this.durableIndex = lastIndex();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotIndex() {
        return snapshot.index();
    }

    long lastIndex() {
        return snapshot.index() + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Returns the index of the last entry on this node's disk. */
    long durableIndex() {
        return Math.max(durableIndex, snapshot.index());
    }

    /** Returns the term of an entry, or -1 if this log does not have the entry. */
    long termAt(long index) {
        if (index == snapshot.index()) {
            return snapshot.term();
        }
        return index < snapshot.index() || index > lastIndex() ? -1 : entry(index).term();
    }

    Entry entry(long index) {
        return entries.get((int) (index - snapshot.index() - 1));
    }

    /**
     * Returns entries from an index on, up to about {@code maxBytes}, but at least one entry if the
     * log has it.
     */
    List<Entry> entriesFrom(long index, int maxBytes) {
        List<Entry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = index; i <= lastIndex() && (batch.isEmpty() || bytes < maxBytes); i++) {
            batch.add(entry(i));
            bytes += ENTRY_OVERHEAD_BYTES + entry(i).data().length;
        }
        return batch;
    }

    /** Returns the approximate heap size of the entries after the snapshot, in bytes. */
    long heapBytes() {
        return heapBytes;
    }

    /** Returns the part of {@link #heapBytes} that belongs to delivered entries. */
    long deliveredHeapBytes() {
        return deliveredHeapBytes;
    }

    private static long heapBytesOf(Entry entry) {
        return ENTRY_HEAP_BYTES + entry.data().length;
    }

    private void add(Entry entry) {
        entries.add(entry);
        heapBytes += heapBytesOf(entry);
    }

    /** Removes the entries at the positions from {@code start} to before {@code end}. */
    private void removeRange(int start, int end) {
        List<Entry> removed = entries.subList(start, end);
        for (Entry entry : removed) {
            heapBytes -= heapBytesOf(entry);
        }
        removed.clear();
    }

    void append(Entry entry) {
        add(entry);
        unsavedFrom = Math.min(unsavedFrom, entry.index());
    }

    void truncateFrom(long index) {
        long keptEntries = Math.max(0, index - snapshot.index() - 1);
        if (keptEntries < entries.size()) {
            removeRange((int) keptEntries, entries.size());
        }
        durableIndex = Math.min(durableIndex, lastIndex());
    }

    /**
     * Advances the commit index and delivers the newly committed entries. Does nothing if the index
     * is already committed.
     */
    void commitTo(long index) {
        commitIndex = Math.max(commitIndex, index);
        while (deliveredIndex < commitIndex) {
            deliveredIndex++;
            Entry delivered = entry(deliveredIndex);
            deliveredHeapBytes += heapBytesOf(delivered);
            outbox.deliver(delivered);
        }
    }

    /**
     * Returns a snapshot of {@code state} at a delivered index, with the term and configuration at
     * that index.
     */
    Snapshot snapshotAt(long index, SnapshotData state) {
        GroupConfiguration configuration = snapshot.configuration();
        for (long i = snapshotIndex() + 1; i <= index; i++) {
            GroupConfiguration changed = entry(i).configuration();
            configuration = changed == null ? configuration : changed;
        }
        return new Snapshot(index, termAt(index), configuration, state);
    }

    /**
     * Replaces the entries up to an index by a snapshot. Returns false, and changes nothing, if the
     * index is already compacted or not delivered yet.
     */
    boolean compact(long index, SnapshotData state) {
        if (index <= snapshotIndex() || index > deliveredIndex) {
            return false;
        }
        long heapBytesBefore = heapBytes;
        replacePrefix(snapshotAt(index, state));
        deliveredHeapBytes -= heapBytesBefore - heapBytes;
        return true;
    }

    /**
     * Installs a snapshot received from the leader. Keeps the entries after it only if this log has
     * the snapshot's last entry with the same term.
     */
    void install(Snapshot received) {
        if (termAt(received.index()) == received.term()) {
            replacePrefix(received);
        } else {
            removeRange(0, entries.size());
            snapshot = received;
            unsavedSnapshot = received;
            unsavedFrom = Long.MAX_VALUE;
            unsavedReset = true;
        }
        durableIndex = Math.min(durableIndex, lastIndex());
        commitIndex = received.index();
        deliveredIndex = received.index();
        deliveredHeapBytes = 0;
        outbox.install(received);
    }

    /**
     * Replaces the data of the snapshot at an index by another representation of the same state.
     * Does nothing if the log has another snapshot by now.
     */
    void replaceSnapshotData(long index, SnapshotData sameState) {
        if (snapshot.index() == index) {
            snapshot = snapshot.withData(sameState);
        }
    }

    private void replacePrefix(Snapshot replacement) {
        int coveredEntries = (int) Math.min(entries.size(), replacement.index() - snapshot.index());
        removeRange(0, coveredEntries);
        snapshot = replacement;
        unsavedSnapshot = replacement;
    }

    /** Returns the latest configuration in the log, committed or not. */
    GroupConfiguration configuration() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).configuration() != null) {
                return entries.get(i).configuration();
            }
        }
        return snapshot.configuration();
    }

    /**
     * Returns the index of the last entry that changes the configuration, or the snapshot's index
     * if there is none.
     */
    long configurationIndex() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).configuration() != null) {
                return entries.get(i).index();
            }
        }
        return snapshot.index();
    }

    /** Whether there are changes for which no disk request was issued. */
    boolean hasUnsaved() {
        return hasUnsavedEntries() || unsavedSnapshot != null;
    }

    private boolean hasUnsavedEntries() {
        return unsavedFrom <= lastIndex();
    }

    /**
     * Returns a disk request for all changes since the last request, and marks them as requested.
     */
    Ready.Persist takeUnsaved(long requestNumber, long term, String vote) {
        boolean hasEntries = hasUnsavedEntries();
        long firstIndex = hasEntries ? Math.max(unsavedFrom, snapshotIndex() + 1) : Long.MAX_VALUE;
        Ready.Persist persist =
                new Ready.Persist(
                        requestNumber,
                        term,
                        vote,
                        firstIndex,
                        hasEntries ? entriesFrom(firstIndex, Integer.MAX_VALUE) : List.of(),
                        unsavedSnapshot,
                        unsavedReset);
        unsavedFrom = Long.MAX_VALUE;
        unsavedSnapshot = null;
        unsavedReset = false;
        return persist;
    }

    /**
     * Records that the log is on disk up to this entry, unless the entry was replaced in the
     * meantime.
     */
    void markDurable(long index, long term) {
        if (termAt(index) == term) {
            durableIndex = Math.max(durableIndex, index);
        }
    }
}
