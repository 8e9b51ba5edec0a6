package reeldeal.core;

import java.util.List;

/**
 * An action that the reducer requests of the server. Produced by {@link Reducer#tick} and performed
 * by the server on the event-loop thread, in the order of the returned list. A result, where there
 * is any, comes back as an {@link Event} of a later tick.
 */
public sealed interface Effect {

    /**
     * The result of the query phase, which the shard requests of the fetch phase carry.
     *
     * @param answeredShards the shards that answered, in ascending order
     * @param complete whether every shard that a complete answer needs has answered
     */
    record QueryPhaseResult(List<Integer> answeredShards, boolean complete) {}

    /**
     * One shard request of a call. The connection may be established long after the decision to
     * send, so that two time limits apply; both are in milliseconds of the broker's clock.
     *
     * @param shardRequestId unique over the life of the broker process
     * @param attempt number of the attempt, from 0
     * @param request the request to which the shard request belongs
     * @param shard number of the shard
     * @param deadlineMs time at which the broker stops waiting for the attempt
     * @param sendByMs time before which the attempt must be written; infinite where running the
     *     shard request twice does no harm
     * @param queryPhase result of the query phase; null while the query phase is going on
     */
    record Send(
            long shardRequestId,
            int attempt,
            Request request,
            int shard,
            double deadlineMs,
            double sendByMs,
            QueryPhaseResult queryPhase) {
        /** Whether the attempt may still be written at this time of the broker's clock. */
        public boolean mayBeWritten(double now) {
            return now < Math.min(deadlineMs, sendByMs);
        }

        /** Returns the milliseconds left until the deadline, at least 0. */
        public double remainingMs(double now) {
            return Math.max(0, deadlineMs - now);
        }
    }

    /**
     * Sends shard requests to one searcher in one call. An {@link Event.AttemptEnded} follows for
     * each of them.
     */
    record Call(Searcher searcher, List<Send> sends) implements Effect {}

    /**
     * Stops waiting for an attempt. An {@link Event.AttemptEnded} follows.
     *
     * @param timedOut whether the attempt's timeout has expired; otherwise the decision module has
     *     cancelled the attempt
     */
    record Abandon(long shardRequestId, int attempt, boolean timedOut) implements Effect {}

    /**
     * Prevents an attempt from being written, because its result is no longer needed. An attempt
     * that has already been written continues.
     */
    record Withdraw(long shardRequestId, int attempt) implements Effect {}

    /** Starts a health check of a searcher. An {@link Event.Probed} follows. */
    record Probe(Searcher searcher) implements Effect {}

    /** Stops sending to a searcher, including shard requests that are queued for a connection. */
    record StopSending(Searcher searcher) implements Effect {}

    /** Answers a request; each request is answered at most once. */
    record Answer(long requestId, Reply reply) implements Effect {}

    /**
     * Queues an event after a delay.
     *
     * @param delayMs milliseconds from now
     * @param event the event to queue
     */
    record ScheduleTimer(double delayMs, Event event) implements Effect {}

    /** Writes a line to the operators' log. */
    record Log(String line) implements Effect {}
}
