package reeldeal.consensus;

/**
 * The name, settings and state that the classes of a node share. Each state object is owned by its
 * class here; other classes change it only through the methods of that class.
 */
record RaftContext(
        String id,
        RaftSettings settings,
        RaftRules rules,
        DurableState durable,
        RaftLog log,
        MembershipChange membership,
        Outbox outbox) {

    long term() {
        return durable.term();
    }

    GroupConfiguration configuration() {
        return membership.configuration();
    }

    boolean isVoter() {
        return membership.configuration().voters().contains(id);
    }

    /**
     * Whether an entry of the current term is committed. If so, a leader's commit index covers
     * every entry committed in earlier terms (thesis, section 6.4).
     */
    boolean committedInCurrentTerm() {
        return log.termAt(log.commitIndex()) == durable.term();
    }

    /** Acknowledges the log up to an index to the leader, once it is on disk. */
    void acknowledge(String leader, long index) {
        durable.sendWhenDurable(Message.AppendResponse.accepted(id, leader, term(), index));
    }
}
