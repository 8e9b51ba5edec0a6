package reeldeal.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reeldeal.consensus.RaftNode;

/**
 * Submits writes from any node: by this node if it leads, else by way of the leader. Belongs to the
 * event loop.
 */
final class WriteForwarder {
    private static final int RETRY_INTERVAL_MS = 50;

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
    private boolean retryScheduled;

    WriteForwarder(
            NodeIdentity identity,
            RaftNode raft,
            StoreStatus status,
            WriteProposer proposer,
            PeerConnections connections,
            StoreLoop loop) {
        this.node = identity.node();
        this.session = identity.session();
        this.raft = raft;
        this.status = status;
        this.proposer = proposer;
        this.connections = connections;
        this.loop = loop;
        this.writes = new ForwardedWrites(session, ForwardedWrites.Limits.DEFAULT);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Accepts a write; the callback is called once, possibly before this returns. */
    void submit(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<StoreNode.Result> callback) {
        // The size with the longest name of a session that the write may get.
        KeyValueState.Command largest =
                new KeyValueState.Command(session + ":00", 0, preconditions, changes);
        if (WriteProposer.isTooLarge(KeyValueCodec.encode(largest))) {
            callback.accept(new StoreNode.Rejected("the write is too large"));
            return;
        }
        writes.submit(nowMs(), preconditions, changes, callback);
        sendDue();
    }

    /** Sends the attempts that are due to the leader, and looks again while any write waits. */
    private void sendDue() {
        if (status.isClosed()) {
            return;
        }
        for (ForwardedWrites.Attempt attempt : writes.dueAttempts(nowMs())) {
            if (status.isWriter()) {
                // A rejection here may follow an earlier attempt that is in another node's log.
                proposer.propose(attempt.command(), result -> onResult(attempt, result));
            } else if (raft.leader() != null && !raft.leader().equals(node)) {
                forward(attempt, raft.leader());
            }
        }
        if (!retryScheduled && !writes.isIdle()) {
            retryScheduled = true;
            loop.schedule(
                    RETRY_INTERVAL_MS,
                    () -> {
                        retryScheduled = false;
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

    /** Takes the leader's result of a forwarded write. */
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
