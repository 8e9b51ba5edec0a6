package reeldeal.sockets;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Measures how long input may have waited unread because an event loop was busy, or its process was
 * not running. Used on that event loop.
 *
 * <p>A task runs at short intervals. Between two of its runs the loop asks the system for input at
 * least once, so what is read now arrived after the last run but one.
 */
public final class EventLoopLag {
    private static final int INTERVAL_MS = 15;

    /** The least lag that is reported; a loop that is on time stays below it. */
    private static final int MIN_LAG_MS = 35;

    private static final long NANOS_PER_MS = 1_000_000;

    private final LongSupplier nanoClock;
    private long lastRunAt;
    private long previousRunAt;

    /** Creates a measurement that has not been started, which reports no lag. */
    public EventLoopLag() {
        this(System::nanoTime);
    }

    EventLoopLag(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Starts to measure a loop, until it is shut down. */
    public void start(EventLoop loop) {
        begin();
        loop.scheduleWithFixedDelay(this::run, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void begin() {
        lastRunAt = nanoClock.getAsLong();
        previousRunAt = lastRunAt;
    }

    void run() {
        previousRunAt = lastRunAt;
        lastRunAt = nanoClock.getAsLong();
    }

    /**
     * Returns the longest time for which input that is read now may have waited, in milliseconds; 0
     * if the loop is on time.
     */
    public long lagMs() {
        if (previousRunAt == 0) {
            return 0;
        }
        long lagMs = (nanoClock.getAsLong() - previousRunAt) / NANOS_PER_MS;
        return lagMs < MIN_LAG_MS ? 0 : lagMs;
    }
}
