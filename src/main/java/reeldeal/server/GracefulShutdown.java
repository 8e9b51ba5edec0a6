package reeldeal.server;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import reeldeal.core.Request;
import reeldeal.http.HttpServer;

/**
 * The steps of a graceful shutdown. All of them count from the signal, whatever the process waits
 * for before it drains: the platform kills at a fixed time after the signal. {@link #begin} and
 * {@link #drain} are called on the thread of the shutdown, the other methods on any thread.
 */
final class GracefulShutdown {
    private static final int POLL_MS = 10;

    private final ShutdownDeadlines deadlines;
    private final DoubleSupplier clock;
    private volatile double startedAt = Double.POSITIVE_INFINITY;
    private volatile boolean draining;

    GracefulShutdown(ShutdownDeadlines deadlines, DoubleSupplier clock) {
        this.deadlines = deadlines;
        this.clock = clock;
    }

    /** Starts to count the steps. Must be called at the signal; later calls have no effect. */
    void begin() {
        if (startedAt == Double.POSITIVE_INFINITY) {
            startedAt = clock.getAsDouble();
        }
    }

    /** Whether the broker has begun to drain. */
    boolean isDraining() {
        return draining;
    }

    /** Returns the milliseconds for which the drain may still be delayed, at least 0. */
    long maxDelayMs() {
        return (long) Math.max(0, startedAt + deadlines.serveMs() - clock.getAsDouble());
    }

    /**
     * Returns a request with the deadline that applies to it: one that arrives late in the shutdown
     * must be answered before the platform may kill the broker.
     */
    Request limitDeadline(Request request) {
        boolean late = clock.getAsDouble() > startedAt + deadlines.lateFromMs();
        return late ? request.withDeadline(startedAt + deadlines.answerByMs()) : request;
    }

    /**
     * Accepts new connections for a while, since clients notice the shutdown late, and serves open
     * connections for longer, since another broker may be down at the same time. Returns once the
     * broker is idle, or the last deadline is over.
     *
     * @param loop the event loop of the servers and of {@code idle}
     */
    void drain(EventLoop loop, List<HttpServer> servers, BooleanSupplier idle)
            throws InterruptedException {
        begin();
        draining = true;
        loop.submit(() -> servers.forEach(HttpServer::keepIdleConnections)).sync();
        Thread.sleep((long) Math.max(0, startedAt + deadlines.acceptMs() - clock.getAsDouble()));
        loop.submit(() -> servers.forEach(HttpServer::stopListening)).sync();
        awaitIdle(loop, idle, deadlines.serveMs());
        loop.submit(() -> servers.forEach(HttpServer::stopServing)).sync();
        awaitIdle(loop, idle, deadlines.endMs());
    }

    private void awaitIdle(EventLoop loop, BooleanSupplier idle, double untilMs)
            throws InterruptedException {
        while (clock.getAsDouble() < startedAt + untilMs
                && !loop.submit(idle::getAsBoolean).sync().getNow()) {
            Thread.sleep(POLL_MS);
        }
    }
}
