package reeldeal.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import reeldeal.consensus.Entry;

/**
 * The copy that a node serves if its start does not reach the group in time: all that is on its
 * disk, including entries of which it is not known whether they are committed. As nothing is
 * published before it is on disk, it holds whatever this node ever published. It is discarded once
 * the node is current. Belongs to the event loop.
 */
final class StaleStart {
    private final Consumer<String> log;
    private final List<Consumer<KeyValueState>> listeners = new ArrayList<>();
    private KeyValueState copy;

    StaleStart(Consumer<String> log) {
        this.log = log;
    }

    /** The copy, or null while there is none. */
    KeyValueState copy() {
        return copy;
    }

    /** Runs a listener with the copy when it is made, or now if it is there. */
    void whenServing(Consumer<KeyValueState> listener) {
        listeners.add(listener);
        if (copy != null) {
            listener.accept(copy);
        }
    }

    /** Makes the copy, from a state and the entries after it. */
    void createCopy(KeyValueState.Frozen state, List<Entry> entries) {
        try {
            KeyValueState stale = KeyValueState.fromBytes(state.toBytes());
            applySupported(stale, entries);
            copy = stale;
            log.accept(
                    "store: the group was not reached in "
                            + StoreNode.STALE_START_MS
                            + " ms; going on from the copy here, version "
                            + stale.version()
                            + ", marked as old");
            listeners.forEach(listener -> listener.accept(stale));
        } catch (IOException e) {
            log.accept("store: the copy here cannot be read: " + e.getMessage());
        }
    }

    private static void applySupported(KeyValueState state, List<Entry> entries) {
        for (Entry entry : entries) {
            try {
                state.apply(entry.index(), entry.data(), new ArrayList<>());
            } catch (KeyValueState.UnsupportedFormatException e) {
                return; // of a later program: this one knows neither it nor what follows
            }
        }
    }

    void discard() {
        copy = null;
    }
}
