package reeldeal.decision;

/** One attempt to execute a shard request on one server. */
final class Attempt {
    final ShardRequestState shardRequest;
    final ServerState server;
    final Call call;

    /** Position within the call, from 0: a server executes a call's shard requests in order. */
    final int position;

    final double sentAtMs;
    boolean ended;

    /** Whether cancellation of this attempt was requested. */
    boolean cancelled;

    /** Whether the outcome proves that this attempt was not executed. */
    boolean neverRan;

    Attempt(ShardRequestState shardRequest, ServerState server, Call call) {
        this.shardRequest = shardRequest;
        this.server = server;
        this.call = call;
        position = call.shardRequests++;
        sentAtMs = call.sentAtMs;
    }
}
