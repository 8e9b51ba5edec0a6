package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Tests a group of three nodes over loopback, some of which are killed and restarted. */
public class StoreNodeTest {
    private static final int STALE_MARGIN_MS = 500;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private StoreGroup group;

    @Before
    public void createGroup() throws IOException {
        group = new StoreGroup(folder.getRoot().toPath(), "a", "b", "c");
    }

    @After
    public void closeGroup() throws Exception {
        group.close();
    }

    private static void assertCommitted(StoreNode.Result result) {
        assertTrue("" + result, result instanceof StoreNode.Committed);
    }

    private static void assertRejected(StoreNode.Result result) {
        assertTrue("" + result, result instanceof StoreNode.Rejected);
    }

    @Test
    public void aKilledPeerCatchesUpWhenItRejoins() throws Exception {
        group.startAll();
        StoreNode writer = group.writer();
        assertCommitted(group.write(writer, "k", "1"));
        group.awaitValueOnAll("k", "1");
        String killed = group.anyNode(node -> group.node(node) != writer);
        group.kill(killed);
        assertCommitted(group.write(writer, "k", "2"));
        assertCommitted(group.write(writer, "deleted", "x"));
        assertCommitted(group.write(writer, "deleted", null));
        StoreNode restarted = group.start(killed);
        group.awaitValue(restarted, "k", "2");
        group.await(restarted::isCurrent);
        assertNull(group.callOnLoop(() -> restarted.get("deleted")));
        assertRejected(group.write(restarted, "k", "3"));
    }

    @Test
    public void aKilledWriterIsReplacedAndCommittedWritesRemain() throws Exception {
        group.startAll();
        for (int round = 0; round < 3; round++) {
            StoreNode writer = group.writer();
            assertCommitted(group.write(writer, "k" + round, "committed"));
            group.kill(writer.node());
            StoreNode next = group.writer();
            for (int i = 0; i <= round; i++) {
                String key = "k" + i;
                assertEquals("committed", group.callOnLoop(() -> next.get(key)));
            }
            group.awaitValue(group.start(writer.node()), "k" + round, "committed");
        }
    }

    @Test
    public void withoutAMajorityNothingIsCommitted() throws Exception {
        StoreNode a = group.start("a");
        assertRejected(group.write(a, "k", "1"));
        group.start("b");
        StoreNode writer = group.writer();
        String follower = writer.node().equals("a") ? "b" : "a";
        assertCommitted(group.write(writer, "k", "1"));
        group.kill(follower);
        assertEquals(new StoreNode.Unknown(), group.write(writer, "k", "2"));
        assertEquals("1", group.callOnLoop(() -> writer.get("k")));
        group.start(follower);
        assertCommitted(group.write(group.writer(), "j", "3"));
        assertTrue(
                "the leader logs that it lost contact with a majority",
                group.log().stream()
                        .anyMatch(
                                line ->
                                        line.contains(
                                                "lost contact with a majority of the voters")));
    }

    @Test
    public void aWriteWithAPreconditionOrOfASessionIsAppliedOnce() throws Exception {
        group.start("a");
        group.start("b");
        StoreNode writer = group.writer();
        long version = ((StoreNode.Committed) group.write(writer, "k", "1")).version();
        List<KeyValueState.Precondition> unchanged =
                List.of(new KeyValueState.Precondition("k", version));
        KeyValueState.Command conditionalWrite =
                new KeyValueState.Command("s", 1, unchanged, List.of(new Change("k", "2")));
        StoreNode.Result first = group.write(writer, conditionalWrite);
        assertEquals(
                "a command repeated after a lost answer gets the same result",
                first,
                group.write(writer, conditionalWrite));
        assertCommitted(first);
        KeyValueState.Command conflicting =
                new KeyValueState.Command("s", 2, unchanged, List.of(new Change("k", "3")));
        StoreNode.Rejected rejected = (StoreNode.Rejected) group.write(writer, conflicting);
        assertTrue(rejected.reason(), rejected.reason().startsWith("k is at version"));
        assertEquals("2", group.callOnLoop(() -> writer.get("k")));
        assertEquals(1, group.callOnLoop(() -> writer.changeSetsSince(version)).size());
    }

    @Test
    public void aFolderOfVersion03IsUpgraded() throws Exception {
        for (String node : List.of("a", "b")) {
            LegacyFolderFixture.write(
                    group.folderOf(node),
                    3,
                    "a",
                    List.of(
                            new LegacyEntry(1, 1, List.of()),
                            new LegacyEntry(1, 2, List.of(new Change("k", "1"))),
                            new LegacyEntry(
                                    3, 3, List.of(new Change("k", "2"), new Change("j", "x")))));
        }
        group.start("a");
        group.start("b");
        StoreNode writer = group.writer();
        group.awaitValue(writer, "k", "2");
        assertCommitted(group.write(writer, "k", "3"));
        group.kill(writer.node());
        group.awaitValue(group.start(writer.node()), "k", "3");
    }

    /**
     * Starts all nodes, whose level is raised without an operator's request, and adds a joining
     * node as a learner.
     */
    private StoreNode startAllAndAddLearner(String learner) throws Exception {
        group.startAll();
        group.writer();
        group.await(
                () -> group.running().stream().allMatch(node -> node.level() == PeerMessage.LEVEL));
        assertTrue(group.log().stream().noneMatch(line -> line.contains("raise")));
        StoreNode joined = group.startJoining(learner);
        int port = group.addressOf(learner).getPort();
        AdminAnswer added =
                group.sendAdminRequest("a", "store add " + learner + " 127.0.0.1:" + port);
        assertTrue(added.text(), added.ok());
        group.await(joined::isCurrent);
        return joined;
    }

