package reeldeal.store;

/**
 * The bounds of what a node of the store keeps in memory, in bytes of heap. At a bound the node
 * refuses writes, drops messages that the protocol sends again, or forgets the oldest history.
 *
 * <p>A node that installs a snapshot holds its old state, the snapshot and the new state at the
 * same time, which together with the log has to fit beside the rest of the broker.
 *
 * @param stateBytes the size of the state above which a leader refuses writes that would grow it
 * @param prefixReserveBytes the size up to which a prefix of the keys may grow even if the state is
 *     at its bound
 * @param logBytes the size of the log's entries in memory above which a leader refuses writes, and
 *     a follower takes no entries until its compaction has ended
 * @param compactionBytes the size of the applied entries at which the log is compacted
 * @param historyBytes the size of the change history, whose oldest part is dropped
 * @param queuedBytes the size of the writes that wait to be forwarded to the leader
 * @param unsentBytes the size of the messages to one peer that wait for the socket
 */
public record StoreMemoryLimits(
        long stateBytes,
        long prefixReserveBytes,
        long logBytes,
        long compactionBytes,
        long historyBytes,
        long queuedBytes,
        long unsentBytes) {
    private static final double STATE_SHARE = 0.2;
    private static final double PREFIX_RESERVE_SHARE = 0.01;
    private static final double LOG_SHARE = 0.125;
    private static final double COMPACTION_SHARE = 0.0625;
    private static final double HISTORY_SHARE = 0.016;
    private static final double QUEUE_SHARE = 0.03;
    private static final double UNSENT_SHARE = 0.03;

    /** A snapshot file holds at most 64 MiB; the encoding is smaller than the state in memory. */
    private static final long MAX_STATE_BYTES = 60 << 20;

    private static final long MAX_PREFIX_RESERVE_BYTES = 3 << 19;
    private static final long MAX_LOG_BYTES = 64 << 20;

    /** Bounds the time that reading the log takes at a start. */
    private static final long MAX_COMPACTION_BYTES = 16 << 20;

    private static final long MAX_HISTORY_BYTES = 4 << 20;
    private static final long MAX_QUEUED_BYTES = 16 << 20;
    private static final long MAX_UNSENT_BYTES = 8 << 20;

    /** Returns the limits of a process with a heap of this maximum size, in bytes. */
    public static StoreMemoryLimits ofHeap(long heapBytes) {
        return new StoreMemoryLimits(
                share(heapBytes, STATE_SHARE, MAX_STATE_BYTES),
                share(heapBytes, PREFIX_RESERVE_SHARE, MAX_PREFIX_RESERVE_BYTES),
                share(heapBytes, LOG_SHARE, MAX_LOG_BYTES),
                share(heapBytes, COMPACTION_SHARE, MAX_COMPACTION_BYTES),
                share(heapBytes, HISTORY_SHARE, MAX_HISTORY_BYTES),
                share(heapBytes, QUEUE_SHARE, MAX_QUEUED_BYTES),
                share(heapBytes, UNSENT_SHARE, MAX_UNSENT_BYTES));
    }

    /** Returns the limits for the heap of this process. */
    public static StoreMemoryLimits ofThisProcess() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    private static long share(long heapBytes, double share, long maxBytes) {
        return Math.min(maxBytes, (long) (heapBytes * share));
    }
}
