package reeldeal.core;

import java.util.function.Consumer;

/**
 * The broker as its fronts see it. Implemented by the server, and by the layer that records
 * requests for a takeover; all methods are called, and all replies and tasks run, on the event-loop
 * thread.
 */
public interface RequestSubmitter {

    /** The broker's clock: Unix time in milliseconds, which never goes back. */
    double now();

    /** The id of the next request; never returned twice by a broker process. */
    long nextRequestId();

    /** Submits a request; the consumer gets its reply, once, unless the client disconnects. */
    void submit(Request request, Consumer<Reply> reply);

    /**
     * Submits a request that may carry its client's idempotency key: a repeat with the same key may
     * get the same reply, where this submitter deduplicates its class.
     *
     * @param key null for none
     */
    default void submit(Request request, String key, Consumer<Reply> reply) {
        submit(request, reply);
    }

    /** Whether this submitter recognizes repeats of a class's requests by their keys. */
    default boolean deduplicates(int classIndex) {
        return false;
    }

    /** The client of a request has disconnected; no reply follows. */
    void clientDisconnected(long requestId);

    /** Runs a task after this delay. */
    void schedule(double delayMs, Runnable task);

    /** Whether the broker is up and not shutting down. */
    boolean ready();
}
