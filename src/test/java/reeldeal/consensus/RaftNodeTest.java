package reeldeal.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.Test;

/** Tests a group of three nodes whose messages arrive in order and are not lost. */
public class RaftNodeTest {
    private record DiskWrite(long request, long doneAtTick) {}

    private final ReliableGroup group = new ReliableGroup(RaftSettings.DEFAULT);

    @Test
    public void aPrioritizedFollowerIsNotifiedOfACommitBeforeTheNextHeartbeat() {
        RaftNode leader = group.electLeader();
        long index = leader.propose("x".getBytes(UTF_8));
        group.deliver();
        assertEquals("committed on the leader", index, leader.commitIndex());
        assertEquals(
                "not known to be committed on a follower",
                index - 1,
                group.node("b").commitIndex());
        leader.prioritizeCommitNotification("b", index);
        group.deliver();
        assertEquals(index, group.node("b").commitIndex());
    }

    @Test
    public void aFollowerPrioritizedBeforeTheCommitIsNotifiedOnceItIsCommitted() {
        RaftNode leader = group.electLeader();
        long index = leader.propose("x".getBytes(UTF_8));
        group.deliver();
        leader.prioritizeCommitNotification("b", index);
        leader.prioritizeCommitNotification("c", index + 1);
        group.deliver();
        assertEquals(index - 1, group.node("c").commitIndex());
        leader.propose("y".getBytes(UTF_8));
        group.deliver();
        assertEquals(index + 1, group.node("c").commitIndex());
        assertEquals(
                "only the prioritized commit is announced early",
                index,
                group.node("b").commitIndex());
    }

    @Test
    public void aGroupElectsALeaderOnDisksAsSlowAsAnElection() {
        for (int seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            assertTrue(
                    "seed " + seed + ": no leader after 400 ticks",
                    electsOnSlowDisks(
                            ReliableGroup.createNodes(RaftSettings.DEFAULT, random::nextInt)));
        }
    }

    private static boolean electsOnSlowDisks(Map<String, RaftNode> nodes) {
        Map<RaftNode, ArrayDeque<DiskWrite>> disks = new HashMap<>();
        nodes.values().forEach(node -> disks.put(node, new ArrayDeque<>()));
        for (long tick = 1; tick <= 400 && !hasLeader(nodes); tick++) {
            for (RaftNode node : nodes.values()) {
                node.tick();
                ArrayDeque<DiskWrite> disk = disks.get(node);
                if (!disk.isEmpty() && disk.peek().doneAtTick() <= tick) {
                    node.persisted(disk.poll().request());
                }
            }
            for (boolean hadMessages = true; hadMessages; ) {
                hadMessages = false;
                for (RaftNode node : nodes.values()) {
                    Ready ready = node.takeReady();
                    for (Ready.Persist persist : ready.persists) {
                        write(disks.get(node), persist, tick);
                    }
                    ready.messages.forEach(m -> nodes.get(m.to()).receive(m));
                    hadMessages |= !ready.messages.isEmpty();
                }
            }
        }
        return hasLeader(nodes);
    }

    /**
     * Queues a write; writes complete one after another, and each takes as long as an election
     * timeout.
     */
    private static void write(ArrayDeque<DiskWrite> disk, Ready.Persist persist, long tick) {
        long start = disk.isEmpty() ? tick : disk.peekLast().doneAtTick();
        disk.add(new DiskWrite(persist.number(), start + RaftSettings.DEFAULT.electionTicks()));
    }

    private static boolean hasLeader(Map<String, RaftNode> nodes) {
        return nodes.values().stream().anyMatch(node -> node.role() == RaftNode.Role.LEADER);
    }
}
