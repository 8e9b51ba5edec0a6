package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import reeldeal.consensus.Entry;

/** Tests which committed entries are applied, and how the writes of this node are answered. */
public class LogApplierTest {
    private static final int DURABLE = 100;

    private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final WriteQueue writes = new WriteQueue(new StoreLoop(eventLoopGroup));
    private final List<List<Change>> published = new ArrayList<>();
    private final List<StoreNode.Result> results = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private final LogApplier applier =
            new LogApplier(new KeyValueState(), writes, new PeerDirectory(null, null), log::add);

    @Before
    public void listen() {
        applier.addListener(published::add);
    }

    @After
    public void closeGroup() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static Entry entry(long index, long term, Change... changes) {
        byte[] data = KeyValueState.encode(KeyValueState.Command.of(List.of(changes)));
        return new Entry(index, term, data, null);
    }

    @Test
    public void anEntryIsAppliedOnceItIsOnDisk() {
        Change change = new Change("k", "1");
        applier.apply(List.of(entry(1, 1, change)), 0);
        assertEquals(0, applier.state().version());
        assertFalse(applier.isIdle());
        applier.apply(List.of(), 1);
        assertEquals(1, applier.state().version());
        assertEquals(List.of(List.of(change)), published);
        assertTrue(applier.isIdle());
    }

    @Test
    public void aCommittedWriteIsAnswered() {
        writes.add(1, 1, List.of(new Change("k", "1")), results::add);
        applier.apply(List.of(entry(1, 1, new Change("k", "1"))), DURABLE);
        assertEquals(List.of(new StoreNode.Committed(1)), results);
    }

    @Test
    public void aWriteWhoseEntryAnotherLeaderReplacedIsUnknown() {
        writes.add(1, 1, List.of(new Change("k", "1")), results::add);
        applier.apply(List.of(entry(1, 2, new Change("j", "other"))), DURABLE);
        assertEquals(List.of(new StoreNode.Unknown()), results);
        assertEquals(List.of(List.of(new Change("j", "other"))), published);
    }

    @Test
    public void anAbandonedWriteIsAnsweredOnce() {
        writes.add(1, 1, List.of(new Change("k", "1")), results::add);
        writes.abandonAll();
        applier.apply(List.of(entry(1, 1, new Change("k", "1"))), DURABLE);
        assertEquals(List.of(new StoreNode.Unknown()), results);
    }

    @Test
    public void aNewerCommandFormatStopsTheApplier() {
        Entry newerFormat = entry(2, 1, new Change("k", "2"));
        newerFormat.data()[0] = 2;
        applier.apply(
                List.of(
                        entry(1, 1, new Change("k", "1")),
                        newerFormat,
                        entry(3, 1, new Change("k", "3"))),
                DURABLE);
        assertTrue(applier.isStopped());
        assertEquals(1, applier.state().version());
        assertEquals(1, log.size());
    }

    @Test
    public void installingASnapshotPublishesTheDifferences() throws IOException {
        applier.apply(
                List.of(entry(1, 1, new Change("same", "1"), new Change("deleted", "1"))), DURABLE);
        KeyValueState other = new KeyValueState();
        List<Change> ignored = new ArrayList<>();
        other.apply(1, entry(1, 1, new Change("same", "1")).data(), ignored);
        other.apply(2, entry(2, 1, new Change("new", "2")).data(), ignored);
        published.clear();
        applier.install(other.freeze());
        assertEquals(
                List.of(List.of(new Change("deleted", null), new Change("new", "2"))), published);
    }
}
