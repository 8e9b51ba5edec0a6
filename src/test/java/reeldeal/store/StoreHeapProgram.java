package reeldeal.store;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs one store node in a process with a small heap.
 *
 * <p>As the only voter of its group, it writes values under new keys until a number of bytes was
 * offered, and deletes some values whenever the store refuses a write. Prints {@code kept=N
 * refused=N}, where {@code kept} counts the values that the store holds, and ends with 0; ends with
 * 1 if the store refuses writes for good. Arguments: the data directory, the value size in bytes,
 * the bytes to offer.
 *
 * <p>As a learner it follows a leader in another process until it has a key, and then prints and
 * ends likewise. Arguments: the data directory, the ports of the leader and of this node, the key.
 */
final class StoreHeapProgram {
    static final String NODE = "a";
    static final String GROUP = "heap";
    static final String LEARNER = "b";
    private static final int TIMEOUT_MS = 30_000;
    private static final int ATTEMPTS = 2_000;
    private static final int RETRY_MS = 5;
    private static final int MAX_DELETIONS = 16;
    static final String PREFIX = "work/";
    private static final int BATCH_BYTES = 64 * 1024;

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final StoreNode node;
    private int refused;

    private StoreHeapProgram(StoreConfig config) throws Exception {
        node = new StoreNode(loop, config, System.err::println);
        node.start().sync();
    }

    static StoreConfig onlyVoter(Path directory, InetSocketAddress address) {
        return new StoreConfig(
                GROUP, NODE, Map.of(NODE, address), Set.of(), false, directory, null, 1);
    }

    private static StoreConfig learner(Path directory, int leaderPort, int port) {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        Map<String, InetSocketAddress> addresses =
                Map.of(
                        NODE,
                        new InetSocketAddress(loopback, leaderPort),
                        LEARNER,
                        new InetSocketAddress(loopback, port));
        return new StoreConfig(GROUP, LEARNER, addresses, Set.of(NODE), true, directory, null, 1);
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    public static void main(String[] args) throws Exception {
        Path directory = Path.of(args[0]);
        boolean follows = args.length == 4;
        StoreHeapProgram program =
                new StoreHeapProgram(
                        follows
                                ? learner(
                                        directory,
                                        Integer.parseInt(args[1]),
                                        Integer.parseInt(args[2]))
                                : onlyVoter(directory, freeAddress()));
        try {
            if (follows) {
                program.awaitKey(args[3]);
            } else {
                program.awaitLeadership();
                program.offer(Integer.parseInt(args[1]), Long.parseLong(args[2]));
            }
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(1);
        }
        int kept = program.loop.next().submit(program::countKept).get();
        System.out.println("kept=" + kept + " refused=" + program.refused);
        System.exit(0);
    }

    private void awaitKey(String key) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (loop.next().submit(() -> node.get(key)).get() == null) {
            if (System.nanoTime() > deadline) {
                throw new TimeoutException("no value of " + key);
            }
            Thread.sleep(RETRY_MS);
        }
    }

    private void awaitLeadership() throws Exception {
        CompletableFuture<Void> leads = new CompletableFuture<>();
        loop.next().execute(() -> node.whenLeading(() -> leads.complete(null)));
        leads.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void offer(int valueBytes, long offeredBytes) throws Exception {
        for (long offered = 0; offered < offeredBytes; offered += BATCH_BYTES) {
            List<Change> batch = batch(valueBytes, offered);
            int attempts = 0;
            while (!write(batch)) {
                refused++;
                if (++attempts > ATTEMPTS) {
                    throw new IllegalStateException("refused for good");
                }
                deleteSome(Math.min(MAX_DELETIONS, batch.size()));
            }
        }
    }

    /** Returns one write of as many values as fit into a batch, but at least one. */
    private static List<Change> batch(int valueBytes, long offered) {
        List<Change> changes = new ArrayList<>();
        for (int bytes = 0; bytes < BATCH_BYTES; bytes += valueBytes) {
            changes.add(new Change(PREFIX + (offered + bytes), "v".repeat(valueBytes)));
        }
        return changes;
    }

    /** Deletes some values, or waits if that is refused too, as the log has to be compacted. */
    private void deleteSome(int deletions) throws Exception {
        List<String> keys = loop.next().submit(() -> node.keysUnder(PREFIX, deletions)).get();
        if (!write(keys.stream().map(key -> new Change(key, null)).toList())) {
            Thread.sleep(RETRY_MS);
        }
    }

    private boolean write(List<Change> changes)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<StoreNode.Result> result = new CompletableFuture<>();
        loop.next().execute(() -> node.write(changes, result::complete));
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS) instanceof StoreNode.Committed;
    }

    private int countKept() {
        return node.keysUnder(PREFIX, Integer.MAX_VALUE).size();
    }
}
