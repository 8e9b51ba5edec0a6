package reeldeal.consensus;

/**
 * Transfers leadership to a voter once its log is as long as the leader's (thesis, section 3.10).
 */
final class LeadershipTransfer {
    private final RaftContext context;
    private String target;

    LeadershipTransfer(RaftContext context) {
        this.context = context;
    }

    boolean isActive() {
        return target != null;
    }

    void start(String node) {
        target = node;
    }

    void cancel() {
        target = null;
    }

    /**
     * Asks the target to start an election if its log matches the leader's up to the last entry.
     * Returns false, and sends nothing, if it does not or if the node is not the target.
     */
    boolean completeIfCaughtUp(String node, PeerProgress peer) {
        if (!node.equals(target) || peer.matchIndex != context.log().lastIndex()) {
            return false;
        }
        context.outbox().send(new Message.TimeoutNow(context.id(), node, context.term()));
        return true;
    }
}
