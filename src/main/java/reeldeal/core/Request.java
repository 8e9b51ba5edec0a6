package reeldeal.core;

import java.util.List;

/**
 * A query as a front has received it. Immutable; times are milliseconds of the broker's clock.
 *
 * @param id number of the request, from {@link RequestSubmitter#nextRequestId}
 * @param name the name that the client gave the request; it is unique among open requests
 * @param classIndex index of the request's class in the settings
 * @param idempotencyKey key by which searchers deduplicate; null if the class has no keys
 * @param deadlineMs time at which the client gives up
 * @param retry whether the client marks the request as a retry
 * @param text the query text, which each shard request carries
 * @param shards the shard requests
 * @param firstSentAtMs the earliest time at which one of the shard requests may have been sent
 *     before, by this broker or another; infinite if none was
 */
public record Request(
        long id,
        String name,
        int classIndex,
        String idempotencyKey,
        double deadlineMs,
        boolean retry,
        String text,
        List<ShardRequest> shards,
        double firstSentAtMs) {

    /** Creates a request of which no shard request has been sent before. */
    public Request(
            long id,
            String name,
            int classIndex,
            String idempotencyKey,
            double deadlineMs,
            boolean retry,
            String text,
            List<ShardRequest> shards) {
        this(
                id,
                name,
                classIndex,
                idempotencyKey,
                deadlineMs,
                retry,
                text,
                shards,
                Double.POSITIVE_INFINITY);
    }

    /** Returns this request with its deadline brought forward to this time, if it is later. */
    public Request withDeadline(double latestMs) {
        return new Request(
                id,
                name,
                classIndex,
                idempotencyKey,
                Math.min(deadlineMs, latestMs),
                retry,
                text,
                shards,
                firstSentAtMs);
    }

    /**
     * The part of a query that concerns one shard.
     *
     * @param shard number of the shard
     * @param weight share of the shard in the query's answer, 0 to 1
     * @param key key of the shard request; equal shard requests have equal keys
     */
    public record ShardRequest(int shard, double weight, long key) {}
}
