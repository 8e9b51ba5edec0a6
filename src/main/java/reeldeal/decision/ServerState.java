package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.Server;

/** One server process: its list entry, its health and this broker's work in flight at it. */
final class ServerState {
    final long id;
    final ServerHealth health;

    /** The latest entry in the endpoint list. */
    Server listEntry;

    /** Whether the server may get work. */
    boolean ready;

    /** Since when the server has not been ready; {@code Double.MAX_VALUE} while it is. */
    double notReadySinceMs = Double.MAX_VALUE;

    /** Tokens in the slow-start bucket, in units of work; changed by {@link SlowStart} only. */
    double slowStartTokens;

    /** When the slow-start bucket was last refilled. */
    double slowStartTokensAtMs = -1;

    /** Attempts without an outcome, oldest first. */
    final List<Attempt> inFlight = new ArrayList<>();

    /** Number of calls with attempts in flight. */
    int callsInFlight;

    /** Since when there has been work in flight without interruption. */
    double busySinceMs;

    private Call openCall;

    /**
     * Creates the state of a server process when it is first listed.
     *
     * @param trusted whether its health is presumed good; false if it replaces another process
     */
    ServerState(long id, boolean trusted) {
        this.id = id;
        this.health = new ServerHealth(trusted);
    }

    /** Returns whether a shard request sent now joins a call that was begun in this tick. */
    boolean hasOpenCall(double nowMs, int maxShardsPerCall) {
        return openCall != null
                && openCall.sentAtMs == nowMs
                && openCall.shardRequests < maxShardsPerCall;
    }

    /** Returns how many shard requests can still be added to the open or the next call. */
    int remainingInCall(double nowMs, int maxShardsPerCall) {
        return hasOpenCall(nowMs, maxShardsPerCall)
                ? maxShardsPerCall - openCall.shardRequests
                : maxShardsPerCall;
    }

    /**
     * Starts an attempt to run a shard request on this server. The attempt joins the call that was
     * begun in this tick, or begins a new one if there is none or it is full.
     */
    Attempt startAttempt(ShardRequestState shardRequest, double nowMs, int maxShardsPerCall) {
        if (!hasOpenCall(nowMs, maxShardsPerCall)) {
            openCall = new Call(nowMs);
            callsInFlight++;
        }
        Attempt attempt = new Attempt(shardRequest, this, openCall);
        openCall.inFlight++;
        busySinceMs = inFlight.isEmpty() ? nowMs : busySinceMs;
        shardRequest.attempts.add(attempt);
        shardRequest.inFlight++;
        inFlight.add(attempt);
        return attempt;
    }

    /** Removes an attempt whose outcome is known. */
    void endAttempt(Attempt attempt, boolean neverRan) {
        attempt.ended = true;
        attempt.neverRan = neverRan;
        attempt.shardRequest.inFlight--;
        inFlight.remove(attempt);
        if (--attempt.call.inFlight == 0) {
            callsInFlight--;
        }
    }

    /**
     * Returns the load that one more call would cause: this broker's calls in flight plus one,
     * multiplied by the outlier factor, so that calls at an outlier count by its latency. While
     * there are no outliers this is the number of calls.
     */
    double load() {
        return (callsInFlight + 1) * health.outlierFactor;
    }
}
