package reeldeal.server;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Reducer;

/**
 * Collects events until the next tick of the reducer, and passes on the tick's effects in order.
 * Used on the broker's event loop.
 */
final class ReducerDriver {
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final Reducer reducer;
    private final double tickMs;
    private final DoubleSupplier clock;
    private final Consumer<Effect> executor;
    private List<Event> pendingEvents = new ArrayList<>();
    private boolean tickScheduled;
    private double lastTickAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a driver without events.
     *
     * @param tickMs the least time between two ticks, in milliseconds
     * @param clock the broker's clock, in milliseconds
     */
    ReducerDriver(
            EventLoop loop,
            Reducer reducer,
            double tickMs,
            DoubleSupplier clock,
            Consumer<Effect> executor) {
        this.loop = loop;
        this.reducer = reducer;
        this.tickMs = tickMs;
        this.clock = clock;
        this.executor = executor;
    }

    /** Whether all events have been handled. */
    boolean isIdle() {
        return pendingEvents.isEmpty();
    }

    /** Enqueues an event for the next tick and schedules the tick. */
    void enqueue(Event event) {
        pendingEvents.add(event);
        if (!tickScheduled) {
            tickScheduled = true;
            double delayMs = lastTickAt + tickMs - clock.getAsDouble();
            if (delayMs <= 0) {
                loop.execute(this::tick);
            } else {
                loop.schedule(this::tick, (long) (delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            }
        }
    }

    private void tick() {
        tickScheduled = false;
        lastTickAt = clock.getAsDouble();
        List<Event> tickEvents = pendingEvents;
        pendingEvents = new ArrayList<>();
        reducer.tick(lastTickAt, tickEvents).forEach(executor);
    }
}
