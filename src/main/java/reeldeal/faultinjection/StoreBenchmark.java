package reeldeal.faultinjection;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import reeldeal.store.Backup;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/**
 * Measures the store; run by command, never in CI. All nodes run in this process, each with its own
 * event loop and threads, over loopback and on the disk of the temporary folder. The cost of a
 * process of its own is measured by the drill instead.
 */
public final class StoreBenchmark {
    /** A group of store nodes in this process, with a temporary folder for their data. */
    private static final class Group implements AutoCloseable {
        final Path folder = Files.createTempDirectory("store");
        final Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
        final Map<String, StoreNode> stores = new LinkedHashMap<>();
        final Map<String, EventLoopGroup> loops = new LinkedHashMap<>();

        Group(int size) throws Exception {
            for (int i = 0; i < size; i++) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    nodes.put("n" + i, (InetSocketAddress) free.getLocalSocketAddress());
                }
            }
        }

        void start(boolean groupCommit) throws Exception {
            for (String node : nodes.keySet()) {
                EventLoopGroup loop = new NioEventLoopGroup(1);
                StoreNode store =
                        new StoreNode(
                                loop,
                                new StoreConfig(
                                        "m",
                                        node,
                                        nodes,
                                        java.util.Set.of(),
                                        false,
                                        folder.resolve(node),
                                        null,
                                        1),
                                logLine -> {});
                store.groupCommit(groupCommit);
                stores.put(node, store);
                loops.put(node, loop);
                store.start().sync();
            }
        }

        String awaitWritableNode() throws Exception {
            while (true) {
                for (String node : stores.keySet()) {
                    if (loops.get(node).next().submit(stores.get(node)::acceptsWrites).get()) {
                        return node;
                    }
                }
                Thread.sleep(1);
            }
        }

        void kill(String node) throws Exception {
            StoreNode store = stores.remove(node);
            loops.get(node)
                    .next()
                    .submit(
                            () -> {
                                store.close();
                                return null;
                            })
                    .sync();
        }

        @Override
        public void close() throws Exception {
            for (String node : List.copyOf(stores.keySet())) {
                kill(node);
            }
            loops.values().forEach(loop -> loop.shutdownGracefully(0, 50, TimeUnit.MILLISECONDS));
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private StoreBenchmark() {}

    /**
     * Measures commits a second for several numbers of writers, with and without group commit,
     * which flushes many writes at once.
     */
    public static void benchmarkCommits() throws Exception {
        for (int size : new int[] {3, 5}) {
            for (boolean groupCommit : new boolean[] {true, false}) {
                for (int writers : new int[] {1, 16, 256}) {
                    measureCommits(size, groupCommit, writers);
                }
            }
        }
    }

    private static void measureCommits(int size, boolean groupCommit, int writers)
            throws Exception {
        try (Group group = new Group(size)) {
            group.start(groupCommit);
            String node = group.awaitWritableNode();
            Histogram latency = new Histogram(3);
            long[] committed = {0};
            for (int i = 0; i < writers; i++) {
                int writer = i;
                group.loops
                        .get(node)
                        .next()
                        .execute(
                                () ->
                                        writeNext(
                                                group,
                                                node,
                                                writer,
                                                0,
                                                System.nanoTime() + 4_000_000_000L,
                                                latency,
                                                committed));
            }
            Thread.sleep(4_500);
            System.out.printf(
                    java.util.Locale.ROOT,
                    "| %d | %s | %d | %d | %.2f | %.2f |%n",
                    size,
                    groupCommit ? "yes" : "no",
                    writers,
                    committed[0] / 4,
                    latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6);
        }
    }

    private static void writeNext(
            Group group,
            String node,
            int writer,
            int count,
            long endNanos,
            Histogram latency,
            long[] committed) {
        long sentNanos = System.nanoTime();
        if (sentNanos >= endNanos) {
            return;
        }
        group.stores
                .get(node)
                .write(
                        List.of(new Change("k/" + writer, "value " + count)),
                        result -> {
                            if (result instanceof StoreNode.Committed) {
                                latency.recordValue(System.nanoTime() - sentNanos);
                                committed[0]++;
                                group.loops
                                        .get(node)
                                        .next()
                                        .execute(
                                                () ->
                                                        writeNext(
                                                                group, node, writer, count + 1,
                                                                endNanos, latency, committed));
                            }
                        });
    }

    /** Measures the time from the kill of the leader to the next commit, ten times. */
    public static void benchmarkFailover() throws Exception {
        List<Long> failoverMs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            try (Group group = new Group(3)) {
                group.start(true);
                String killedLeader = group.awaitWritableNode();
                Thread.sleep(300);
                group.kill(killedLeader);
                long killedNanos = System.nanoTime();
                String node = group.awaitWritableNode();
                boolean[] committed = {false};
                group.loops
                        .get(node)
                        .next()
                        .submit(
                                () ->
                                        group.stores
                                                .get(node)
                                                .write(
                                                        List.of(new Change("k", "v")),
                                                        result ->
                                                                committed[0] =
                                                                        result
                                                                                instanceof
                                                                                StoreNode
                                                                                        .Committed))
                        .sync();
                while (!group.loops.get(node).next().submit(() -> committed[0]).get()) {
                    Thread.sleep(1);
                }
                failoverMs.add((System.nanoTime() - killedNanos) / 1_000_000);
            }
        }
        failoverMs.sort(null);
        System.out.println(
                "from the leader's death to the next commit, 10 times: median "
                        + failoverMs.get(5)
                        + ", most "
                        + failoverMs.get(9)
                        + " ms");
    }

    private static long usedHeapKiB() throws Exception {
        System.gc();
        Thread.sleep(300);
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 10;
    }

    /**
     * Measures the start of a node with {@code count} keys, and the delay of its event loop and its
     * writes during a compaction.
     */
    public static void benchmarkLargeState(int count) throws Exception {
        try (Group group = new Group(1)) {
            long emptyHeapKiB = usedHeapKiB();
            KeyValueState state = new KeyValueState();
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                changes.add(
                        new Change(
                                "zone/big.test./1/h" + i + ".big.test./1",
                                "60 0a" + String.format("%06x", i)));
                if (changes.size() == 500 || i == count - 1) {
                    state.apply(
                            state.version() + 1,
                            KeyValueState.encode(KeyValueState.Command.of(changes)),
                            new ArrayList<>());
                    changes.clear();
                }
            }
            Path backup = group.folder.resolve("backup");
            Backup.write(backup, state.freeze());
            Backup.restore(backup, group.folder.resolve("n0"), "m", "n0", java.util.Set.of("n0"));
            state = null;
            long startNanos = System.nanoTime();
            group.start(true);
            group.awaitWritableNode();
            System.out.println(
                    count
                            + " keys: started and writing after "
                            + (System.nanoTime() - startNanos) / 1_000_000
                            + " ms, snapshot "
                            + Files.size(backup) / 1024
                            + " KiB, heap "
                            + (usedHeapKiB() - emptyHeapKiB)
                            + " KiB");
            EventLoopGroup loop = group.loops.get("n0");
            Histogram loopDelay = new Histogram(3);
            long[] dueNanos = {System.nanoTime()};
            loop.next()
                    .execute(
                            new Runnable() {
                                @Override
                                public void run() {
                                    long now = System.nanoTime();
                                    loopDelay.recordValue(Math.max(0, now - dueNanos[0]));
                                    dueNanos[0] = now + 1_000_000;
                                    loop.next().schedule(this, 1_000_000, TimeUnit.NANOSECONDS);
                                }
                            });
            Thread.sleep(1_000);
            long maxIdleDelay = loopDelay.getMaxValue();
            Histogram latency = new Histogram(3);
            long[] committed = {0};
            loop.next().submit(loopDelay::reset).sync();
            loop.next()
                    .execute(
                            () ->
                                    writeNext(
                                            group,
                                            "n0",
                                            1,
                                            0,
                                            System.nanoTime() + 6_000_000_000L,
                                            latency,
                                            committed));
            Thread.sleep(500);
            loop.next().submit(group.stores.get("n0")::compactNow).sync();
            Thread.sleep(6_000);
            System.out.printf(
                    java.util.Locale.ROOT,
                    "loop late by at most %.1f ms idle, %.1f ms with a compaction; writes meanwhile p50 %.2f p99 %.2f max %.1f ms%n",
                    maxIdleDelay / 1e6,
                    loopDelay.getMaxValue() / 1e6,
                    latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6,
                    latency.getMaxValue() / 1e6);
        }
    }
}
