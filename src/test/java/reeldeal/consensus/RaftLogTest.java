package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Tests which entries a log delivers, keeps and writes to disk. */
public class RaftLogTest {
    private static final byte[] NO_DATA = new byte[0];
    private static final GroupConfiguration FIRST_CONFIGURATION =
            GroupConfiguration.of("a", "b", "c");

    private final Outbox outbox = new Outbox();
    private final RaftLog log =
            new RaftLog(new Snapshot(0, 0, FIRST_CONFIGURATION, NO_DATA), List.of(), outbox);

    private static Entry entry(long index, long term) {
        return new Entry(index, term, NO_DATA, null);
    }

    private void append(long... terms) {
        for (long term : terms) {
            log.append(entry(log.lastIndex() + 1, term));
        }
    }

    @Test
    public void committedEntriesAreDeliveredOnceInOrder() {
        append(1, 1, 2);
        log.commitTo(2);
        log.commitTo(1);
        log.commitTo(3);
        assertEquals(List.of(log.entry(1), log.entry(2), log.entry(3)), outbox.take().committed);
    }

    @Test
    public void aDiskRequestContainsTheChangesSinceTheLastOne() {
        append(1, 1);
        assertEquals(1, log.takeUnsaved(1, 1, null).firstIndex());
        assertFalse(log.hasUnsaved());
        append(2);
        Ready.Persist persist = log.takeUnsaved(2, 2, "a");
        assertEquals(3, persist.firstIndex());
        assertEquals(1, persist.entries().size());
        assertNull(persist.snapshot());
    }

    @Test
    public void aTruncationLowersTheDurableIndex() {
        append(1, 1, 1);
        log.markDurable(3, 1);
        log.truncateFrom(2);
        assertEquals(1, log.durableIndex());
    }

    @Test
    public void aFlushOfAReplacedEntryIsIgnored() {
        append(1, 1);
        log.truncateFrom(2);
        append(2);
        log.markDurable(2, 1);
        assertEquals(0, log.durableIndex());
    }

    @Test
    public void onlyDeliveredEntriesAreCompacted() {
        append(1, 1, 1);
        log.commitTo(2);
        assertFalse(log.compact(3, SnapshotData.of(NO_DATA)));
        assertTrue(log.compact(2, SnapshotData.of(NO_DATA)));
        assertEquals(2, log.snapshotIndex());
        assertEquals(-1, log.termAt(1));
        assertEquals(1, log.termAt(3));
    }

    /** Guards against a log whose bound in memory drifts from what it holds. */
    @Test
    public void theHeapSizeFollowsTheEntries() {
        append(1, 1, 1, 1);
        long entryBytes = log.heapBytes() / 4;
        log.commitTo(3);
        assertEquals(3 * entryBytes, log.deliveredHeapBytes());
        log.truncateFrom(4);
        assertEquals(3 * entryBytes, log.heapBytes());
        log.compact(1, SnapshotData.of(NO_DATA));
        assertEquals(2 * entryBytes, log.heapBytes());
        assertEquals(2 * entryBytes, log.deliveredHeapBytes());
        log.install(new Snapshot(9, 2, FIRST_CONFIGURATION, NO_DATA));
        assertEquals(0, log.heapBytes());
        assertEquals(0, log.deliveredHeapBytes());
    }

    @Test
    public void aSnapshotOfTheSameHistoryKeepsTheEntriesAfterIt() {
        append(1, 1, 1);
        log.install(new Snapshot(2, 1, FIRST_CONFIGURATION, NO_DATA));
        assertEquals(3, log.lastIndex());
        assertFalse(log.takeUnsaved(1, 1, null).discardsLog());
    }

    @Test
    public void aSnapshotOfAnotherHistoryDiscardsTheLog() {
        append(1, 1, 1);
        Snapshot received = new Snapshot(2, 7, FIRST_CONFIGURATION, NO_DATA);
        log.install(received);
        assertEquals(2, log.lastIndex());
        assertTrue(log.takeUnsaved(1, 7, null).discardsLog());
        assertSame(received, outbox.take().install());
    }

    @Test
    public void theLatestConfigurationInTheLogApplies() {
        GroupConfiguration changed = FIRST_CONFIGURATION.withLearner("d");
        log.append(new Entry(1, 1, NO_DATA, changed));
        append(1);
        assertSame(changed, log.configuration());
        assertEquals(1, log.configurationIndex());
        log.truncateFrom(1);
        assertSame(FIRST_CONFIGURATION, log.configuration());
    }
}
