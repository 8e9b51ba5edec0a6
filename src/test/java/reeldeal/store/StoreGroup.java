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

/**
 * Runs the nodes of one group over loopback, all on one event loop; nodes can be started and
 * killed.
 */
final class StoreGroup implements AutoCloseable {
    private static final long TIMEOUT_MS = 20_000;
    private static final int ADMIN_TIMEOUT_MS = 8_000;

    /**
     * The lowest port of a node. The nodes' ports are below the range for outgoing connections, so
     * that no such connection takes the port of a killed node.
     */
    private static final int FIRST_PORT = 20_000;

    private static final int PORTS = 10_000;

    private final Path folder;
    private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, StoreNode> running = new HashMap<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    /** Chooses a free port for each node, and starts none of them. */
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

    /** Returns the lines that all nodes have logged. */
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

    /** Starts a node that joins the existing group, and chooses a port for it. */
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
        StoreNode node = new StoreNode(eventLoopGroup, config, log::add);
        running.put(config.node(), node);
        node.start().sync();
        return node;
    }

    void kill(String node) throws Exception {
        StoreNode killed = running.remove(node);
        runOnLoop(killed::close);
        // The port of a closed channel becomes free when the event loop returns to its selector,
        // which may be after the next task.
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        boolean free = false;
        while (!free) {
            try (ServerSocket unused =
                    new ServerSocket(
                            addresses.get(node).getPort(), 1, InetAddress.getLoopbackAddress())) {
                free = true;
            } catch (BindException e) {
                assertTrue(
                        "the port of node " + node + " is still in use",
                        System.nanoTime() < deadline);
            }
        }
    }

    /** Waits until a node accepts writes, and returns it. */
    StoreNode writer() throws Exception {
        await(() -> running.values().stream().anyMatch(StoreNode::acceptsWrites));
        return running.values().stream().filter(StoreNode::acceptsWrites).findFirst().orElseThrow();
    }

    /** Returns any node whose name matches. */
    String anyNode(Predicate<String> matches) {
        return addresses.keySet().stream().filter(matches).findFirst().orElseThrow();
    }

    /** Calls a task on the event loop, and returns its result. */
    <T> T callOnLoop(Callable<T> task) throws Exception {
        return eventLoopGroup.next().submit(task).sync().getNow();
    }

    /** A task that may throw an exception. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on the event loop, and waits for its end. */
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

    /** Starts a write on the event loop, and waits for its result. */
    StoreNode.Result resultOf(Consumer<Consumer<StoreNode.Result>> write) throws Exception {
        CompletableFuture<StoreNode.Result> result = new CompletableFuture<>();
        runOnLoop(() -> write.accept(result::complete));
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    AdminAnswer sendAdminRequest(String node, String request) throws Exception {
        return AdminClient.send(addresses.get(node), "g", request, ADMIN_TIMEOUT_MS);
    }

    void await(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!callOnLoop(condition)) {
            assertTrue(
                    "the condition did not hold within the time limit; log: " + log,
                    System.nanoTime() < deadline);
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
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
