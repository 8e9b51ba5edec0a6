package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import java.util.List;
import org.junit.Test;

/** Tests how a node answers vote requests and when it becomes a candidate. */
public class ElectionTest {
    private final RaftNode node =
            new RaftNode(
                    "b",
                    RaftSettings.DEFAULT,
                    RaftNode.PersistentState.fresh(ReliableGroup.CONFIGURATION),
                    bound -> 0);

    private static Message voteRequest(String from, long term) {
        return new Message.VoteRequest(from, "b", term, 0, 0, false, false);
    }

    private static Message preVoteRequest(long term) {
        return new Message.VoteRequest("a", "b", term, 0, 0, true, false);
    }

    private static Message granted(String to, long term, boolean preVote) {
        return new Message.VoteResponse("b", to, term, preVote, true);
    }

    private void tick(int ticks) {
        for (int i = 0; i < ticks; i++) {
            node.tick();
        }
    }

    @Test
    public void aVoteIsSentOnceItIsOnDisk() {
        node.receive(voteRequest("a", 1));
        Ready ready = node.takeReady();
        assertEquals(List.of(), ready.messages);
        assertEquals("a", ready.persists.get(0).vote());
        node.persisted(ready.persists.get(0).number());
        assertEquals(List.of(granted("a", 1, false)), node.takeReady().messages);
    }

    @Test
    public void aNodeVotesOnceInATerm() {
        node.receive(voteRequest("a", 1));
        node.receive(voteRequest("c", 1));
        assertEquals(
                List.of(new Message.VoteResponse("b", "c", 1, false, false)),
                node.takeReady().messages);
    }

    @Test
    public void aPreVoteChangesNeitherTermNorVote() {
        node.receive(preVoteRequest(5));
        Ready ready = node.takeReady();
        assertEquals(List.of(granted("a", 5, true)), ready.messages);
        assertEquals(List.of(), ready.persists);
        assertEquals(0, node.term());
    }

    @Test
    public void aNodeWithALiveLeaderIgnoresVoteRequests() {
        node.receive(new Message.Heartbeat("a", "b", 1, 0, 1, 0));
        node.takeReady();
        node.receive(voteRequest("c", 2));
        assertEquals(1, node.term());
        assertEquals(List.of(), node.takeReady().messages);
        assertEquals("a", node.leader());
    }

    @Test
    public void withoutALeaderANodeStartsAPreVote() {
        tick(RaftSettings.DEFAULT.electionTicks());
        assertEquals(RaftNode.Role.PRE_CANDIDATE, node.role());
        assertEquals(0, node.term());
        assertNull(node.leader());
    }

    @Test
    public void aTransferStartsAnElectionWithoutAPreVote() {
        node.receive(new Message.Heartbeat("a", "b", 1, 0, 1, 0));
        node.receive(new Message.TimeoutNow("a", "b", 1));
        assertEquals(RaftNode.Role.CANDIDATE, node.role());
        assertEquals(2, node.term());
    }
}
