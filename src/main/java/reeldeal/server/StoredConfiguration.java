package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import reeldeal.fleet.FleetView;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/**
 * Reads and writes the broker's configuration in the store. Its methods may block and are called on
 * the thread that starts the program.
 */
final class StoredConfiguration {
    private static final String KEY = "config/broker";
    private static final int POLL_MS = 50;
    private static final int ROLLED_OUT_POLL_MS = 10;
    private static final int ROLLED_OUT_MARGIN_MS = 500;

    private final EventLoopGroup stateGroup;
    private final StoreNode store;

    StoredConfiguration(EventLoopGroup stateGroup, StoreNode store) {
        this.stateGroup = stateGroup;
        this.store = store;
    }

    /** Returns the configuration that all nodes share, and blocks until one is stored. */
    byte[] awaitShared() throws InterruptedException {
        while (true) {
            String stored =
                    stateGroup.next().submit(() -> store.getPossiblyStale(KEY)).sync().getNow();
            if (stored != null) {
                return stored.getBytes(StandardCharsets.UTF_8);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /**
     * Returns the configuration that a rollout has assigned to this node, or null. Blocks until the
     * store has a state to read, at most until it has to start from its possibly stale copy.
     */
    String awaitRolledOut() throws InterruptedException {
        long waitMs = StoreNode.STALE_START_MS + ROLLED_OUT_MARGIN_MS;
        long deadlineNanos = System.nanoTime() + waitMs * 1_000_000L;
        while (!stateGroup.next().submit(store::hasAppliedState).sync().getNow()
                && System.nanoTime() < deadlineNanos) {
            Thread.sleep(ROLLED_OUT_POLL_MS);
        }
        return stateGroup.next().submit(this::readRolledOut).sync().getNow();
    }

    private String readRolledOut() {
        String configurationId = store.getPossiblyStale(FleetView.TARGET_CONFIG + store.node());
        return configurationId == null
                ? null
                : store.getPossiblyStale(FleetView.CONFIG + configurationId);
    }

    /**
     * Stores this configuration the first time that this node becomes leader. Later leaderships do
     * not store it again, so that they do not overwrite what another node has stored since.
     */
    void storeOnceLeading(String text) {
        boolean[] attempted = {false};
        Runnable storeOnce =
                () -> {
                    boolean firstTime = !attempted[0];
                    attempted[0] = true;
                    if (firstTime && !text.equals(store.get(KEY))) {
                        store.write(
                                List.of(new Change(KEY, text)),
                                result ->
                                        BrokerServer.log("store: configuration write: " + result));
                    }
                };
        stateGroup.next().execute(() -> store.whenLeading(storeOnce));
    }
}
