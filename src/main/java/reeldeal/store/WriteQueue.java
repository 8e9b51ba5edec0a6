package reeldeal.store;

import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import reeldeal.consensus.Entry;

/**
 * The writes that this node has proposed and not yet applied, by the index of their entry. Each is
 * answered exactly once. Belongs to the event loop.
 */
final class WriteQueue {
    private static final int TIMEOUT_MS = 2_000;
    private static final int MAX_WRITES = 1_000;

    private static final class PendingWrite {
        private final long term;
        private final List<Change> changes;
        private Consumer<StoreNode.Result> callback;
        private Future<?> timeout;

        PendingWrite(long term, List<Change> changes, Consumer<StoreNode.Result> callback) {
            this.term = term;
            this.changes = changes;
            this.callback = callback;
        }

        void answer(StoreNode.Result result) {
            Consumer<StoreNode.Result> unanswered = callback;
            callback = null;
            if (unanswered != null) {
                // The timeout would keep the changes in memory until it is due.
                timeout.cancel(false);
                unanswered.accept(result);
            }
        }
    }

    /**
     * The write that was proposed at the index of an entry being applied. The entry may be a
     * different one, if another leader replaced the proposed entry.
     */
    static final class AppliedWrite {
        private static final AppliedWrite NONE = new AppliedWrite(null, false);

        private final PendingWrite write;
        private final boolean proposedHere;

        private AppliedWrite(PendingWrite write, boolean proposedHere) {
            this.write = write;
            this.proposedHere = proposedHere;
        }

        /**
         * Returns the changes for the listeners: the list that was proposed if the entry is this
         * node's own write, else a copy of the decoded list.
         */
        List<Change> changes(List<Change> decoded) {
            return proposedHere ? write.changes : List.copyOf(decoded);
        }

        /** Answers the write, if this node proposed one at this index. */
        void answer(KeyValueState.Outcome outcome) {
            if (write == null) {
                return;
            }
            if (!proposedHere) {
                write.answer(new StoreNode.Unknown());
            } else if (outcome.isApplied()) {
                write.answer(new StoreNode.Committed(outcome.version()));
            } else {
                write.answer(new StoreNode.Rejected(outcome.rejection()));
            }
        }
    }

    private final StoreLoop loop;
    private final TreeMap<Long, PendingWrite> pending = new TreeMap<>();

    WriteQueue(StoreLoop loop) {
        this.loop = loop;
    }

    boolean isFull() {
        return pending.size() >= MAX_WRITES;
    }

    /**
     * Adds a proposed write, which is answered as unknown if its result does not arrive in time.
     */
    void add(long index, long term, List<Change> changes, Consumer<StoreNode.Result> callback) {
        PendingWrite write = new PendingWrite(term, changes, callback);
        pending.put(index, write);
        write.timeout = loop.schedule(TIMEOUT_MS, () -> write.answer(new StoreNode.Unknown()));
    }

    /** Removes and returns the write at the index of an entry that is being applied. */
    AppliedWrite take(Entry entry) {
        PendingWrite write = pending.remove(entry.index());
        return write == null
                ? AppliedWrite.NONE
                : new AppliedWrite(write, write.term == entry.term());
    }

    /**
     * Answers all writes as unknown, because another leader may commit or replace their entries.
     */
    void abandonAll() {
        List<PendingWrite> abandoned = List.copyOf(pending.values());
        pending.clear();
        abandoned.forEach(write -> write.answer(new StoreNode.Unknown()));
    }
}
