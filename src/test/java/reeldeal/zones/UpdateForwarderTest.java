package reeldeal.zones;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.store.Change;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/**
 * Tests that an update received by a node that does not accept writes reaches the leader once, and
 * that its response is returned.
 */
public class UpdateForwarderTest {
    private static final int UPDATES = 20;

    /** The header of a DNS response with the code NOERROR. */
    private static final byte[] NOERROR_RESPONSE = new byte[12];

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void anUpdateIsForwardedOnceAndNeverByTheLeader() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        Map<String, InetSocketAddress> nodes = freeAddresses();
        List<String> received = new CopyOnWriteArrayList<>();
        Map<String, StoreNode> stores = new HashMap<>();
        Map<String, UpdateForwarder> forwarders = new HashMap<>();
        for (String node : nodes.keySet()) {
            StoreNode store = createStore(group, node, nodes);
            stores.put(node, store);
            forwarders.put(
                    node,
                    new UpdateForwarder(
                            store,
                            loop,
                            (message, from, answer) -> {
                                received.add(
                                        node
                                                + " "
                                                + new String(message, UTF_8)
                                                + " "
                                                + from.getPort());
                                if (!new String(message, UTF_8).equals("silent")) {
                                    answer.accept(
                                            ("done " + new String(message, UTF_8)).getBytes(UTF_8));
                                }
                            }));
            store.start().sync();
        }
        try {
            await(loop, () -> stores.get("a").acceptsWrites() && stores.get("b").isCurrent());
            InetSocketAddress client = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7);
            CompletableFuture<byte[]> answer = new CompletableFuture<>();
            await(
                    loop,
                    () ->
                            forwarders
                                    .get("b")
                                    .forward("x".getBytes(UTF_8), client, answer::complete));
            assertEquals("done x", new String(answer.get(10, TimeUnit.SECONDS), UTF_8));
            assertEquals(List.of("a x 7"), received);
            // The same request twice, as a network may deliver it.
            byte[] frame = {0, 0, 0, 0, 0, 0, 0, 9, 4, 127, 0, 0, 1, 0, 7, 'y'};
            callOn(
                    loop,
                    () -> {
                        boolean firstSent = stores.get("b").sendToPeer("a", 'U', frame);
                        boolean secondSent = stores.get("b").sendToPeer("a", 'U', frame);
                        return firstSent && secondSent;
                    });
            await(loop, () -> received.size() > 1);
            CompletableFuture<byte[]> unanswered = new CompletableFuture<>();
            assertTrue(
                    callOn(
                            loop,
                            () ->
                                    forwarders
                                            .get("b")
                                            .forward(
                                                    "silent".getBytes(UTF_8),
                                                    client,
                                                    unanswered::complete)));
            assertNull("no response arrived in time", unanswered.get(10, TimeUnit.SECONDS));
            assertEquals(List.of("a x 7", "a y 7", "a silent 7"), received);
            assertEquals(
                    "the leader forwards nothing",
                    false,
                    callOn(
                            loop,
                            () ->
                                    forwarders
                                            .get("a")
                                            .forward("z".getBytes(UTF_8), client, a -> {})));
        } finally {
            close(group, stores);
        }
    }

    private static Map<String, InetSocketAddress> freeAddresses() throws Exception {
        Map<String, InetSocketAddress> nodes = new HashMap<>();
        for (String node : List.of("a", "b")) {
            try (ServerSocket portFinder =
                    new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                nodes.put(node, (InetSocketAddress) portFinder.getLocalSocketAddress());
            }
        }
        return nodes;
    }

    /** Returns a store that is not started, of a group in which only node a votes. */
    private StoreNode createStore(
            NioEventLoopGroup group, String node, Map<String, InetSocketAddress> nodes)
            throws Exception {
        return new StoreNode(
                group,
                new StoreConfig(
                        "g",
                        node,
                        nodes,
                        Set.of("a"),
                        false,
                        folder.getRoot().toPath().resolve(node),
                        null,
                        1),
                l -> {});
    }

    private static void close(NioEventLoopGroup group, Map<String, StoreNode> stores)
            throws Exception {
        for (StoreNode store : stores.values()) {
            callOn(
                    group.next(),
                    () -> {
                        store.close();
                        return true;
                    });
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a response to a client at a node whose copy does not show the update yet. */
    @Test
    public void aSuccessfulResponseComesOnceTheForwardingNodeHasAppliedTheUpdate()
            throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        Map<String, InetSocketAddress> nodes = freeAddresses();
        Map<String, StoreNode> stores = new HashMap<>();
        Map<String, UpdateForwarder> forwarders = new HashMap<>();
        for (String node : nodes.keySet()) {
            StoreNode store = createStore(group, node, nodes);
            stores.put(node, store);
            forwarders.put(
                    node,
                    new UpdateForwarder(
                            store,
                            loop,
                            (message, from, answer) ->
                                    store.write(
                                            List.of(new Change("k", new String(message, UTF_8))),
                                            result -> answer.accept(NOERROR_RESPONSE))));
            store.start().sync();
        }
        try {
            StoreNode follower = stores.get("b");
            await(loop, () -> stores.get("a").acceptsWrites() && follower.isCurrent());
            InetSocketAddress client = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7);
            List<String> shown = new CopyOnWriteArrayList<>();
            for (int i = 0; i < UPDATES; i++) {
                byte[] update = String.valueOf(i).getBytes(UTF_8);
                CompletableFuture<String> shownAtResponse = new CompletableFuture<>();
                callOn(
                        loop,
                        () ->
                                forwarders
                                        .get("b")
                                        .forward(
                                                update,
                                                client,
                                                response ->
                                                        shownAtResponse.complete(
                                                                follower.get("k"))));
                shown.add(String.valueOf(shownAtResponse.get(10, TimeUnit.SECONDS)));
            }
            assertEquals(
                    IntStream.range(0, UPDATES).mapToObj(String::valueOf).toList(),
                    List.copyOf(shown));
        } finally {
            close(group, stores);
        }
    }

    private static boolean callOn(EventLoop loop, Callable<Boolean> work) throws Exception {
        return loop.submit(work).get(10, TimeUnit.SECONDS);
    }

    private static void await(EventLoop loop, Callable<Boolean> condition) throws Exception {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        while (!callOn(loop, condition)) {
            assertTrue("the condition was not met within 20 s", System.nanoTime() < deadlineNs);
            Thread.sleep(10);
        }
    }
}
