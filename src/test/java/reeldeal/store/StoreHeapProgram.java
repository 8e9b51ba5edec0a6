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
 * Runs one store node, the only voter of its group, in a process with a small heap. Writes values
 * under new keys until a number of bytes was offered, and deletes some values whenever the store
 * refuses a write. Prints {@code kept=N refused=N}, where {@code kept} counts the values that the
 * store holds, and ends with 0; ends with 1 if the store refuses writes for good.
 *
 * <p>Arguments: the data directory, the value size in bytes, the bytes to offer.
 */
final class StoreHeapProgram {
    static final String NODE = "a";
    static final String GROUP = "heap";
    private static final int TIMEOUT_MS = 30_000;
    private static final int ATTEMPTS = 2_000;
    private static final int RETRY_MS = 5;
    private static final int MAX_DELETIONS = 16;
    private static final String PREFIX = "work/";
    private static final int BATCH_BYTES = 64 * 1024;

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final StoreNode node;
    private int refused;

    private StoreHeapProgram(Path directory) throws Exception {
        InetSocketAddress address = freeAddress();
        StoreConfig config =
                new StoreConfig(
                        GROUP, NODE, Map.of(NODE, address), Set.of(), false, directory, null, 1);
        node = new StoreNode(loop, config, System.err::println);
        node.start().sync();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    public static void main(String[] args) throws Exception {
        StoreHeapProgram program = new StoreHeapProgram(Path.of(args[0]));
        program.awaitLeadership();
        try {
            program.offer(Integer.parseInt(args[1]), Long.parseLong(args[2]));
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(1);
        }
        int kept = program.loop.next().submit(program::countKept).get();
        System.out.println("kept=" + kept + " refused=" + program.refused);
        System.exit(0);
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
                deleteSome();
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
    private void deleteSome() throws Exception {
        List<String> keys = loop.next().submit(() -> node.keysUnder(PREFIX, MAX_DELETIONS)).get();
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
