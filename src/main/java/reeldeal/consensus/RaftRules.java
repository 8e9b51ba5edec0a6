package reeldeal.consensus;

/**
 * Raft's safety rules as pure functions of their arguments; the callers own the state.
 *
 * <p>Not final: tests override one rule at a time to check that the simulation detects a node that
 * violates it.
 */
class RaftRules {
    /** Returns the number of votes needed to win a pre-vote or an election. */
    int electionMajority(GroupConfiguration configuration) {
        return configuration.majority();
    }

    /** Returns the number of voters that must have an entry on disk before it is committed. */
    int commitMajority(GroupConfiguration configuration) {
        return configuration.majority();
    }

    /**
     * Returns the number of voters that must acknowledge a heartbeat round before the reads waiting
     * for it are answered.
     */
    int readMajority(GroupConfiguration configuration) {
        return configuration.majority();
    }

    /**
     * Whether an entry may be committed by counting replicas: only one of the current term may
     * (thesis, section 3.6.2).
     */
    boolean mayCommit(long entryTerm, long currentTerm) {
        return entryTerm == currentTerm;
    }

    /**
     * Whether a candidate's log is at least as up to date as this node's (thesis, section 3.6.1).
     */
    boolean isUpToDate(RaftLog log, long candidateLastIndex, long candidateLastTerm) {
        return candidateLastTerm > log.lastTerm()
                || (candidateLastTerm == log.lastTerm() && candidateLastIndex >= log.lastIndex());
    }

    /**
     * Whether a node may vote for a candidate; it has one vote per term. {@code vote} is its vote
     * so far in the term, or null.
     */
    boolean mayVoteFor(String vote, String candidate) {
        return vote == null || vote.equals(candidate);
    }

    /** Whether the log has the entry directly before the entries of an append request. */
    boolean logMatches(RaftLog log, long prevLogIndex, long prevLogTerm) {
        return log.termAt(prevLogIndex) == prevLogTerm;
    }

    /**
     * Whether a leader may propose a configuration: one change at a time, by at most one voter, and
     * only once an entry of the current term is committed. Without the last condition, two leaders
     * could commit through majorities that share no node (the error in section 4.1 of the thesis
     * that was found in 2015).
     */
    boolean mayChangeConfiguration(
            GroupConfiguration current,
            GroupConfiguration proposed,
            boolean currentIsCommitted,
            boolean committedInCurrentTerm) {
        return currentIsCommitted
                && proposed.differsByAtMostOneVoter(current)
                && committedInCurrentTerm;
    }

    /**
     * Whether a leader may answer reads. A new leader knows the commit index only once an entry of
     * its own term is committed.
     */
    boolean mayRead(boolean committedInCurrentTerm) {
        return committedInCurrentTerm;
    }

    /** Whether a message must not be sent before the sender's earlier changes are on disk. */
    boolean mustWaitForDisk(Message message) {
        return true;
    }

    /** Whether messages of an earlier term are rejected. */
    boolean rejectsStaleTerms() {
        return true;
    }
}
