package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Nodes of one group over loopback, all on one event loop, which can be started and killed. */
final class StoreGroup implements AutoCloseable {
    private static final long TIMEOUT_MS = 20_000;
    private static final int ADMIN_TIMEOUT_MS = 8_000;

    /** Below the ports that outgoing connections get: none of those may take a killed node's. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORTS = 10_000;

    private final Path folder;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, StoreNode> running = new HashMap<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    /** Chooses a port for each node; none is started yet. */
    StoreGroup(Path folder, String... nodes) throws IOException {
        this.folder = folder;
        int port = FIRST_PORT + new Random().nextInt(PORTS);
        for (String node : nodes) {
            while (!addresses.containsKey(node)) {
                try (ServerSocket free =
                        new ServerSocket(++port, 1, InetAddress.getLoopbackAddress())) {
                    addresses.put(node, (InetSocketAddress) free.getLocalSocketAddress());
                } catch (BindException e) {
                    port++;
                }
            }
        }
    }

    Path folderOf(String node) {
        return folder.resolve(node);
    }

    InetSocketAddress addressOf(String node) {
        return addresses.get(node);
    }

    StoreNode node(String name) {
        return running.get(name);
    }

    Collection<StoreNode> running() {
        return running.values();
    }

    /** The lines that the nodes logged. */
    List<String> log() {
        return log;
    }

    void startAll() throws Exception {
        for (String node : List.copyOf(addresses.keySet())) {
            start(node);
        }
    }

    StoreNode start(String node) throws Exception {
        return start(
                new StoreConfig("g", node, addresses, Set.of(), false, folderOf(node), null, 1));
    }

    /** Starts a node that joins the group. */
    StoreNode startJoining(String node) throws Exception {
        Map<String, InetSocketAddress> knownAddresses = new HashMap<>(addresses);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            knownAddresses.put(node, (InetSocketAddress) free.getLocalSocketAddress());
        }
        StoreNode started =
                start(
                        new StoreConfig(
                                "g",
                                node,
                                knownAddresses,
                                addresses.keySet(),
                                true,
                                folderOf(node),
                                null,
                                1));
        addresses.put(node, knownAddresses.get(node));
        return started;
    }

    private StoreNode start(StoreConfig config) throws Exception {
        StoreNode node = new StoreNode(group, config, log::add);
        running.put(config.node(), node);
        node.start().sync();
        return node;
    }

    void kill(String node) throws Exception {
        StoreNode killed = running.remove(node);
        runOnLoop(killed::close);
        // A closed channel's port is free once the event loop has been back at its selector, which
        // may be after the next task.
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        boolean free = false;
        while (!free) {
            try (ServerSocket unused =
                    new ServerSocket(
                            addresses.get(node).getPort(), 1, InetAddress.getLoopbackAddress())) {
                free = true;
            } catch (BindException e) {
                assertTrue("the port of " + node + " is still taken", System.nanoTime() < deadline);
            }
        }
    }

    /** The node that accepts writes, once there is one. */
    StoreNode writer() throws Exception {
        await(() -> running.values().stream().anyMatch(StoreNode::acceptsWrites));
        return running.values().stream().filter(StoreNode::acceptsWrites).findFirst().orElseThrow();
    }

    /** Any node for whose name this holds. */
    String anyNode(Predicate<String> matches) {
        return addresses.keySet().stream().filter(matches).findFirst().orElseThrow();
    }

    /** Calls on the event loop. */
    <T> T callOnLoop(Callable<T> task) throws Exception {
        return group.next().submit(task).sync().getNow();
    }

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs on the event loop. */
    void runOnLoop(Task task) throws Exception {
        callOnLoop(
                () -> {
                    task.run();
                    return null;
                });
    }

    StoreNode.Result write(StoreNode node, String key, String value) throws Exception {
        return write(node, KeyValueState.Command.of(List.of(new Change(key, value))));
    }

    StoreNode.Result write(StoreNode node, KeyValueState.Command command) throws Exception {
        return resultOf(callback -> node.write(command, callback));
    }

    /** The result of a write, which is begun on the event loop. */
    StoreNode.Result resultOf(Consumer<Consumer<StoreNode.Result>> write) throws Exception {
        CompletableFuture<StoreNode.Result> result = new CompletableFuture<>();
        runOnLoop(() -> write.accept(result::complete));
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    StoreNode.AdminAnswer sendAdminRequest(String node, String request) throws Exception {
        return AdminClient.send(addresses.get(node), "g", request, ADMIN_TIMEOUT_MS);
    }

    void await(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!callOnLoop(condition)) {
            assertTrue("not within the time limit; " + log, System.nanoTime() < deadline);
            Thread.sleep(5);
        }
    }

    void awaitValue(StoreNode node, String key, String value) throws Exception {
        await(() -> value.equals(node.get(key)));
        assertEquals(value, callOnLoop(() -> node.get(key)));
    }

    void awaitValueOnAll(String key, String value) throws Exception {
        for (StoreNode node : running.values()) {
            awaitValue(node, key, value);
        }
    }

    @Override
    public void close() throws Exception {
        for (String node : List.copyOf(running.keySet())) {
            kill(node);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
