package reeldeal.core;

import java.util.List;

/**
 * The final answer to a request, of which each request gets at most one. Produced by the reducer
 * and consumed by the front that submitted the request, on the event-loop thread.
 */
public sealed interface Reply {

    /** The value that a searcher returned for a shard, with its score. */
    record Hit(int shard, String value, double score) {}

    /**
     * The request is served.
     *
     * @param complete whether every shard that a complete answer needs has answered
     * @param hits the hits of the shards that answered; those of the fetch phase if the class has a
     *     fetch phase
     */
    record Served(boolean complete, List<Hit> hits) implements Reply {}

    /**
     * The request is rejected without having run, so that a retry does no harm.
     *
     * @param retryAfterMs recommended delay of a retry in milliseconds
     */
    record Rejected(double retryAfterMs) implements Reply {}

    /**
     * The request is not accepted because it conflicts with an open request.
     *
     * @param reason text for the client
     */
    record Invalid(String reason) implements Reply {}

    /**
     * The request failed; it is unknown whether any of its shard requests ran.
     *
     * @param reason text for the client
     */
    record Failed(String reason) implements Reply {}
}
