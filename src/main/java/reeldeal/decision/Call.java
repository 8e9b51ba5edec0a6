package reeldeal.decision;

/** One call to one server: the shard requests that were sent to it within one tick. */
final class Call {
    final double sentAtMs;

    /** Number of shard requests in the call, including those that have ended. */
    int shardRequests;

    /** Number of shard requests of the call that have no outcome yet. */
    int inFlight;

    Call(double sentAtMs) {
        this.sentAtMs = sentAtMs;
    }
}
