package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import reeldeal.core.Event;
import reeldeal.discovery.DiscoveryWatcher;

/**
 * Watches discovery for a broker, and moves the watch to another address. The current endpoint list
 * and the old watch stay in use until the new watch has received its first list. Used on the
 * broker's event loop.
 */
final class DiscoverySwitch {
    private final EventLoopGroup group;
    private final long seed;
    private final Consumer<Event> events;
    private final Consumer<String> log;
    private DiscoveryWatcher current;
    private DiscoveryWatcher next;

    /**
     * Creates a watch that is not started.
     *
     * @param address discovery's address; null watches none, now and later
     * @param events receives the events of the watch in use
     */
    DiscoverySwitch(
            EventLoopGroup group,
            InetSocketAddress address,
            long seed,
            Consumer<Event> events,
            Consumer<String> log) {
        this.group = group;
        this.seed = seed;
        this.events = events;
        this.log = log;
        current = address == null ? null : createWatcher(address, () -> {});
    }

    /** Starts watching. */
    void start() {
        if (current != null) {
            current.start();
        }
    }

    private DiscoveryWatcher createWatcher(InetSocketAddress address, Runnable onFirstList) {
        return new DiscoveryWatcher(group, address, seed, events, log, onFirstList);
    }

    /** Moves the watch to an address. Changes nothing if no address is watched, or for null. */
    void switchTo(InetSocketAddress address) {
        if (current == null || address == null) {
            return;
        }
        if (next != null) {
            next.stop();
            next = null;
        }
        if (address.equals(current.address())) {
            log.accept("reloaded: discovery stays at " + address);
            return;
        }
        log.accept("reloaded: moving to discovery at " + address);
        next = createWatcher(address, () -> onFirstList(address));
        next.start();
    }

    private void onFirstList(InetSocketAddress address) {
        current.stop();
        current = next;
        next = null;
        log.accept("discovery has moved to " + address);
    }

    /** Stops watching. */
    void stop() {
        if (current != null) {
            current.stop();
        }
        if (next != null) {
            next.stop();
        }
    }
}
