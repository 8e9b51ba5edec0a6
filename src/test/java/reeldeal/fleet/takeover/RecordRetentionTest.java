package reeldeal.fleet.takeover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static reeldeal.fleet.takeover.TestRecords.open;
import static reeldeal.fleet.takeover.TestRecords.record;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;

/** Tests which records are deleted. */
public class RecordRetentionTest {
    private static final List<RequestRecord> PAGE =
            List.of(
                    open("open", "a", 1, 0),
                    record("old", "a", 1, 0, RequestRecord.State.DONE, 1_000),
                    record("fresh", "a", 1, 0, RequestRecord.State.UNKNOWN, 9_000));

    @Test
    public void noRecordIsDeletedBeforeItsRetentionEnds() {
        assertNull(RecordRetention.deleteExpired(PAGE, 5_999, 5_000, 10));
    }

    @Test
    public void onlyRecordsThatEndedBeforeTheRetentionPeriodAreDeleted() {
        ConditionalWrite write = RecordRetention.deleteExpired(PAGE, 6_000, 5_000, 10);
        assertEquals(Set.of(RequestRecord.storeKey("old")), write.changes().keySet());
        assertEquals(Map.of(RequestRecord.storeKey("old"), 20L), write.expectedVersions());
    }
}
