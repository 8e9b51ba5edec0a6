package reeldeal.core;

import java.util.ArrayList;
import java.util.List;

/** A shard request with attempts that may have no end yet. */
final class PendingShardRequest {
    final long id;
    final PendingRequest parent;
    final int shard;

    /** By number. */
    final List<AttemptState> attempts = new ArrayList<>();

    /** The first answer; null until it comes. */
    AttemptEnd.Served answer;

    /** Whether its phase is over: answers are of no use any more. */
    boolean completed;

    /** Attempts without an end. */
    int inFlight;

    PendingShardRequest(long id, PendingRequest parent, int shard) {
        this.id = id;
        this.parent = parent;
        this.shard = shard;
    }

    /** Adds an attempt, and returns its number. */
    int startAttempt(double nowMs) {
        attempts.add(new AttemptState(nowMs));
        inFlight++;
        return attempts.size() - 1;
    }

    /** Whether this attempt exists and has no end yet. */
    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !attempts.get(attempt).ended;
    }

    /** Takes the end of an attempt that is in flight. */
    void endAttempt(int number, AttemptEnd end) {
        AttemptState attempt = attempts.get(number);
        attempt.ended = true;
        attempt.neverRan = end.outcome().neverRan();
        inFlight--;
        if (end instanceof AttemptEnd.Served served && answer == null) {
            answer = served;
        }
    }

    /** The earliest time at which it may have run, at any broker; infinite if it cannot have. */
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
