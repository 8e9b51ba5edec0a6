package reeldeal.store;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of a node, which owns all of the node's state. The methods may be called on any
 * thread.
 */
final class StoreLoop {
    private final EventLoopGroup eventLoopGroup;

    /** Wraps an event loop group, which must have exactly one event loop. */
    StoreLoop(EventLoopGroup eventLoopGroup) {
        this.eventLoopGroup = eventLoopGroup;
    }

    void execute(Runnable task) {
        eventLoopGroup.next().execute(task);
    }

    /** Schedules a task; the future cancels it, and then no longer refers to it. */
    Future<?> schedule(long delayMs, Runnable task) {
        return eventLoopGroup.next().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void scheduleAtFixedRate(long periodMs, Runnable task) {
        eventLoopGroup.next().scheduleAtFixedRate(task, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }
}
