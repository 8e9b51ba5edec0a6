package reeldeal.core;

import java.util.function.Consumer;

/**
 * The interface of the broker to its fronts. Implemented by the server, and by the layer that
 * records requests for a takeover. All methods are called on the event-loop thread, and all replies
 * and tasks run on it.
 */
public interface RequestSubmitter {

    /** Returns the time of the broker's clock: Unix milliseconds that never go back. */
    double now();

    /** Returns an id for the next request; a broker process never returns an id twice. */
    long nextRequestId();

    /** Submits a request; the consumer gets exactly one reply unless the client disconnects. */
    void submit(Request request, Consumer<Reply> reply);

    /**
     * Submits a request that may carry its client's idempotency key. If this submitter deduplicates
     * the class of the request, a repeat with the same key may get the same reply.
     *
     * @param key the idempotency key, or null if there is none
     */
    default void submit(Request request, String key, Consumer<Reply> reply) {
        submit(request, reply);
    }

    /** Whether this submitter deduplicates the requests of a class by their idempotency keys. */
    default boolean deduplicates(int classIndex) {
        return false;
    }

    /**
     * Returns a request with the deadline that applies to it now, which is earlier than its
     * client's late in a shutdown.
     */
    default Request limitDeadline(Request request) {
        return request;
    }

    /** Whether the end of some request is not recorded yet; the process should not end before. */
    default boolean hasUnfinishedRecords() {
        return false;
    }

    /** Reports that the client of a request has disconnected; the request gets no reply. */
    void clientDisconnected(long requestId);

    /** Runs a task after a delay in milliseconds. */
    void schedule(double delayMs, Runnable task);

    /** Whether the broker is up and not shutting down. */
    boolean ready();
}
