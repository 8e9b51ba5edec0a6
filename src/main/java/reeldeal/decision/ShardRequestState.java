package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.ShardRequest;

/** The state of a shard request, with its attempts in the order in which they were sent. */
final class ShardRequestState {
    final ShardRequest request;
    final QueryState query;
    final List<Attempt> attempts = new ArrayList<>();

    /** Replicas that {@link ReplicaSelector} may choose from; null if not determined. */
    List<ServerState> candidates;

    /** Number of attempts without an outcome. */
    int inFlight;

    /** Whether an answer was received. */
    boolean done;

    ShardRequestState(ShardRequest request, QueryState query) {
        this.request = request;
        this.query = query;
    }

    /** Returns whether provably no attempt was executed. */
    boolean provenNotRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether any attempt, ended or not, was sent to this server. */
    boolean attemptedAt(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an attempt at this server has no outcome yet. */
    boolean inFlightAt(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server && !attempt.ended) {
                return true;
            }
        }
        return false;
    }
}
