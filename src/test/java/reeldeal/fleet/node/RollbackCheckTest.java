package reeldeal.fleet.node;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.cli.Commands;
import reeldeal.faultinjection.PortRange;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.rollout.RolloutHealth;
import reeldeal.storage.StartCounter;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/** Tests with groups over loopback which starts of a node count as proof of a rollback. */
public class RollbackCheckTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final List<String> FIVE = List.of("a", "b", "c", "d", "e");
    private static final List<String> SEVEN = List.of("a", "b", "c", "d", "e", "f", "g");
    private static final String LEARNER = "learner";
    private static final int TIMEOUT_MS = 20_000;

    /** Longer than the check waits for voters that are down, ms. */
    private static final int CHECKED_MS = 1_500;

    /** Shorter than the check while a voter is down, ms. */
    private static final int STARTING_MS = 150;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final Map<String, StoreNode> stores = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private PortRange ports;
    private List<String> voters = List.of();

    @Before
    public void choosePorts() throws Exception {
        ports = new PortRange(SEVEN.size() + 1);
    }

    /** Starts a group, of which the node {@link #LEARNER} does not vote if it is a member. */
    private void startGroup(List<String> votingNodes, boolean withLearner, long starts)
            throws Exception {
        voters = votingNodes;
        List<String> nodes = new ArrayList<>(votingNodes);
        if (withLearner) {
            nodes.add(LEARNER);
        }
        for (String node : nodes) {
            int port = ports.ports().get(addresses.size());
            addresses.put(node, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        for (String node : nodes) {
            start(node, starts);
        }
        for (String node : nodes) {
            await(node + " is registered", () -> isRegistered(node, starts));
        }
    }

    @After
    public void stop() throws Exception {
        for (String node : List.copyOf(stores.keySet())) {
            kill(node);
        }
        ports.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void kill(String node) throws Exception {
        StoreNode store = stores.remove(node);
        callOnLoop(
                () -> {
                    store.close();
                    return null;
                });
        // The port of a closed channel becomes free when the event loop returns to its selector,
        // which may be after the next task.
        await(node + "'s port is free", () -> isFree(addresses.get(node).getPort()));
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket unused = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return true;
        } catch (BindException e) {
            return false;
        }
    }

    private <T> T callOnLoop(Callable<T> task) throws Exception {
        return group.next().submit(task).sync().getNow();
    }

    private void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!callOnLoop(condition)) {
            assertTrue(what + ": " + log, System.nanoTime() < deadline);
            Thread.sleep(5);
        }
    }

    /** Starts a node with its member, as a broker does, on a folder with so many starts. */
    private StoreNode start(String node, long starts) throws Exception {
        return start("g", directoryOf(node), node, starts);
    }

    private Path directoryOf(String node) {
        return folder.getRoot().toPath().resolve(node);
    }

    private StoreNode start(String groupName, Path directory, String node, long starts)
            throws Exception {
        StoreConfig config =
                new StoreConfig(
                        groupName, node, addresses, Set.copyOf(voters), false, directory, null, 1);
        StoreNode store = new StoreNode(group, config, log::add);
        stores.put(node, store);
        RollbackCheck check = new RollbackCheck(group.next(), store, starts);
        callOnLoop(
                () -> {
                    check.begin();
                    return null;
                });
        store.start().sync();
        FleetConfig fleetConfig = new FleetConfig("z", "p", LocalMember.Timing.DEFAULT, null);
        FleetNode member =
                new FleetNode(
                        group.next(),
                        store,
                        new FleetConfig.WithStartCount(fleetConfig, starts),
                        check,
                        "c1",
                        new IdleHost(),
                        log::add);
        callOnLoop(
                () -> {
                    member.start();
                    return null;
                });
        return store;
    }

    private boolean isRegistered(String node, long starts) {
        StoreNode store = stores.get(node);
        return FleetCodec.decodeStarts(store.get(FleetView.REGISTRATION + node)) == starts;
    }

    private String anyFollower() throws Exception {
        for (String node : voters) {
            if (stores.containsKey(node) && !callOnLoop(stores.get(node)::acceptsWrites)) {
                return node;
            }
        }
        throw new AssertionError("no node follows: " + log);
    }

    private List<String> rollbackLines() {
        return log.stream().filter(line -> line.contains("this folder went back")).toList();
    }

    /** Kills a follower and so many more of the voters, and returns the first one's name. */
    private String killFollowers(int others) throws Exception {
        String first = anyFollower();
        kill(first);
        for (int i = 0; i < others; i++) {
            kill(anyFollower());
        }
        return first;
    }

    private void assertComesBackAsMember(String node, long starts) throws Exception {
        StoreNode store = start(node, starts);
        await(node + " is registered", () -> isRegistered(node, starts));
        Thread.sleep(CHECKED_MS);
        assertEquals(List.of(), rollbackLines());
        assertTrue("still follows", callOnLoop(store::isCurrent));
    }

    private void assertIsHalted(String node, long starts) throws Exception {
        StoreNode store = start(node, starts);
        await("the rollback is reported", () -> !rollbackLines().isEmpty());
        Thread.sleep(CHECKED_MS);
        assertEquals(rollbackLines().toString(), 1, rollbackLines().size());
        assertTrue("is halted", callOnLoop(store::isFrozen));
    }

    private void deleteDirectory(String node) throws Exception {
        try (Stream<Path> files = Files.walk(directoryOf(node))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Guards against a node that takes its own registration for that of another process. */
    @Test
    public void aNodeThatRegistersWhileAVoterIsDownIsNotTakenForRolledBack() throws Exception {
        startGroup(FIVE, false, 1);
        assertComesBackAsMember(killFollowers(1), 2);
    }

    /** As above; the leader has not noticed yet that it has no majority. */
    @Test
    public void theSameHoldsInAGroupOfThreeWhoseOtherFollowerHasJustEnded() throws Exception {
        startGroup(THREE, false, 1);
        assertComesBackAsMember(killFollowers(1), 2);
    }

    @Test
    public void theSameHoldsInAGroupOfSevenWithTwoOthersDown() throws Exception {
        startGroup(SEVEN, false, 1);
        assertComesBackAsMember(killFollowers(2), 2);
    }

    @Test
    public void aLearnerThatStartsAgainWhileAVoterIsDownIsNotTakenForRolledBack() throws Exception {
        startGroup(THREE, true, 1);
        kill(LEARNER);
        killFollowers(0);
        assertComesBackAsMember(LEARNER, 2);
    }

    /** Guards against starts that count although they ended before they were registered. */
    @Test
    public void aNodeThatEndsBeforeItRegistersComesBackAsMember() throws Exception {
        startGroup(FIVE, false, 1);
        String node = killFollowers(1);
        for (long starts = 2; starts < 5; starts++) {
            start(node, starts);
            Thread.sleep(STARTING_MS);
            kill(node);
        }
        assertComesBackAsMember(node, 5);
    }

    /** Guards against a fix that no longer detects a folder that did go back. */
    @Test
    public void aNodeWhoseFolderLacksAStartIsHaltedThoughAVoterIsDown() throws Exception {
        startGroup(FIVE, false, 7);
        assertIsHalted(killFollowers(1), 7);
    }

    @Test
    public void aVoterWhoseFolderWasEmptiedIsHaltedThoughAVoterIsDown() throws Exception {
        startGroup(FIVE, false, 1);
        String node = killFollowers(1);
        deleteDirectory(node);
        assertIsHalted(node, 1);
    }

    @Test
    public void aLearnerWhoseFolderWentBackOrWasEmptiedIsHalted() throws Exception {
        startGroup(THREE, true, 7);
        kill(LEARNER);
        assertIsHalted(LEARNER, 6);
        kill(LEARNER);
        log.clear();
        deleteDirectory(LEARNER);
        assertIsHalted(LEARNER, 1);
    }

    /**
     * Guards against a group that is made from a backup, whose nodes are all taken for rolled back.
     */
    @Test
    public void aGroupThatIsRestoredFromABackupVotesAndRegisters() throws Exception {
        startGroup(FIVE, false, 3);
        Path backup = folder.getRoot().toPath().resolve("backup");
        StoreNode source = stores.get("a");
        await(
                "has all registrations",
                () -> FIVE.stream().allMatch(n -> isRegisteredAt(source, n)));
        callOnLoop(
                () -> {
                    source.backup(backup);
                    return null;
                });
        await("the backup is written", () -> Files.exists(backup));
        for (String node : FIVE) {
            kill(node);
        }
        for (String node : FIVE) {
            Path directory = folder.getRoot().toPath().resolve("restored-" + node);
            String nodes = String.join(",", FIVE);
            String arguments =
                    "store restore %s %s --group g2 --node %s --nodes %s"
                            .formatted(backup, directory, node, nodes);
            assertEquals(0, Commands.run(arguments.split(" ")));
            start("g2", directory, node, StartCounter.next(directory));
        }
        for (String node : FIVE) {
            await(node + " is registered", () -> isRegistered(node, 4));
        }
        assertEquals(List.of(), rollbackLines());
    }

    private static boolean isRegisteredAt(StoreNode store, String node) {
        return FleetCodec.decodeStarts(store.get(FleetView.REGISTRATION + node)) == 3;
    }

    /** The broker of a member without clients or searchers. */
    private static final class IdleHost implements FleetNode.Host {
        @Override
        public void drain() {}

        @Override
        public void serve() {}

        @Override
        public void exit(String reason) {}

        @Override
        public void setAdmissionQuota(double share, double retryAfterMs, int brokers) {}

        @Override
        public void assumeRestarted(String zone) {}

        @Override
        public RolloutHealth.Counts counts() {
            return new RolloutHealth.Counts(0, 0, 0, 0, 0);
        }

        @Override
        public Set<String> ejected() {
            return Set.of();
        }

        @Override
        public Map<String, ObservedSearcher> searchers() {
            return null;
        }

        @Override
        public DisruptionBudget.ShardLayout shards() {
            return new DisruptionBudget.ShardLayout(1, 1, 1);
        }
    }
}
