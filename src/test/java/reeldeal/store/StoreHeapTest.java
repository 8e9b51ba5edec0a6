package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Ready;
import reeldeal.storage.DataDirectory;

/**
 * Guards against a store that grows until its process runs out of memory: the log, the state, the
 * history and the snapshot have to fit into the heap that the deploy file gives, whatever the size
 * of the values. Each test runs {@link StoreHeapProgram} with that heap.
 */
public class StoreHeapTest {
    private static final Pattern HEAP_FLAG =
            Pattern.compile(
                    "-Xm[sx]\\S+|-XX:\\+\\S+|-XX:MaxDirectMemorySize=\\S+|-Dio\\.netty\\S+");
    private static final long OFFERED_BYTES = 40 << 20;
    private static final int TIMEOUT_S = 120;

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    private static List<String> heapFlags() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        List<String> flags = new ArrayList<>();
        Matcher matcher = HEAP_FLAG.matcher(run);
        while (matcher.find()) {
            flags.add(matcher.group());
        }
        assertTrue(flags.toString(), flags.contains("-XX:+ExitOnOutOfMemoryError"));
        return flags;
    }

    /** Runs the program on a directory, and returns the number of values that it kept. */
    private int run(Path directory, int valueBytes, long offeredBytes) throws Exception {
        return run(directory.toString(), String.valueOf(valueBytes), String.valueOf(offeredBytes));
    }

    private int run(String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
        command.addAll(heapFlags());
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        StoreHeapProgram.class.getName()));
        command.addAll(List.of(arguments));
        Path output = folder.newFile().toPath();
        Path errors = folder.newFile().toPath();
        Process process =
                new ProcessBuilder(command)
                        .redirectOutput(output.toFile())
                        .redirectError(errors.toFile())
                        .start();
        try {
            assertTrue("the program ends in time", process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        String printed = Files.readString(output);
        assertEquals(printed + Files.readString(errors), 0, process.exitValue());
        Matcher kept = Pattern.compile("kept=(\\d+)").matcher(printed);
        assertTrue(printed, kept.find());
        return Integer.parseInt(kept.group(1));
    }

    private void assertSurvives(int valueBytes) throws Exception {
        Path directory = folder.newFolder().toPath();
        int kept = run(directory, valueBytes, OFFERED_BYTES);
        assertTrue("kept " + kept, (long) kept * valueBytes > 1 << 20);
        assertEquals("after a new start", kept, run(directory, valueBytes, 0));
    }

    @Test
    public void smallValuesFitIntoTheHeap() throws Exception {
        assertSurvives(1_000);
    }

    @Test
    public void mediumValuesFitIntoTheHeap() throws Exception {
        assertSurvives(4_096);
    }

    @Test
    public void largeValuesFitIntoTheHeap() throws Exception {
        assertSurvives(60_000);
    }

    @Test
    public void theLargestValuesFitIntoTheHeap() throws Exception {
        assertSurvives(KeyValueState.MAX_VALUE_BYTES);
    }

    /** The old state, the received bytes and the new state are in memory at the same time. */
    @Test
    public void aNodeReceivesASnapshotThatReplacesAFullState() throws Exception {
        EventLoopGroup loop = new NioEventLoopGroup(1);
        InetSocketAddress address = StoreHeapProgram.freeAddress();
        int learnerPort = StoreHeapProgram.freeAddress().getPort();
        String learnerDirectory = folder.newFolder().toPath().toString();
        StoreMemoryLimits limits = StoreMemoryLimits.ofHeap(64 << 20);
        StoreNode leader =
                new StoreNode(
                        loop,
                        StoreHeapProgram.onlyVoter(folder.newFolder().toPath(), address),
                        limits,
                        line -> {});
        try {
            leader.start().sync();
            FullStore store = new FullStore(loop.next(), leader);
            store.awaitLeadership();
            String request = "store add b 127.0.0.1:" + learnerPort;
            AdminAnswer added = AdminClient.send(address, StoreHeapProgram.GROUP, request, 10_000);
            assertTrue(added.text(), added.ok());
            for (String round : List.of("first", "second")) {
                int values = store.replaceAll(round);
                int kept =
                        run(
                                learnerDirectory,
                                String.valueOf(address.getPort()),
                                String.valueOf(learnerPort),
                                round);
                assertEquals(values, kept);
            }
        } finally {
            loop.next()
                    .submit(
                            () -> {
                                leader.close();
                                return null;
                            })
                    .sync();
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Fills a store up to its bound. */
    private static final class FullStore {
        private static final int VALUE_BYTES = 4_096;
        private static final int BATCH = 14;
        private static final double FULL_SHARE = 0.98;

        private final EventLoop loop;
        private final StoreNode node;

        FullStore(EventLoop loop, StoreNode node) {
            this.loop = loop;
            this.node = node;
        }

        void awaitLeadership() throws Exception {
            CompletableFuture<Void> leads = new CompletableFuture<>();
            loop.execute(() -> node.whenLeading(() -> leads.complete(null)));
            leads.get(TIMEOUT_S, TimeUnit.SECONDS);
        }

        /** Replaces all values by new ones until full, and then writes the key {@code round}. */
        int replaceAll(String round) throws Exception {
            List<String> old =
                    loop.submit(() -> node.keysUnder(StoreHeapProgram.PREFIX, Integer.MAX_VALUE))
                            .get();
            for (List<Change> deletions : batches(old, null)) {
                while (!write(deletions)) {
                    Thread.sleep(5); // the log is full until it is compacted
                }
            }
            int written = 0;
            while (!isNearlyFull()) {
                List<String> keys = new ArrayList<>();
                for (int i = 0; i < BATCH; i++) {
                    keys.add(StoreHeapProgram.PREFIX + round + (written + i));
                }
                if (write(batches(keys, "v".repeat(VALUE_BYTES)).get(0))) {
                    written += BATCH;
                } else {
                    Thread.sleep(5); // the log is full until it is compacted
                }
            }
            while (!write(List.of(new Change(round, "")))) {
                Thread.sleep(5);
            }
            return written;
        }

        private boolean isNearlyFull() throws Exception {
            StoreMemory memory = node.memory();
            long fullBytes = (long) (memory.limits().stateBytes() * FULL_SHARE);
            return loop.submit(memory::stateBytes).get() > fullBytes;
        }

        private static List<List<Change>> batches(List<String> keys, String value) {
            List<List<Change>> batches = new ArrayList<>();
            for (int i = 0; i < keys.size(); i += BATCH) {
                List<String> batch = keys.subList(i, Math.min(keys.size(), i + BATCH));
                batches.add(batch.stream().map(key -> new Change(key, value)).toList());
            }
            return batches;
        }

        private boolean write(List<Change> changes) throws Exception {
            CompletableFuture<StoreNode.Result> result = new CompletableFuture<>();
            loop.execute(() -> node.write(changes, result::complete));
            return result.get(TIMEOUT_S, TimeUnit.SECONDS) instanceof StoreNode.Committed;
        }
    }

    @Test
    public void aNodeStartsOverALogThatAnEarlierVersionLetGrow() throws Exception {
        Path directory = folder.newFolder().toPath();
        GroupConfiguration configuration = GroupConfiguration.of(StoreHeapProgram.NODE);
        List<Entry> entries = new ArrayList<>();
        String value = "v".repeat(2_450);
        for (int index = 1; index <= 6_700; index++) {
            byte[] data =
                    KeyValueState.encode(
                            KeyValueState.Command.of(
                                    List.of(new Change("work/old-" + index, value))));
            entries.add(new Entry(index, 1, data, null));
        }
        try (DataDirectory earlier =
                DataDirectory.open(
                        directory,
                        StoreHeapProgram.GROUP + " " + StoreHeapProgram.NODE,
                        configuration,
                        StoreNode.SEGMENT_BYTES)) {
            earlier.write(List.of(new Ready.Persist(1, 1, null, 1, entries, null, false)));
            assertTrue(earlier.logSize().bytes() > 16 << 20);
        }
        // Long enough that the log is compacted, which it is as soon as its entries are committed.
        run(directory, 4_096, OFFERED_BYTES / 4);
        run(directory, 4_096, 0);
    }
}
