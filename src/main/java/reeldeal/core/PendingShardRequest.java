package reeldeal.core;

import java.util.ArrayList;
import java.util.List;

/** A shard request and its attempts, some of which may not have ended yet. */
final class PendingShardRequest {
    final long id;
    final PendingRequest parent;
    final int shard;

    /** The attempts; the index is the number of the attempt. */
    final List<AttemptState> attempts = new ArrayList<>();

    /** The first answer that arrived; null before. */
    AttemptEnd.Served answer;

    /** Whether the phase of this shard request is over, so that answers are no longer needed. */
    boolean completed;

    /** Number of attempts that have not ended. */
    int inFlight;

    PendingShardRequest(long id, PendingRequest parent, int shard) {
        this.id = id;
        this.parent = parent;
        this.shard = shard;
    }

    /** Adds an attempt and returns its number. */
    int startAttempt(double nowMs) {
        attempts.add(new AttemptState(nowMs));
        inFlight++;
        parent.attemptsInFlight++;
        return attempts.size() - 1;
    }

    /** Whether the attempt with this number exists and has not ended. */
    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !attempts.get(attempt).ended;
    }

    /** Records the end of an attempt that is in flight, and its answer if it is the first. */
    void endAttempt(int number, AttemptEnd end) {
        AttemptState attempt = attempts.get(number);
        attempt.ended = true;
        attempt.neverRan = end.outcome().neverRan();
        inFlight--;
        parent.attemptsInFlight--;
        if (end instanceof AttemptEnd.Served served && answer == null) {
            answer = served;
        }
    }

    /**
     * Returns the earliest time at which an attempt that may have run was sent, by this broker or
     * another one; infinite if the shard request cannot have run.
     */
    double mayHaveRunSinceMs() {
        double earliestMs = parent.request.firstSentAtMs();
        for (AttemptState attempt : attempts) {
            if (!attempt.neverRan) {
                earliestMs = Math.min(earliestMs, attempt.startedAtMs);
            }
        }
        return earliestMs;
    }
}
