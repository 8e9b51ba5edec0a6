package reeldeal.takeover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reeldeal.core.WallClock;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.node.StoreWrites;
import reeldeal.fleet.takeover.RecordRetention;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;

/**
 * Deletes expired request records, one page after another, and maintains their quota, on the node
 * that accepts the store's writes. Used on the store's loop.
 */
final class RecordSweeper {
    /** The interval between calls of {@link #sweep}, ms. */
    static final int INTERVAL_MS = 1_000;

    private static final int PAGE_SIZE = 500;

    /** The length of the values of a page, in characters, after which no further one is added. */
    private static final int PAGE_LENGTH = 1 << 20;

    private static final String QUOTA_KEY =
            KeyValueState.QUOTA_PREFIX
                    + RequestRecord.ROOT.substring(0, RequestRecord.ROOT.length() - 1);

    private final StoreNode store;
    private final TakeoverConfig config;
    private final RecordCapacity capacity;

    /** The store's key after which the next page begins. */
    private String lastSweptKey = RequestRecord.ROOT;

    private boolean writeInProgress;

    RecordSweeper(StoreNode store, TakeoverConfig config, RecordCapacity capacity) {
        this.store = store;
        this.capacity = capacity;
        this.config = config;
    }

    /**
     * Deletes the expired records of the next page. Does nothing if this node does not accept
     * writes, the previous deletion is in progress, or the clock may be wrong: a clock that is
     * ahead would delete outcomes too early.
     */
    void sweep(boolean isClockAccurate) {
        if (!store.acceptsWrites() || writeInProgress || !isClockAccurate) {
            return;
        }
        maintainQuota();
        List<RequestRecord> records = nextPage();
        ConditionalWrite write =
                RecordRetention.deleteExpired(
                        records, WallClock.now(), config.retentionMs(), PAGE_SIZE);
        if (write != null) {
            writeInProgress = true;
            StoreWrites.submit(store, write, result -> writeInProgress = false);
        }
    }

    private void maintainQuota() {
        String quota = String.valueOf(capacity.maxBytes());
        if (!quota.equals(store.get(QUOTA_KEY))) {
            store.write(List.of(new Change(QUOTA_KEY, quota)), result -> {});
        }
    }

    private List<RequestRecord> nextPage() {
        Map<String, KeyValueState.Value> page =
                store.page(RequestRecord.ROOT, lastSweptKey, PAGE_SIZE, PAGE_LENGTH);
        List<RequestRecord> records = new ArrayList<>();
        page.forEach(
                (key, value) ->
                        records.add(RequestRecord.parse(key, value.text(), value.version())));
        lastSweptKey =
                records.isEmpty()
                        ? RequestRecord.ROOT
                        : RequestRecord.storeKey(records.get(records.size() - 1).key());
        return records;
    }
}
