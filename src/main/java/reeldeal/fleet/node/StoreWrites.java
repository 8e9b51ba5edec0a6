package reeldeal.fleet.node;

import java.util.List;
import java.util.function.Consumer;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;

/** Submits the writes of the fleet's state machines to the store; used on the store's loop. */
public final class StoreWrites {
    private StoreWrites() {}

    /** Sends a write to the store's leader and calls {@code onOutcome} with its outcome. */
    public static void submit(
            StoreNode store, ConditionalWrite write, Consumer<StoreNode.Result> onOutcome) {
        store.submit(preconditions(write), changes(write), onOutcome);
    }

    static List<KeyValueState.Precondition> preconditions(ConditionalWrite write) {
        return write.expectedVersions().entrySet().stream()
                .map(entry -> new KeyValueState.Precondition(entry.getKey(), entry.getValue()))
                .toList();
    }

    static List<Change> changes(ConditionalWrite write) {
        return write.changes().entrySet().stream()
                .map(entry -> new Change(entry.getKey(), entry.getValue()))
                .toList();
    }
}
