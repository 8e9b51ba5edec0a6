package reeldeal.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reeldeal.consensus.RaftNode;

/**
 * Submits writes from any node: proposes them directly if this node leads, else forwards them to
 * the leader. Belongs to the event loop.
 */
final class WriteForwarder {
    private static final int POLL_INTERVAL_MS = 50;

    private final String node;
    private final RaftNode raft;
    private final StoreStatus status;
    private final WriteProposer proposer;
    private final PeerConnections connections;
    private final StoreLoop loop;
    private final ForwardedWrites writes;
    private final String session;
    private final Map<Long, ForwardedWrites.Attempt> attemptsById = new HashMap<>();
    private long nextId = 1;
    private boolean pollScheduled;

    WriteForwarder(
            NodeIdentity identity,
            RaftNode raft,
            StoreStatus status,
            WriteProposer proposer,
            PeerConnections connections,
            StoreLoop loop,
            long maxQueuedBytes) {
        this.node = identity.node();
        this.session = identity.session();
        this.raft = raft;
        this.status = status;
        this.proposer = proposer;
        this.connections = connections;
        this.loop = loop;
        this.writes =
                new ForwardedWrites(session, ForwardedWrites.Limits.ofQueuedBytes(maxQueuedBytes));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Submits a write; the callback is called exactly once, possibly before this method returns.
     */
    void submit(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<StoreNode.Result> callback) {
        if (status.isFrozen()) {
            callback.accept(new StoreNode.Rejected("this node's copy no longer follows the group"));
            return;
        }
        // The size limit is checked with the longest session name that the write can get.
        KeyValueState.Command largest =
                new KeyValueState.Command(session + ":00", 0, preconditions, changes);
        if (WriteProposer.isTooLarge(KeyValueCodec.encode(largest))) {
            callback.accept(new StoreNode.Rejected("the write is too large"));
            return;
        }
        writes.submit(nowMs(), preconditions, changes, callback);
        sendDue();
    }

    /**
     * Sends the due attempts to the leader, and schedules itself again while writes are unanswered.
     */
    private void sendDue() {
        if (status.isClosed()) {
            return;
        }
        for (ForwardedWrites.Attempt attempt : writes.dueAttempts(nowMs())) {
            if (status.isWriter()) {
                // Not write(): it turns NotLeader into Rejected, which would be wrong if an
                // earlier attempt is in another node's log.
                proposer.propose(attempt.command(), result -> onResult(attempt, result));
            } else if (!status.isFrozen() && raft.leader() != null && !raft.leader().equals(node)) {
                forward(attempt, raft.leader());
            }
        }
        if (!pollScheduled && !writes.isIdle()) {
            pollScheduled = true;
            loop.schedule(
                    POLL_INTERVAL_MS,
                    () -> {
                        pollScheduled = false;
                        sendDue();
                    });
        }
    }

    private void forward(ForwardedWrites.Attempt attempt, String leader) {
        long id = nextId++;
        attemptsById.values().removeIf(earlier -> earlier.slot() == attempt.slot());
        attemptsById.put(id, attempt);
        byte[] command = KeyValueCodec.encode(attempt.command());
        connections.send(leader, new PeerMessage.Forward(node, leader, id, command));
    }

    /** Handles the leader's result of a forwarded write. */
    void onForwarded(PeerMessage.Forwarded message) {
        ForwardedWrites.Attempt attempt = attemptsById.remove(message.id());
        if (attempt != null) {
            onResult(attempt, message.result());
        }
    }

    private void onResult(ForwardedWrites.Attempt attempt, StoreNode.Result result) {
        writes.onResult(attempt, result);
        sendDue();
    }
}
