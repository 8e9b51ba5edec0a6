package reeldeal.takeover;

import java.util.function.Consumer;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.store.StoreMemoryLimits;
import reeldeal.store.StoreNode;

/**
 * Bounds the request records that the store keeps, open and ended ones: by the configured quota, by
 * a share of the heap that the store may use, and by the writes that still wait. Used on the
 * store's loop.
 */
final class RecordCapacity {
    /** The share of the state's memory limit that records may fill. */
    private static final double STATE_SHARE = 0.6;

    /** The share of a bound up to which new records are made; the rest is reserved for outcomes. */
    private static final double SHARE_FOR_NEW = 0.8;

    private final StoreNode store;
    private final StoreMemoryLimits limits;
    private final long maxBytes;

    /** Creates the bounds; {@code quotaBytes} is the configured quota of the records. */
    RecordCapacity(StoreNode store, long quotaBytes, Consumer<String> log) {
        this.store = store;
        this.limits = store.memory().limits();
        this.maxBytes = Math.min(quotaBytes, (long) (limits.stateBytes() * STATE_SHARE));
        if (maxBytes < quotaBytes) {
            log.accept(
                    "work: records may take "
                            + maxBytes
                            + " bytes, as the heap allows, instead of the "
                            + quotaBytes
                            + " of most_kb");
        }
    }

    /** Returns the quota of the records: the configured one, or less if the heap is too small. */
    long maxBytes() {
        return maxBytes;
    }

    /** Whether no new record may be made; {@code waitingLength} is the length of unsent writes. */
    boolean isFull(long waitingLength) {
        return store.bytesUnder(RequestRecord.ROOT) > maxBytes * SHARE_FOR_NEW
                || store.memory().stateBytes() > limits.stateBytes() * SHARE_FOR_NEW
                || waitingLength > limits.queuedBytes();
    }
}
