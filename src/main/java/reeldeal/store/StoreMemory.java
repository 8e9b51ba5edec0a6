package reeldeal.store;

import java.util.Map;
import java.util.function.Consumer;
import reeldeal.consensus.Message;
import reeldeal.consensus.RaftNode;

/**
 * Keeps the log and the state of a node within the {@link StoreMemoryLimits}, and reports their
 * sizes. Belongs to the event loop.
 */
public final class StoreMemory {
    private final StoreMemoryLimits limits;
    private final RaftNode raft;
    private final LogApplier applier;
    private final Consumer<String> log;
    private boolean isRefusing;

    StoreMemory(StoreMemoryLimits limits, RaftNode raft, LogApplier applier, Consumer<String> log) {
        this.limits = limits;
        this.raft = raft;
        this.applier = applier;
        this.log = log;
        applier.limitHistory(limits.historyBytes());
    }

    /** Returns the bounds. */
    public StoreMemoryLimits limits() {
        return limits;
    }

    /** Returns the approximate heap size of all values, in bytes. */
    public long stateBytes() {
        return applier.state().heapBytes();
    }

    /** Whether the applied entries of the log are large enough to be compacted. */
    boolean isCompactionDue() {
        return raft.logHeapSize().deliveredBytes() > limits.compactionBytes()
                && applier.state().version() > raft.snapshotIndex();
    }

    /** Whether the log has no room for a further command until it is compacted. */
    boolean isLogFull(int commandBytes) {
        boolean isFull = raft.logHeapSize().allBytes() + commandBytes > limits.logBytes();
        if (isFull) {
            reportRefusal("the log is full");
        }
        return isFull;
    }

    /**
     * Whether a command would grow a state that is already at its bound. Prefixes that hold little
     * may still grow, so that one prefix cannot keep the others from what they need: the fleet has
     * to write its leases and judgements even if request records fill the state.
     */
    boolean isStateFull(KeyValueState.Command command) {
        KeyValueState state = applier.state();
        Map<String, Long> growthByPrefix = state.heapGrowthOf(command.changes());
        long growth = growthByPrefix.values().stream().mapToLong(Long::longValue).sum();
        if (growth <= 0 || state.heapBytes() + growth <= limits.stateBytes()) {
            return false;
        }
        boolean isFull = growthByPrefix.entrySet().stream().anyMatch(this::exceedsReserve);
        if (isFull) {
            reportRefusal("the state is full");
        }
        return isFull;
    }

    private boolean exceedsReserve(Map.Entry<String, Long> growth) {
        long bytes = applier.state().heapBytesUnder(growth.getKey()) + growth.getValue();
        return growth.getValue() > 0 && bytes > limits.prefixReserveBytes();
    }

    /**
     * Whether to ignore a message because the log is at its bound. Only entries are ignored, and
     * only while this node has applied entries to compact, so that its log will shrink; the leader
     * sends them again.
     */
    boolean mustIgnore(Message message) {
        return message instanceof Message.AppendRequest request
                && !request.entries().isEmpty()
                && raft.logHeapSize().allBytes() > limits.logBytes()
                && isCompactionDue();
    }

    private void reportRefusal(String reason) {
        if (!isRefusing) {
            isRefusing = true;
            log.accept("store: " + reason + " and further writes are refused: " + describe());
        }
    }

    /** Reports the sizes after a compaction. */
    void onCompacted() {
        isRefusing = false;
        log.accept("store: compacted the log up to " + raft.snapshotIndex() + ": " + describe());
    }

    /** Returns the sizes and their limits, in bytes, as form-encoded attributes. */
    public String describe() {
        KeyValueState state = applier.state();
        return "log="
                + raft.logHeapSize().allBytes()
                + "&log_limit="
                + limits.logBytes()
                + "&state="
                + state.heapBytes()
                + "&state_limit="
                + limits.stateBytes()
                + "&history="
                + state.historyBytes()
                + "&history_limit="
                + limits.historyBytes()
                + "&heap_used="
                + usedHeapBytes()
                + "&heap="
                + Runtime.getRuntime().maxMemory();
    }

    private static long usedHeapBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
