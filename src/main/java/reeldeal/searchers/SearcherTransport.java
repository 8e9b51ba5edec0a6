package reeldeal.searchers;

import reeldeal.core.Effect;
import reeldeal.core.Searcher;
import reeldeal.core.SendGuard;

/**
 * Sends attempts to searchers. Every attempt passed to a transport ends in exactly one {@link
 * reeldeal.core.Event.AttemptEnded}, which reports how far the attempt came. All methods are called
 * on the broker's event loop and do not block.
 */
public interface SearcherTransport {

    /** Sends the attempts of one call to their searcher. */
    void call(Effect.Call call);

    /**
     * Stops waiting for an attempt. Does nothing if the attempt is not pending in this transport.
     */
    void abandon(Effect.Abandon abandon);

    /**
     * Drops an attempt that is not yet written. Does nothing if the attempt is in flight or not
     * pending in this transport.
     */
    void withdraw(Effect.Withdraw withdraw);

    /** Stops sending to this searcher. Attempts that are queued for a connection end as unsent. */
    void stopSending(Searcher searcher);

    /** Starts a health check, which ends in one {@link reeldeal.core.Event.Probed}. */
    void probe(Effect.Probe probe);

    /**
     * Sets the guard that is asked immediately before an attempt is written. An attempt that it
     * refuses is not written, and ends as {@link reeldeal.core.AttemptEnd.NeverSent}.
     */
    void setGuard(SendGuard guard);

    /** Closes idle connections. Called periodically on the event loop. */
    void sweep();

    /** Closes all connections. */
    void close();
}
