package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.QueryClass;

/** A query in flight: its shard requests, the progress of its phase and its time limits. */
final class QueryState {
    /** Tolerance for rounding errors when a sum of weights is compared with a share. */
    static final double WEIGHT_TOLERANCE = 1e-5;

    /** Share of the phase's shard requests; once it is answered, the others are the tail. */
    private static final double TAIL_SHARE = 0.6;

    final Query query;
    final QueryClass queryClass;
    final int timerToken;

    /** The shard requests of both phases. */
    final List<ShardRequestState> shardRequests = new ArrayList<>();

    /** The shard requests of the current phase. */
    List<ShardRequestState> phaseRequests = new ArrayList<>();

    /** Total weight of the answered shard requests of the current phase. */
    double answeredWeight;

    /** Number of answered shard requests of the current phase. */
    int answeredCount;

    /** Time in which most shard requests of the phase were answered; infinite until then. */
    double majorityAnsweredAfterMs = Double.POSITIVE_INFINITY;

    /** When the query was first submitted; a client's retry keeps this time. */
    double startedAtMs;

    /** Latest time at which an answer meets the latency objective. */
    double objectiveAtMs;

    /** Time at which the broker stops waiting for answers. */
    double endAtMs;

    /** Time at which the query ends if nothing is in flight and nothing can have run. */
    double unsentEndAtMs;

    /** Time before which timers need not review the query. */
    double nextReviewAtMs;

    /** Due time of the earliest scheduled timer; infinite if there is none. */
    double timerAtMs = Double.POSITIVE_INFINITY;

    boolean inFetchPhase;
    boolean queryPhaseComplete;
    boolean ended;

    QueryState(Query query, QueryClass queryClass, int timerToken) {
        this.query = query;
        this.queryClass = queryClass;
        this.timerToken = timerToken;
    }

    /** Returns whether an incomplete answer may be given. */
    boolean mayBePartial() {
        return queryClass.minimumShare() < queryClass.completeShare();
    }

    /** Returns whether enough is answered for a partial answer. */
    boolean minimumAnswered() {
        return answeredWeight >= queryClass.minimumShare() - WEIGHT_TOLERANCE;
    }

    /** Returns whether the current phase has all answers that a complete answer needs. */
    boolean isComplete() {
        if (inFetchPhase) {
            return queryPhaseComplete && phaseDone();
        }
        return queryClass.completeShare() < 1
                ? answeredWeight >= queryClass.completeShare() - WEIGHT_TOLERANCE
                : phaseDone();
    }

    private boolean phaseDone() {
        for (ShardRequestState shardRequest : phaseRequests) {
            if (!shardRequest.done) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the fetch phase has begun but its shard requests are not known yet. */
    boolean awaitsFetchPhase() {
        return inFetchPhase && phaseRequests.isEmpty();
    }

    /** Returns whether nothing is in flight and provably nothing was executed. */
    boolean idleAndProvenNotRun() {
        for (ShardRequestState shardRequest : shardRequests) {
            if (shardRequest.inFlight > 0 || !shardRequest.provenNotRun()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether any of the shard requests may have been executed. */
    boolean mayHaveRun() {
        for (ShardRequestState shardRequest : shardRequests) {
            if (!shardRequest.provenNotRun()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the earliest time limit that is still ahead, or {@code endAtMs} if none is. */
    double nextLimitMs(double nowMs) {
        return Math.min(
                objectiveAtMs > nowMs ? objectiveAtMs : endAtMs,
                unsentEndAtMs > nowMs ? unsentEndAtMs : Double.MAX_VALUE);
    }

    /** Records the first answer to a shard request. */
    void recordAnswer(ShardRequestState shardRequest, double elapsedMs) {
        shardRequest.done = true;
        answeredWeight += shardRequest.request.weight();
        if (++answeredCount >= TAIL_SHARE * phaseRequests.size()) {
            majorityAnsweredAfterMs = Math.min(majorityAnsweredAfterMs, elapsedMs);
        }
    }

    /** Starts the fetch phase, whose shard requests are added by a later event. */
    void beginFetchPhase(boolean complete) {
        queryPhaseComplete = complete;
        inFetchPhase = true;
        phaseRequests = new ArrayList<>();
        answeredWeight = 0;
        answeredCount = 0;
        majorityAnsweredAfterMs = Double.POSITIVE_INFINITY;
    }
}
