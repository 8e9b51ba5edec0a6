package reeldeal.store;

import java.util.function.Consumer;
import reeldeal.consensus.RaftNode;

/**
 * Proposes writes if this node accepts writes as leader, and rejects them otherwise. Belongs to the
 * event loop.
 */
final class WriteProposer {
    private static final int MAX_COMMAND_BYTES = 512 * 1024;

    private final RaftNode raft;
    private final RaftDriver driver;
    private final WriteQueue writes;
    private final StoreStatus status;
    private final StoreMemory memory;

    WriteProposer(
            RaftNode raft,
            RaftDriver driver,
            WriteQueue writes,
            StoreStatus status,
            StoreMemory memory) {
        this.raft = raft;
        this.driver = driver;
        this.writes = writes;
        this.status = status;
        this.memory = memory;
    }

    static boolean isTooLarge(byte[] command) {
        return command.length > MAX_COMMAND_BYTES;
    }

    /**
     * Proposes a command that is not forwarded or retried: it is rejected if this node cannot
     * propose it.
     */
    void write(KeyValueState.Command command, Consumer<StoreNode.Result> callback) {
        propose(
                command,
                result ->
                        callback.accept(
                                result instanceof StoreNode.NotLeader notLeader
                                        ? new StoreNode.Rejected(notLeader.reason())
                                        : result));
    }

    /**
     * Proposes a command; the callback is called exactly once, possibly before this method returns.
     */
    void propose(KeyValueState.Command command, Consumer<StoreNode.Result> callback) {
        byte[] data = KeyValueCodec.encode(command);
        if (!status.isWriter()) {
            callback.accept(
                    new StoreNode.NotLeader(
                            raft.leader() == null
                                    ? "no majority has answered yet"
                                    : "the writer is " + raft.leader()));
        } else if (isTooLarge(data)) {
            callback.accept(new StoreNode.Rejected("the write is too large"));
        } else if (writes.isFull()) {
            callback.accept(new StoreNode.NotLeader("too many writes are waiting"));
        } else if (memory.isLogFull(data.length)) {
            callback.accept(new StoreNode.NotLeader("the log is full until it is compacted"));
        } else if (memory.isStateFull(command)) {
            callback.accept(new StoreNode.Rejected("the store is full: it may only shrink"));
        } else {
            long index = driver.propose(data);
            if (index < 0) {
                callback.accept(new StoreNode.NotLeader("leadership is being handed over"));
                return;
            }
            writes.add(index, raft.term(), command.changes(), callback);
            driver.step();
        }
    }
}
