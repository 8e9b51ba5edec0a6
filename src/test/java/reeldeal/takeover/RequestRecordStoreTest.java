package reeldeal.takeover;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.fleet.takeover.TakeoverPolicy;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/** Tests when all requests count as recorded to their end. */
public class RequestRecordStoreTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final EventLoopGroup loop = new NioEventLoopGroup(1);

    @After
    public void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private RequestRecordStore recordStore() throws Exception {
        Map<String, InetSocketAddress> nodes =
                Map.of("a", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        StoreConfig config =
                new StoreConfig(
                        "g", "a", nodes, Set.of(), false, folder.newFolder().toPath(), null, 1);
        return new RequestRecordStore(
                loop.next(),
                new StoreNode(loop, config, line -> {}),
                TakeoverConfig.DEFAULT,
                queryClass -> new TakeoverPolicy.Window(0, 0, 0),
                () -> 0,
                line -> {});
    }

    @Test
    public void aRequestOnItsWayToABusyStoreIsUnfinished() throws Exception {
        RequestRecordStore recordStore = recordStore();
        assertFalse(recordStore.hasUnfinished());
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch handled = new CountDownLatch(1);
        loop.next()
                .submit(
                        () -> {
                            busy.await();
                            return null;
                        });
        recordStore.execute(handled::countDown);
        assertTrue(recordStore.hasUnfinished());
        busy.countDown();
        handled.await();
        loop.next().submit(() -> {}).sync();
        assertFalse(recordStore.hasUnfinished());
    }
}
