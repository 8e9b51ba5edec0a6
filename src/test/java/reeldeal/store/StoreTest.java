package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Three nodes over loopback, of which some are killed and come back. */
public class StoreTest {
    private static final long PATIENCE_MS = 20_000;

    @Rule
    public TemporaryFolder folder = new TemporaryFolder();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, InetSocketAddress> nodes = new HashMap<>();
    private final Map<String, Store> running = new HashMap<>();

    @Before
    public void choosePorts() throws IOException {
        // Below the ports that connections are given by themselves: none of those may take a killed node's.
        int port = 20_000 + new Random().nextInt(10_000);
        for (String node : List.of("a", "b", "c")) {
            while (!nodes.containsKey(node)) {
                try (ServerSocket free = new ServerSocket(++port, 1, InetAddress.getLoopbackAddress())) {
                    nodes.put(node, (InetSocketAddress) free.getLocalSocketAddress());
                } catch (BindException e) {
                    port++;
                }
            }
        }
    }

    @After
    public void stop() throws Exception {
        for (String node : List.copyOf(running.keySet())) {
            kill(node);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T on(Callable<T> work) throws Exception {
        return group.next().submit(work).sync().getNow();
    }

    private Store start(String node, String writer, long term) throws Exception {
        Store store = new Store(group, new StoreConfig(node, writer, term, nodes,
                folder.getRoot().toPath().resolve(node)), line -> { });
        running.put(node, store);
        store.start().sync();
        return store;
    }

    private void kill(String node) throws Exception {
        Store store = running.remove(node);
        on(() -> {
            store.close();
            return null;
        });
    }

    private Store.Result write(Store store, String key, String value) throws Exception {
        CompletableFuture<Store.Result> result = new CompletableFuture<>();
        on(() -> {
            store.write(List.of(new Change(key, value)), result::complete);
            return null;
        });
        return result.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private void await(Callable<Boolean> holds) throws Exception {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (!on(holds)) {
            assertTrue("waited in vain", System.nanoTime() < until);
            Thread.sleep(5);
        }
    }

    private void reads(Store store, String key, String value) throws Exception {
        await(() -> value.equals(store.get(key)));
        assertEquals(value, on(() -> store.get(key)));
    }

    @Test
    public void aKilledPeerCatchesUpWhenItRejoins() throws Exception {
        Store a = start("a", "a", 1);
        Store b = start("b", "a", 1);
        start("c", "a", 1);
        await(a::isWriter);
        assertTrue(write(a, "k", "1") instanceof Store.Committed);
        reads(b, "k", "1");
        kill("c");
        assertTrue(write(a, "k", "2") instanceof Store.Committed);
        assertTrue(write(a, "gone", "x") instanceof Store.Committed);
        assertTrue(write(a, "gone", null) instanceof Store.Committed);
        Store c = start("c", "a", 1);
        reads(c, "k", "2");
        assertEquals(null, on(() -> c.get("gone")));
        assertTrue(write(b, "k", "3") instanceof Store.Rejected);
    }

    @Test
    public void withoutAMajorityNothingIsCommitted() throws Exception {
        Store a = start("a", "a", 1);
        assertTrue(write(a, "k", "1") instanceof Store.Rejected);
        start("b", "a", 1);
        await(a::isWriter);
        assertTrue(write(a, "k", "1") instanceof Store.Committed);
        kill("b");
        assertEquals(new Store.Unknown(), write(a, "k", "2"));
        assertEquals("1", on(() -> a.get("k")));
        start("b", "a", 1);
        reads(a, "k", "2");
    }

    @Test
    public void aNewWriterKeepsWhatWasCommittedAndTheOldOneStopsWriting() throws Exception {
        Store a = start("a", "a", 1);
        start("b", "a", 1);
        await(a::isWriter);
        assertTrue(write(a, "k", "committed") instanceof Store.Committed);
        kill("b");
        assertEquals(new Store.Unknown(), write(a, "k", "never by a majority"));
        kill("a");
        // b has the committed write; c has nothing and takes the log over before it writes.
        start("b", "c", 2);
        Store c = start("c", "c", 2);
        await(c::isWriter);
        reads(c, "k", "committed");
        assertTrue(write(c, "k", "by c") instanceof Store.Committed);
        // The old writer comes back under its old term: it may not write, and then follows.
        Store stale = start("a", "a", 1);
        reads(stale, "k", "by c");
        assertFalse(on(stale::isWriter));
        assertTrue(write(stale, "k", "stale") instanceof Store.Rejected);
    }

    @Test
    public void aTornOrSpoiltEndOfTheLogIsCutOff() throws Exception {
        for (int spoilt : new int[] {1, 9}) {
            LogFile log = new LogFile(folder.getRoot().toPath().resolve("log" + spoilt));
            log.append(List.of(new Entry(1, 1, List.of(new Change("k", "1"))),
                    new Entry(1, 2, List.of(new Change("k", "2")))));
            log.close();
            try (RandomAccessFile file = new RandomAccessFile(
                    folder.getRoot().toPath().resolve("log" + spoilt + "/log").toFile(), "rw")) {
                if (spoilt == 1) {
                    file.setLength(file.length() - 1);
                } else {
                    file.seek(file.length() - spoilt);
                    file.write(0x55);
                }
            }
            LogFile again = new LogFile(folder.getRoot().toPath().resolve("log" + spoilt));
            assertEquals(1, again.lastVersion());
            assertTrue(again.cutBytes() > 0);
            again.append(List.of(new Entry(1, 2, List.of(new Change("k", "other")))));
            again.close();
            LogFile third = new LogFile(folder.getRoot().toPath().resolve("log" + spoilt));
            assertEquals("other", third.entry(2).changes().get(0).value());
            third.close();
        }
    }
}
