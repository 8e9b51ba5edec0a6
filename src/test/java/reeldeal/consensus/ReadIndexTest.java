package reeldeal.consensus;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

/** Tests when a leader answers or fails reads. */
public class ReadIndexTest {
    private static final RaftSettings WITH_LEASE = new RaftSettings(10, 2, 4, 256 * 1024, 32);

    private final ReliableGroup group = new ReliableGroup(RaftSettings.DEFAULT);

    @Test
    public void aReadIsAnsweredOnceAMajorityConfirmsTheLeader() {
        RaftNode leader = group.electLeader();
        leader.read(7);
        assertEquals(List.of(new Ready.ReadReady(7, leader.commitIndex())), group.deliver().reads);
    }

    @Test
    public void aReadWithoutAMajorityIsNotAnswered() {
        RaftNode leader = group.electLeader();
        group.stop("b");
        group.stop("c");
        leader.read(7);
        Ready reads = group.deliver();
        assertEquals(List.of(), reads.reads);
        assertEquals(List.of(), reads.failedReads);
    }

    @Test
    public void aPendingReadFailsWhenTheLeaderStepsDown() {
        RaftNode leader = group.electLeader();
        group.stop("b");
        group.stop("c");
        leader.read(7);
        for (int i = 0; i < 2 * RaftSettings.DEFAULT.electionTicks(); i++) {
            leader.tick();
        }
        assertEquals(RaftNode.Role.FOLLOWER, leader.role());
        assertEquals(List.of(7L), group.deliver().failedReads);
    }

    @Test
    public void aFollowerFailsReads() {
        group.electLeader();
        group.node("b").read(7);
        assertEquals(List.of(7L), group.deliver().failedReads);
    }

    @Test
    public void aLeaderWithALeaseAnswersWithoutARound() {
        ReliableGroup leased = new ReliableGroup(WITH_LEASE);
        RaftNode leader = leased.electLeader();
        leader.tick();
        leader.tick();
        leased.deliver();
        leader.read(7);
        Ready ready = leader.takeReady();
        assertEquals(1, ready.reads.size());
        assertEquals(List.of(), ready.messages);
    }
}
