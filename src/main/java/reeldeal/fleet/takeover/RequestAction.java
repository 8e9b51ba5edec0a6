package reeldeal.fleet.takeover;

import reeldeal.fleet.ConditionalWrite;

/**
 * An action that the caller of {@link InFlightRequests} has to perform; actions are performed in
 * order.
 */
public sealed interface RequestAction {

    /** The purpose of a proposed write. */
    enum Purpose {
        /** Makes, changes, ends or withdraws a record of this broker. */
        RECORD,
        /** Takes over another broker's record. */
        TAKE_OVER,
        /** Ends another broker's record whose request may not be run again. */
        CLOSE_ORPHAN
    }

    /** Proposes a write; its outcome is reported to {@link InFlightRequests#writeEnded}. */
    record Propose(String key, ConditionalWrite write, Purpose purpose) implements RequestAction {}

    /** Drops the write of a key if it has not been sent yet, because no client waits for it. */
    record Drop(String key) implements RequestAction {}

    /**
     * Runs a request under its record.
     *
     * @param isFirstRun whether no shard request of it was ever sent
     * @param isForClient whether it runs for a client of this broker, and not after a takeover
     */
    record Run(RequestRecord record, boolean isFirstRun, boolean isForClient)
            implements RequestAction {}

    /** Stops sending shard requests of a request whose record this broker no longer owns. */
    record Stop(String key) implements RequestAction {}

    /** An action that concerns one waiting client. */
    sealed interface ClientAction extends RequestAction {
        /** The id of the waiting client. */
        long client();
    }

    /** Answers a client with the outcome of its request. */
    record Reply(long client, RequestRecord.State state, String outcome) implements ClientAction {}

    /** Rejects a client whose key belongs to a request with another body. */
    record Conflict(long client) implements ClientAction {}

    /**
     * Runs a client's request without a record; its end is reported to {@link
     * InFlightRequests#runEnded}.
     */
    record ProceedUnrecorded(long client, String key) implements ClientAction {}

    /** Rejects a client whose request requires a record, which could not be made in time. */
    record Reject(long client) implements ClientAction {}
}
