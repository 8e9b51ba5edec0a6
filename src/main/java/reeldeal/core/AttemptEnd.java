package reeldeal.core;

import reeldeal.decision.DecisionModule.Outcome;

/**
 * The way in which an attempt ended, and whether its call was written by then. Produced by the
 * transports to searchers, and by the reducer for attempts that it does not send; consumed by the
 * reducer in {@link Event.AttemptEnded}.
 */
public sealed interface AttemptEnd {

    /** Returns the outcome that the decision module is given for this end. */
    Outcome outcome();

    /** Whether the call of an attempt was written to the connection. */
    enum Reach {
        /** The call was not written, or not completely, so that the shard request never ran. */
        UNSENT,
        /** The call was written completely, so that the shard request may have run. */
        SENT
    }

    /**
     * The searcher answered.
     *
     * @param score score of the shard; the fetch phase goes to the shards with the highest scores
     * @param value the part of the query's answer that this shard contributes
     */
    record Served(double score, String value) implements AttemptEnd {
        @Override
        public Outcome outcome() {
            return Outcome.OK;
        }
    }

    /** The searcher answered with an error; the shard request may have run. */
    record Failed() implements AttemptEnd {
        @Override
        public Outcome outcome() {
            return Outcome.ERROR;
        }
    }

    /** The searcher rejected the shard request before it did any work for it. */
    record Rejected() implements AttemptEnd {
        @Override
        public Outcome outcome() {
            return Outcome.REJECTED;
        }
    }

    /**
     * The connection could not be established, or it broke.
     *
     * @param reach whether the call was written before
     * @param reason text for log lines; it is never parsed
     */
    record Broken(Reach reach, String reason) implements AttemptEnd {
        @Override
        public Outcome outcome() {
            return reach == Reach.UNSENT ? Outcome.CONNECT_FAILED : Outcome.RESET;
        }
    }

    /**
     * The broker stopped waiting for the attempt.
     *
     * @param reach whether the call was written before
     * @param timedOut whether the attempt's timeout had expired; otherwise the decision module
     *     cancelled the attempt
     */
    record Abandoned(Reach reach, boolean timedOut) implements AttemptEnd {
        @Override
        public Outcome outcome() {
            if (reach == Reach.UNSENT) {
                return Outcome.CONNECT_FAILED;
            }
            return timedOut ? Outcome.TIMEOUT : Outcome.CANCELLED;
        }
    }

    /** The broker did not send the attempt, because its own rules did not allow it. */
    record NeverSent() implements AttemptEnd {
        @Override
        public Outcome outcome() {
            return Outcome.NEVER_SENT;
        }
    }
}
