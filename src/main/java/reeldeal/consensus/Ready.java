package reeldeal.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The output of a node since the last call. The caller carries it out in this order: disk requests,
 * messages, snapshot, committed entries, reads. It is owned by the caller and not thread-safe.
 */
public final class Ready {

    /**
     * One disk request. Requests are carried out in order. The caller passes {@code number} to
     * {@link RaftNode#persisted} once the request is on disk. Without a snapshot or entries, the
     * snapshot or log on disk stays unchanged.
     *
     * @param number the number of the request, counted from 1 since the node's start
     * @param term the current term
     * @param vote the vote in that term, or null for none
     * @param firstIndex the index at and after which {@code entries} replace the entries on disk
     * @param entries the new entries, in order; may be empty
     * @param snapshot a snapshot that replaces all entries up to its index, or null
     * @param discardsLog whether the snapshot also replaces all entries after its index
     */
    public record Persist(
            long number,
            long term,
            String vote,
            long firstIndex,
            List<Entry> entries,
            Snapshot snapshot,
            boolean discardsLog) {}

    /** A read that may be answered once the entries up to this index are applied. */
    public record ReadReady(long readId, long index) {}

    /** Disk requests, in the order in which they must be carried out. */
    public final List<Persist> persists = new ArrayList<>();

    /** Messages to send; the network may lose, delay or duplicate each. */
    public final List<Message> messages = new ArrayList<>();

    /** Committed entries to apply, in order of their index. */
    public final List<Entry> committed = new ArrayList<>();

    /** Reads that are confirmed; each is answered once its index is applied. */
    public final List<ReadReady> reads = new ArrayList<>();

    /**
     * Numbers of reads that fail because this node is not the leader, or has not committed an entry
     * of its term yet.
     */
    public final List<Long> failedReads = new ArrayList<>();

    /** Lines for the program's log, such as changes of leadership. */
    public final List<String> logLines = new ArrayList<>();

    Snapshot install;

    /**
     * Returns a snapshot that replaces the state before the committed entries are applied, or null.
     */
    public Snapshot install() {
        return install;
    }
}
