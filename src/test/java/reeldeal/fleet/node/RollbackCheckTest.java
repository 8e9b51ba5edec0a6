package reeldeal.fleet.node;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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

/** Tests with five voters over loopback which starts of a node count as proof of a rollback. */
public class RollbackCheckTest {
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e");
    private static final int TIMEOUT_MS = 20_000;

    /** Longer than the check waits for voters that are down, ms. */
    private static final int CHECKED_MS = 1_500;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final Map<String, StoreNode> stores = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private PortRange ports;

    @Before
    public void choosePorts() throws Exception {
        ports = new PortRange(NODES.size());
        for (int i = 0; i < NODES.size(); i++) {
            InetAddress loopback = InetAddress.getLoopbackAddress();
            addresses.put(NODES.get(i), new InetSocketAddress(loopback, ports.ports().get(i)));
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
        return start("g", folder.getRoot().toPath().resolve(node), node, starts);
    }

    private StoreNode start(String groupName, Path directory, String node, long starts)
            throws Exception {
        StoreConfig config =
                new StoreConfig(groupName, node, addresses, Set.of(), false, directory, null, 1);
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

    private void startAll(long starts) throws Exception {
        for (String node : NODES) {
            start(node, starts);
        }
        for (String node : NODES) {
            await(node + " is registered", () -> isRegistered(node, starts));
        }
    }

    private boolean isRegistered(String node, long starts) {
        StoreNode store = stores.get(node);
        return FleetCodec.decodeStarts(store.get(FleetView.REGISTRATION + node)) == starts;
    }

    private String anyFollower() throws Exception {
        for (String node : NODES) {
            if (stores.containsKey(node) && !callOnLoop(stores.get(node)::acceptsWrites)) {
                return node;
            }
        }
        throw new AssertionError("no node follows: " + log);
    }

    private List<String> rollbackLines() {
        return log.stream().filter(line -> line.contains("this folder went back")).toList();
    }

    /** Guards against a node that takes its own registration for that of another process. */
    @Test
    public void aNodeThatRegistersWhileAVoterIsDownIsNotTakenForRolledBack() throws Exception {
        startAll(1);
        String restarted = anyFollower();
        kill(restarted);
        String down = anyFollower();
        kill(down);
        StoreNode store = start(restarted, 2);
        await("registered", () -> isRegistered(restarted, 2));
        Thread.sleep(CHECKED_MS);
        assertEquals(List.of(), rollbackLines());
        assertTrue("still follows", callOnLoop(store::isCurrent));
    }

    /** Guards against a fix that no longer detects a folder that did go back. */
    @Test
    public void aNodeWhoseFolderLacksAStartIsHaltedThoughAVoterIsDown() throws Exception {
        startAll(7);
        String restarted = anyFollower();
        kill(restarted);
        String down = anyFollower();
        kill(down);
        StoreNode store = start(restarted, 7);
        await("the rollback is reported", () -> !rollbackLines().isEmpty());
        Thread.sleep(CHECKED_MS);
        assertEquals(rollbackLines().toString(), 1, rollbackLines().size());
        assertTrue("is halted", !callOnLoop(store::isCurrent));
    }

    /**
     * Guards against a group that is made from a backup, whose nodes are all taken for rolled back.
     */
    @Test
    public void aGroupThatIsRestoredFromABackupVotesAndRegisters() throws Exception {
        startAll(3);
        Path backup = folder.getRoot().toPath().resolve("backup");
        StoreNode source = stores.get("a");
        await(
                "has all registrations",
                () -> NODES.stream().allMatch(n -> isRegisteredAt(source, n)));
        callOnLoop(
                () -> {
                    source.backup(backup);
                    return null;
                });
        await("the backup is written", () -> Files.exists(backup));
        for (String node : NODES) {
            kill(node);
        }
        for (String node : NODES) {
            Path directory = folder.getRoot().toPath().resolve("restored-" + node);
            String nodes = String.join(",", NODES);
            String arguments =
                    "store restore %s %s --group g2 --node %s --nodes %s"
                            .formatted(backup, directory, node, nodes);
            assertEquals(0, Commands.run(arguments.split(" ")));
            start("g2", directory, node, StartCounter.next(directory));
        }
        for (String node : NODES) {
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
