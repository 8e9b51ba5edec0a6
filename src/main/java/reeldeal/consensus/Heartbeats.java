package reeldeal.consensus;

/**
 * Sends a leader's heartbeats. Each round has a number, which the responses repeat; a round that a
 * majority has acknowledged confirms the reads that were waiting for it.
 */
final class Heartbeats {
    private final RaftContext context;
    private final ProgressTracker tracker;
    private int elapsedTicks;
    private long round;

    Heartbeats(RaftContext context, ProgressTracker tracker) {
        this.context = context;
        this.tracker = tracker;
    }

    void resetTimer() {
        elapsedTicks = 0;
    }

    /** Counts one tick. Returns true, and restarts the timer, if the next round is due. */
    boolean tick() {
        elapsedTicks++;
        if (elapsedTicks < context.settings().heartbeatTicks()) {
            return false;
        }
        elapsedTicks = 0;
        return true;
    }

    long round() {
        return round;
    }

    /** Begins a new round and sends a heartbeat to each peer. */
    void startRound() {
        round++;
        sendToAll();
    }

    /** Sends a heartbeat of the current round to each peer, with the latest commit index. */
    void sendToAll() {
        tracker.forEach(this::send);
    }

    void send(String node, PeerProgress peer) {
        long commitIndex = context.log().commitIndex();
        context.outbox()
                .send(
                        new Message.Heartbeat(
                                context.id(),
                                node,
                                context.term(),
                                Math.min(commitIndex, peer.matchIndex),
                                round,
                                context.committedInCurrentTerm() ? commitIndex : Long.MAX_VALUE));
    }
}
