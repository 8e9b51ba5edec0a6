package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Tests which writes a node refuses when its state is at its bound. */
public class StoreMemoryTest {
    private static final int TIMEOUT_S = 20;
    private static final StoreMemoryLimits LIMITS = StoreMemoryLimits.ofHeap(4 << 20);

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private StoreNode node;

    @Before
    public void start() throws Exception {
        node =
                new StoreNode(
                        group,
                        StoreHeapProgram.onlyVoter(
                                folder.getRoot().toPath(), StoreHeapProgram.freeAddress()),
                        LIMITS,
                        line -> {});
        node.start().sync();
        CompletableFuture<Void> leads = new CompletableFuture<>();
        loop.execute(() -> node.whenLeading(() -> leads.complete(null)));
        leads.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @After
    public void close() throws Exception {
        loop.submit(
                        () -> {
                            node.close();
                            return null;
                        })
                .sync();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private StoreNode.Result write(String key, String value) throws Exception {
        CompletableFuture<StoreNode.Result> result = new CompletableFuture<>();
        loop.execute(() -> node.write(List.of(new Change(key, value)), result::complete));
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private long fillRecords() throws Exception {
        long records = 0;
        while (loop.submit(node.memory()::stateBytes).get() < LIMITS.stateBytes() - 5_000) {
            boolean written =
                    write("work/" + records, "v".repeat(4_000)) instanceof StoreNode.Committed;
            records += written ? 1 : 0;
        }
        return records;
    }

    /** Guards against records that fill the state and keep the fleet from its leases. */
    @Test
    public void aFullPrefixLeavesRoomForTheOthers() throws Exception {
        long records = fillRecords();
        StoreNode.Result refused = write("work/" + records, "v".repeat(8_000));
        assertEquals(new StoreNode.Rejected("the store is full: it may only shrink"), refused);
        String small = "v".repeat(2_000);
        for (int i = 0; i < 10; i++) {
            assertTrue("fleet/" + i, write("fleet/" + i, small) instanceof StoreNode.Committed);
        }
    }

    @Test
    public void aPrefixGrowsPastItsReserveOnlyWhileTheStateHasRoom() throws Exception {
        fillRecords();
        write("zone/0", "v".repeat((int) LIMITS.prefixReserveBytes() / 2));
        StoreNode.Result refused = write("zone/1", "v".repeat((int) LIMITS.prefixReserveBytes()));
        assertEquals(new StoreNode.Rejected("the store is full: it may only shrink"), refused);
    }

    @Test
    public void aFullStateMayShrink() throws Exception {
        long records = fillRecords();
        assertTrue(write("work/0", null) instanceof StoreNode.Committed);
        assertTrue(write("work/1", "shorter") instanceof StoreNode.Committed);
        assertTrue(write("work/" + records, "v".repeat(3_000)) instanceof StoreNode.Committed);
    }
}
