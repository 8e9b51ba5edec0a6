package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Tests how a follower handles append requests and how a leader handles the responses. */
public class LogReplicationTest {
    private static final byte[] NO_DATA = new byte[0];

    private final RaftNode follower =
            new RaftNode(
                    "b",
                    RaftSettings.DEFAULT,
                    RaftNode.PersistentState.fresh(ReliableGroup.CONFIGURATION),
                    bound -> 0);

    private static Entry entry(long index, long term) {
        return new Entry(index, term, NO_DATA, null);
    }

    private Ready append(long term, long prevIndex, long prevTerm, long commit, Entry... entries) {
        follower.receive(
                new Message.AppendRequest(
                        "a", "b", term, prevIndex, prevTerm, List.of(entries), commit));
        Ready ready = follower.takeReady();
        ready.persists.forEach(request -> follower.persisted(request.number()));
        return ready;
    }

    @Test
    public void entriesThatFollowTheLogAreAcknowledgedOnceOnDisk() {
        assertEquals(List.of(), append(1, 0, 0, 0, entry(1, 1), entry(2, 1)).messages);
        assertEquals(
                List.of(Message.AppendResponse.accepted("b", "a", 1, 2)),
                follower.takeReady().messages);
    }

    @Test
    public void entriesAfterAGapAreRejectedWithAHint() {
        append(1, 0, 0, 0, entry(1, 1));
        follower.takeReady();
        assertEquals(
                List.of(new Message.AppendResponse("b", "a", 1, false, 5, 1, 1)),
                append(1, 5, 1, 0, entry(6, 1)).messages);
    }

    @Test
    public void entriesThatConflictReplaceTheRestOfTheLog() {
        append(1, 0, 0, 0, entry(1, 1), entry(2, 1), entry(3, 1));
        append(2, 1, 1, 0, entry(2, 2));
        assertEquals(2, follower.lastIndex());
        assertEquals(2, follower.termAt(2));
    }

    @Test
    public void aCommittedEntryIsNeverReplaced() {
        append(1, 0, 0, 2, entry(1, 1), entry(2, 1), entry(3, 1));
        assertEquals(2, follower.commitIndex());
        assertThrows(IllegalStateException.class, () -> append(2, 2, 1, 0, entry(2, 2)));
    }

    @Test
    public void aFollowerThatLostAcknowledgedEntriesIsReported() {
        ReliableGroup group = new ReliableGroup(RaftSettings.DEFAULT);
        RaftNode leader = group.electLeader();
        leader.propose(NO_DATA);
        group.deliver();
        long last = leader.lastIndex();
        leader.receive(new Message.AppendResponse("b", "a", leader.term(), false, last, 0, 0));
        assertEquals("a stale rejection is ignored", List.of(), leader.takeReady().logLines);
        loseRequest(leader);
        leader.receive(new Message.AppendResponse("b", "a", leader.term(), false, last, 0, 0));
        List<String> notes = leader.takeReady().logLines;
        assertEquals(1, notes.size());
        assertTrue(notes.get(0), notes.get(0).startsWith("b has lost entries"));
    }

    /**
     * Loses an append request, so that the leader probes the follower again after two heartbeat
     * rounds.
     */
    private static void loseRequest(RaftNode leader) {
        leader.propose(NO_DATA);
        leader.takeReady();
        for (long round = 1; round <= 2; round++) {
            leader.tick();
            leader.tick();
            leader.takeReady();
            leader.receive(new Message.HeartbeatResponse("b", "a", leader.term(), round));
        }
        leader.takeReady();
    }
}