    @Test
    public void aLearnersWriteIsForwardedToTheLeaderAndAppliedOnAllNodes() throws Exception {
        StoreNode learner = startAllAndAddLearner("d");
        assertCommitted(
                group.resultOf(
                        callback ->
                                learner.submit(
                                        List.of(new KeyValueState.Precondition("k", 0)),
                                        List.of(new Change("k", "from d")),
                                        callback)));
        group.awaitValueOnAll("k", "from d");
    }

    @Test
    public void aLearnerBecomesAVoterAndAnotherVoterIsRemoved() throws Exception {
        startAllAndAddLearner("d");
        assertTrue(
                group.sendAdminRequest("b", "store promote x")
                        .text()
                        .contains("x is not in the group"));
        assertTrue(group.sendAdminRequest("b", "store promote d").ok());
        String leader = group.writer().node();
        Set<String> kept = Set.of(leader, "d");
        String removed = group.anyNode(node -> !kept.contains(node));
        String other = group.anyNode(node -> !kept.contains(node) && !node.equals(removed));
        group.kill(removed);
        assertTrue(group.sendAdminRequest(other, "store remove " + removed).ok());
        Set<String> voters = Set.of(leader, other, "d");
        group.await(
                () ->
                        group.running().stream()
                                .allMatch(node -> node.configuration().voters().equals(voters)));
        // Two of three voters are running: a change after which only one of two voters is reachable
        // is rejected.
        group.kill(other);
        group.await(() -> !group.node(leader).progressOf(other).reachable());
        String rejection = group.sendAdminRequest(leader, "store remove d").text();
        assertTrue(
                rejection,
                rejection.contains("only 1 of the 2 voters that there would be are heard"));
    }

    @Test
    public void aNodeStopsApplyingAtANewerCommandFormatAndServesItsCopy() throws Exception {
        group.start("a");
        group.start("b");
        StoreNode writer = group.writer();
        assertCommitted(group.write(writer, "k", "1"));
        group.awaitValueOnAll("k", "1");
        byte[] newerFormat =
                KeyValueState.encode(KeyValueState.Command.of(List.of(new Change("k", "2"))));
        newerFormat[0] = 2;
        group.runOnLoop(() -> writer.proposeRaw(newerFormat));
        String expectedText = "a command format that this program does not support (form 2)";
        group.await(
                () ->
                        group.log().stream().filter(logged -> logged.contains(expectedText)).count()
                                == 2);
        for (StoreNode node : group.running()) {
            assertEquals("1", group.callOnLoop(() -> node.get("k")));
            assertEquals(false, group.callOnLoop(node::isCurrent));
            assertEquals(false, group.callOnLoop(node::acceptsWrites));
            assertEquals(true, group.callOnLoop(node::isFrozen));
        }
    }

    /** Guards against a node that acts on a copy that no longer follows the group. */
    @Test
    public void aHaltedNodeForwardsNoWritesAndExchangesNoMessages() throws Exception {
        group.startAll();
        StoreNode writer = group.writer();
        String haltedName = group.anyNode(node -> group.node(node) != writer);
        StoreNode halted = group.node(haltedName);
        List<String> received = new ArrayList<>();
        List<String> reported = new ArrayList<>();
        group.await(() -> halted.isCurrent() && writer.sendToPeer(haltedName, 'x', new byte[0]));
        group.runOnLoop(
                () -> {
                    halted.onPeerMessage('x', (from, bytes) -> received.add(from));
                    halted.whenFrozen(() -> reported.add("halted"));
                    halted.markFolderUntrusted("test");
                    halted.whenFrozen(() -> reported.add("already halted"));
                    writer.sendToPeer(haltedName, 'x', new byte[0]);
                });
        assertRejected(
                group.resultOf(
                        callback ->
                                halted.submit(List.of(), List.of(new Change("k", "1")), callback)));
        assertEquals(
                false, group.callOnLoop(() -> halted.sendToPeer(writer.node(), 'x', new byte[0])));
        assertCommitted(group.write(writer, "k", "2"));
        assertTrue(group.sendAdminRequest(haltedName, "store nodes").text().contains("leads"));
        assertEquals(List.of("halted", "already halted"), reported);
        assertEquals(List.of(), received);
    }

    /** Guards against a node that counts as leader and current again right after it has halted. */
    @Test
    public void aNodeThatHaltsWhenItBeginsToLeadAcceptsNoWrites() throws Exception {
        List<StoreNode> halted = new ArrayList<>();
        group.startAll();
        group.runOnLoop(
                () -> {
                    for (StoreNode node : group.running()) {
                        node.whenLeading(
                                () -> {
                                    halted.add(node);
                                    node.markFolderUntrusted("test");
                                });
                    }
                });
        group.await(() -> !halted.isEmpty());
        StoreNode node = halted.get(0);
        assertEquals(false, group.callOnLoop(node::acceptsWrites));
        assertEquals(false, group.callOnLoop(node::isCurrent));
    }

    /** Guards against a stale copy that is served although its node was found to be rolled back. */
    @Test
    public void aNodeThatHaltsBeforeItReachesTheGroupServesNoStaleCopy() throws Exception {
        List<String> served = new ArrayList<>();
        StoreNode alone = group.start("a");
        group.runOnLoop(
                () -> {
                    alone.whenServingStale(copy -> served.add("stale"));
                    alone.markFolderUntrusted("test");
                });
        Thread.sleep(StoreNode.STALE_START_MS + STALE_MARGIN_MS);
        assertEquals(List.of(), group.callOnLoop(() -> List.copyOf(served)));
        assertEquals(false, group.callOnLoop(alone::hasAppliedState));
    }
}
