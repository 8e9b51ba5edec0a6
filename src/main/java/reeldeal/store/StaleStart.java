package reeldeal.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import reeldeal.consensus.Entry;

/**
 * Holds the stale copy of the state that a node serves if it does not reach the group in time after
 * its start. The copy contains everything on the node's disk, including entries that may not be
 * committed. Since nothing is published before it is on disk, the copy contains everything that
 * this node ever published. It is discarded when the node becomes current. Belongs to the event
 * loop.
 */
final class StaleStart {
    private final Consumer<String> log;
    private final List<Consumer<KeyValueState>> listeners = new ArrayList<>();
    private KeyValueState copy;

    StaleStart(Consumer<String> log) {
        this.log = log;
    }

    /** Returns the copy, or null if there is none. */
    KeyValueState copy() {
        return copy;
    }

    /**
     * Calls a listener with each copy that is created, and with the present one immediately if
     * there is one.
     */
    void whenServing(Consumer<KeyValueState> listener) {
        listeners.add(listener);
        if (copy != null) {
            listener.accept(copy);
        }
    }

    /**
     * Creates the copy from a state and the log entries that follow it, and notifies the listeners.
     */
    void createCopy(KeyValueState.Frozen state, List<Entry> entries) {
        KeyValueState stale = state.thaw();
        applySupported(stale, entries);
        copy = stale;
        log.accept(
                "store: the group was not reached within "
                        + StoreNode.STALE_START_MS
                        + " ms; going on from the copy here, version "
                        + stale.version()
                        + ", marked as stale");
        listeners.forEach(listener -> listener.accept(stale));
    }

    private static void applySupported(KeyValueState state, List<Entry> entries) {
        for (Entry entry : entries) {
            try {
                state.apply(entry.index(), entry.data(), new ArrayList<>());
            } catch (KeyValueState.UnsupportedFormatException e) {
                return; // of a newer program version; the entries after it may depend on it
            }
        }
    }

    void discard() {
        copy = null;
    }
}
