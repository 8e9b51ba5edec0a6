package reeldeal.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import reeldeal.consensus.Entry;
import reeldeal.consensus.SnapshotData;

/**
 * Applies committed entries to the state, on the event loop and in order of their indexes, and
 * notifies the listeners. A committed entry is applied only when it is on this node's disk too, so
 * that a restart never loses a change that this node has already published.
 */
final class LogApplier {
    private final WriteQueue writes;
    private final PeerDirectory peers;
    private final Consumer<String> log;
    private final ArrayDeque<Entry> committed = new ArrayDeque<>();
    private final List<Consumer<List<Change>>> listeners = new ArrayList<>();
    private KeyValueState state;
    private long maxHistoryBytes = KeyValueState.DEFAULT_MAX_HISTORY_BYTES;
    private boolean stopped;

    LogApplier(KeyValueState state, WriteQueue writes, PeerDirectory peers, Consumer<String> log) {
        this.state = state;
        this.writes = writes;
        this.peers = peers;
        this.log = log;
    }

    KeyValueState state() {
        return state;
    }

    /** Limits the heap size of the change history, of the present state and of later ones. */
    void limitHistory(long bytes) {
        maxHistoryBytes = bytes;
        state.limitHistory(bytes);
    }

    /**
     * Whether this node stopped applying entries because it met one in a command format that this
     * program does not support.
     */
    boolean isStopped() {
        return stopped;
    }

    /** Whether all committed entries have been applied. */
    boolean isIdle() {
        return committed.isEmpty();
    }

    void addListener(Consumer<List<Change>> listener) {
        listeners.add(listener);
    }

    /** Notifies the listeners of all values, as if each had just been written. */
    void publishAll() {
        List<Change> all = new ArrayList<>();
        state.valuesUnder("").forEach((key, value) -> all.add(new Change(key, value.text())));
        if (!all.isEmpty()) {
            listeners.forEach(listener -> listener.accept(all));
        }
    }

    private void publish(List<Change> changes) {
        peers.onChanges(changes);
        listeners.forEach(listener -> listener.accept(changes));
    }

    /**
     * Adds committed entries, and applies those with an index of at most {@code durableIndex},
     * which are on this node's disk.
     */
    void apply(List<Entry> entries, long durableIndex) {
        committed.addAll(entries);
        if (stopped) {
            committed.clear();
            return;
        }
        while (!committed.isEmpty() && committed.peek().index() <= durableIndex) {
            Entry entry = committed.poll();
            if (entry.index() > state.version() && !apply(entry)) {
                return;
            }
        }
    }

    private boolean apply(Entry entry) {
        WriteQueue.AppliedWrite write = writes.take(entry);
        List<Change> changed = new ArrayList<>();
        KeyValueState.Outcome outcome;
        try {
            outcome = state.apply(entry.index(), entry.data(), changed);
        } catch (KeyValueState.UnsupportedFormatException e) {
            stop(entry, e);
            return false;
        }
        if (!changed.isEmpty()) {
            publish(write.changes(changed));
        }
        write.answer(outcome);
        return true;
    }

    /**
     * Stops applying entries. The node goes on voting and storing the log, because the nodes that
     * support the format still need a majority to commit.
     */
    private void stop(Entry entry, KeyValueState.UnsupportedFormatException cause) {
        log.accept(
                "store: entry "
                        + entry.index()
                        + " has a command format that this program does not support ("
                        + cause.getMessage()
                        + "); this node stops applying entries and serves no more from version "
                        + state.version()
                        + "; start the newer version of the program on this node");
        stopped = true;
        committed.clear();
    }

    /** Replaces the state with the leader's snapshot, and publishes the differences as changes. */
    void install(SnapshotData snapshot) throws IOException {
        committed.clear();
        KeyValueState installed = KeyValueState.fromSnapshot(snapshot);
        installed.limitHistory(maxHistoryBytes);
        List<Change> changes = difference(state, installed);
        state = installed;
        log.accept(
                "store: installed the leader's snapshot of version "
                        + state.version()
                        + ", "
                        + snapshot.length()
                        + " bytes");
        publish(changes);
    }

    private static List<Change> difference(KeyValueState before, KeyValueState after) {
        List<Change> changes = new ArrayList<>();
        for (String key : before.valuesUnder("").keySet()) {
            if (after.get(key) == null) {
                changes.add(new Change(key, null));
            }
        }
        after.valuesUnder("")
                .forEach(
                        (key, value) -> {
                            if (!value.equals(before.get(key))) {
                                changes.add(new Change(key, value.text()));
                            }
                        });
        return changes;
    }
}
