package reeldeal.fleet.takeover;

import java.util.Collection;
import java.util.List;
import reeldeal.fleet.ConditionalWrite;

/**
 * Decides which records to delete: those that ended longer ago than the retention period, never
 * open ones.
 */
public final class RecordRetention {
    private RecordRetention() {}

    /**
     * Returns the write that deletes the first expired records of a page, or null if none has
     * expired.
     *
     * @param now Unix ms
     * @param retentionMs how long ended records are kept, ms
     * @param maxRecords the maximum number of records to delete
     */
    public static ConditionalWrite deleteExpired(
            Collection<RequestRecord> page, long now, long retentionMs, int maxRecords) {
        List<RequestRecord> expired =
                page.stream()
                        .filter(
                                record ->
                                        !record.isOpen() && record.endedAtMs() + retentionMs <= now)
                        .limit(maxRecords)
                        .toList();
        if (expired.isEmpty()) {
            return null;
        }
        ConditionalWrite write =
                ConditionalWrite.withReason(
                        "work: deletes " + expired.size() + " expired request records");
        for (RequestRecord record : expired) {
            String key = RequestRecord.storeKey(record.key());
            write.expect(key, record.version()).put(key, null);
        }
        return write;
    }
}
