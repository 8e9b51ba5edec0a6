package reeldeal.zones;

import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/** A group of three store nodes on one event loop, each of which a test starts by itself. */
final class StoreGroup implements AutoCloseable {
    private static final long WAIT_SECONDS = 20;

    final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    final EventLoop loop = eventLoops.next();
    final Map<String, StoreNode> stores = new TreeMap<>();

    /** Creates nodes with their folders below this one. */
    StoreGroup(Path folder) throws Exception {
        Map<String, InetSocketAddress> nodes = new TreeMap<>();
        List<ServerSocket> portFinders = new ArrayList<>();
        for (String node : List.of("a", "b", "c")) {
            ServerSocket finder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            portFinders.add(finder);
            nodes.put(node, (InetSocketAddress) finder.getLocalSocketAddress());
        }
        for (ServerSocket finder : portFinders) {
            finder.close();
        }
        for (String node : nodes.keySet()) {
            Path state = folder.resolve(node);
            StoreConfig config = new StoreConfig("g", node, nodes, Set.of(), false, state, null, 1);
            stores.put(node, new StoreNode(eventLoops, config, line -> {}));
        }
    }

    void start(Collection<String> nodes) throws Exception {
        for (String node : nodes) {
            stores.get(node).start().sync();
        }
    }

    /** Returns the node that accepts writes, or "" if there is none. */
    String leader() throws Exception {
        Callable<String> find =
                () ->
                        stores.keySet().stream()
                                .filter(node -> stores.get(node).acceptsWrites())
                                .findFirst()
                                .orElse("");
        return loop.submit(find).get();
    }

    void stop(String node) throws Exception {
        Callable<Void> close =
                () -> {
                    stores.get(node).close();
                    return null;
                };
        loop.submit(close).sync();
    }

    /** Waits until a condition holds on the store's loop. */
    static void await(StoreNode store, EventExecutor loop, Predicate<StoreNode> condition)
            throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        Callable<Boolean> check = () -> condition.test(store);
        while (!loop.submit(check).get()) {
            assertTrue("in time", System.nanoTime() < deadline);
            Thread.sleep(10);
        }
    }

    @Override
    public void close() throws Exception {
        for (String node : stores.keySet()) {
            stop(node);
        }
        eventLoops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).sync();
    }
}
