package reeldeal.consensus;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Serves linearizable reads on a leader. Each read takes the commit index, and is answered once a
 * majority has acknowledged a heartbeat sent after the read arrived, or at once while the leader
 * holds a lease (thesis, section 6.4).
 */
final class ReadIndex {
    private record PendingRead(long id, long round, long index) {}

    private final RaftContext context;
    private final ProgressTracker tracker;
    private final Heartbeats heartbeats;
    private final LeadershipTransfer transfer;
    private final ArrayDeque<PendingRead> pending = new ArrayDeque<>();
    private final Map<Long, Long> roundStartTicks = new TreeMap<>();
    private long leaseUntilTick;

    ReadIndex(
            RaftContext context,
            ProgressTracker tracker,
            Heartbeats heartbeats,
            LeadershipTransfer transfer) {
        this.context = context;
        this.tracker = tracker;
        this.heartbeats = heartbeats;
        this.transfer = transfer;
    }

    /**
     * Accepts a read that arrived at a tick; fails it if no entry of the current term is committed
     * yet.
     */
    void read(long id, long tick) {
        long commitIndex = context.log().commitIndex();
        if (!context.rules().mayRead(context.committedInCurrentTerm())) {
            context.outbox().readFailed(id);
        } else if (leasesEnabled() && tick < leaseUntilTick) {
            context.outbox().readReady(id, commitIndex);
        } else {
            startRound(tick);
            pending.add(new PendingRead(id, heartbeats.round(), commitIndex));
            confirmReads();
        }
    }

    /**
     * Sends a round of heartbeats at a tick. If a majority acknowledges the round, the lease runs
     * from that tick.
     */
    void startRound(long tick) {
        heartbeats.startRound();
        roundStartTicks.put(heartbeats.round(), tick);
    }

    /**
     * Answers the reads that wait for a round that a majority has acknowledged, and extends the
     * lease.
     */
    void confirmReads() {
        GroupConfiguration configuration = context.configuration();
        long confirmedRound =
                tracker.roundAcknowledgedBy(
                        context.rules().readMajority(configuration),
                        configuration.voters(),
                        heartbeats.round());
        for (Iterator<PendingRead> iterator = pending.iterator(); iterator.hasNext(); ) {
            PendingRead read = iterator.next();
            if (read.round() <= confirmedRound) {
                context.outbox().readReady(read.id(), read.index());
                iterator.remove();
            }
        }
        Long startTick = roundStartTicks.get(confirmedRound);
        if (startTick != null && leasesEnabled() && !transfer.isActive()) {
            leaseUntilTick = Math.max(leaseUntilTick, startTick + context.settings().leaseTicks());
        }
        roundStartTicks.keySet().removeIf(round -> round < confirmedRound);
    }

    private boolean leasesEnabled() {
        return context.settings().leaseTicks() > 0;
    }

    /** Ends the lease early, because another node may be elected before it expires. */
    void revokeLease() {
        leaseUntilTick = 0;
    }

    /** Fails all pending reads, because this node is no longer the leader. */
    void failAll() {
        pending.forEach(read -> context.outbox().readFailed(read.id()));
        pending.clear();
        roundStartTicks.clear();
        revokeLease();
    }
}
