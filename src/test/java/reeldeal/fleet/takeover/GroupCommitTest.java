package reeldeal.fleet.takeover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;

/** Tests how writes are grouped into batches and how rejected batches are retried. */
public class GroupCommitTest {
    private final GroupCommit groupCommit = new GroupCommit(3, 100, 1);

    @Before
    public void addFiveWritesAndOneThatExpectsAnotherVersion() {
        for (int i = 0; i < 5; i++) {
            groupCommit.add(
                    "k" + i,
                    ConditionalWrite.withReason("k" + i)
                            .expect("boot", 1)
                            .expect("work/k" + i, 0)
                            .put("work/k" + i, "v"));
        }
        groupCommit.add(
                "other",
                ConditionalWrite.withReason("other").expect("boot", 2).put("work/other", "v"));
    }

    private GroupCommit.Batch sendNextBatch() {
        return groupCommit.dueBatches().get(0);
    }

    @Test
    public void aWriteThatWasNotSentIsDropped() {
        groupCommit.add("given up", ConditionalWrite.withReason("k").put("work/x", "v"));
        assertTrue(groupCommit.drop("given up"));
        assertFalse(groupCommit.drop("given up"));
    }

    @Test
    public void writesAreBatchedUpToTheBatchSize() {
        GroupCommit.Batch first = sendNextBatch();
        assertEquals(Set.of("k0", "k1", "k2"), first.keys());
        assertEquals(4, first.write().expectedVersions().size());
        assertEquals("the only batch allowed is in progress", List.of(), groupCommit.dueBatches());
    }

    @Test
    public void theWritesOfARejectedBatchAreSentOneByOne() {
        assertEquals(Set.of(), groupCommit.batchEnded(sendNextBatch().id(), true));
        for (String key : List.of("k0", "k1", "k2")) {
            GroupCommit.Batch batch = sendNextBatch();
            assertEquals(Set.of(key), batch.keys());
            assertEquals(Set.of(key), groupCommit.batchEnded(batch.id(), key.equals("k1")));
        }
        assertEquals(Set.of("k3", "k4"), sendNextBatch().keys());
    }

    @Test
    public void aWriteThatExpectsAnotherVersionIsSentInItsOwnBatch() {
        groupCommit.batchEnded(sendNextBatch().id(), false);
        GroupCommit.Batch second = sendNextBatch();
        assertEquals(Set.of("k3", "k4"), second.keys());
        groupCommit.batchEnded(second.id(), false);
        assertEquals(Set.of("other"), sendNextBatch().keys());
        assertEquals(1, groupCommit.size());
    }
}
