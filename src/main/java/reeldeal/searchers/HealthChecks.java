package reeldeal.searchers;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.Outcome;

/**
 * Tracks the health checks in flight on one connection, oldest first. Replies carry no identifier
 * and arrive in the order of the requests. Each health check ends in one {@link Event.Probed}.
 * Owned by the connection and used on its thread; times are those of the broker's clock, in
 * milliseconds.
 */
final class HealthChecks {
    private static final double TIMEOUT_MS = 250;
    private static final byte[] NO_PAYLOAD = {};
    private static final String ERROR_REPLY = "err";

    private record HealthCheck(Searcher searcher, double startedAt) {}

    private final List<String> loadColumns;
    private final Consumer<Event> events;
    private final ArrayDeque<HealthCheck> inFlight = new ArrayDeque<>();

    HealthChecks(List<String> loadColumns, Consumer<Event> events) {
        this.loadColumns = loadColumns;
        this.events = events;
    }

    void start(Searcher searcher, double now) {
        inFlight.add(new HealthCheck(searcher, now));
    }

    /**
     * Encodes the request frame of one health check. It asks for a load report if the settings name
     * columns of it.
     */
    ByteBuf encodeRequest() {
        char type = loadColumns.isEmpty() ? FrameCodec.PROBE : FrameCodec.LOAD;
        return FrameCodec.encodeFrame(type, NO_PAYLOAD);
    }

    boolean isEmpty() {
        return inFlight.isEmpty();
    }

    int size() {
        return inFlight.size();
    }

    /** Whether the oldest health check has exceeded the timeout for its reply. */
    boolean isOverdue(double now) {
        return !inFlight.isEmpty() && inFlight.peek().startedAt() < now - TIMEOUT_MS;
    }

    /** Ends the oldest health check with the searcher's reply. There must be one in flight. */
    void complete(String reply, double now) {
        HealthCheck check = inFlight.remove();
        Outcome outcome = reply.equals(ERROR_REPLY) ? Outcome.ERROR : Outcome.OK;
        end(check, outcome, now, LoadReport.parse(reply, loadColumns));
    }

    /** Ends all health checks because their connection was closed. */
    void failAll(boolean wasEstablished, double now) {
        Outcome outcome = wasEstablished ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
        for (HealthCheck check : inFlight) {
            end(check, outcome, now, LoadReport.NO_VALUES);
        }
        inFlight.clear();
    }

    private void end(HealthCheck check, Outcome outcome, double now, double[] load) {
        events.accept(
                new Event.Probed(check.searcher().name(), outcome, now - check.startedAt(), load));
    }
}
