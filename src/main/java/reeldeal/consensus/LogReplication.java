package reeldeal.consensus;

import java.util.List;

/**
 * Replicates a leader's log to its followers and, on a follower, stores the entries that a leader
 * sends.
 */
final class LogReplication {
    private final RaftContext context;
    private final RaftLog log;
    private final ProgressTracker tracker;
    private final Heartbeats heartbeats;
    private final SnapshotTransfer snapshots;
    private long leaderCommitIndex = Long.MAX_VALUE;

    LogReplication(
            RaftContext context,
            ProgressTracker tracker,
            Heartbeats heartbeats,
            SnapshotTransfer snapshots) {
        this.context = context;
        this.log = context.log();
        this.tracker = tracker;
        this.heartbeats = heartbeats;
        this.snapshots = snapshots;
    }

    // ---- leader ----

    /**
     * Appends an entry of the current term and returns its index. {@code configuration} is null if
     * the entry does not change the group.
     */
    long append(byte[] data, GroupConfiguration configuration) {
        Entry entry = new Entry(log.lastIndex() + 1, context.term(), data, configuration);
        log.append(entry);
        return entry.index();
    }

    void sendToAll() {
        tracker.forEach(this::send);
    }

    /**
     * Sends a follower the entries that it lacks, as far as its window of unanswered requests
     * allows. Starts a snapshot transfer if the next entry is already compacted.
     */
    void send(String node, PeerProgress peer) {
        if (peer.snapshot != null) {
            return;
        }
        while (peer.maySend(context.settings().window())) {
            long prevLogIndex = peer.nextIndex - 1;
            long prevLogTerm = log.termAt(prevLogIndex);
            if (prevLogTerm < 0) {
                snapshots.start(node, peer);
                return;
            }
            List<Entry> entries =
                    log.entriesFrom(peer.nextIndex, context.settings().messageBytes());
            if (entries.isEmpty()) {
                return;
            }
            context.outbox()
                    .send(
                            new Message.AppendRequest(
                                    context.id(),
                                    node,
                                    context.term(),
                                    prevLogIndex,
                                    prevLogTerm,
                                    entries,
                                    log.commitIndex()));
            peer.onRequestSent(entries.size());
        }
    }

    /**
     * Handles a rejected append request: goes back to an index at which the two logs may match, and
     * sends from there.
     */
    void onRejection(Message.AppendResponse message, PeerProgress peer) {
        if (peer.isStaleRejection(message.index())) {
            return;
        }
        reportLostEntries(message, peer);
        long nextIndex = Math.min(message.index(), message.hintIndex() + 1);
        // The follower's log may have more entries of an old term than the leader's log. Go back to
        // an entry of the leader whose term is not later than that of the hint.
        while (nextIndex - 1 > peer.matchIndex && log.termAt(nextIndex - 1) > message.hintTerm()) {
            nextIndex--;
        }
        peer.probeFrom(Math.max(peer.matchIndex + 1, nextIndex));
        send(message.from(), peer);
    }

    /**
     * Logs once that a follower lacks entries that it has acknowledged: its disk did not keep
     * flushed data, or its data directory was restored from an old copy. Such a node must not go on
     * voting as if nothing had happened.
     */
    private void reportLostEntries(Message.AppendResponse message, PeerProgress peer) {
        if (message.index() == peer.matchIndex
                && message.hintIndex() < peer.matchIndex
                && !peer.lostEntriesReported) {
            peer.lostEntriesReported = true;
            context.outbox()
                    .logLine(
                            message.from()
                                    + " has lost entries that it had acknowledged, up to index "
                                    + peer.matchIndex
                                    + "; remove it from the group and add it again"
                                    + " under a new name");
        }
    }

    /** Records that a follower has the log up to an index on its disk. */
    void onAcknowledgement(Message.AppendResponse message, PeerProgress peer) {
        peer.onAcknowledged(Math.min(message.index(), log.lastIndex()));
    }

    /**
     * Commits the entries that a majority has on disk (thesis, section 3.6). Returns false if the
     * commit index did not advance.
     */
    boolean advanceCommitIndex() {
        GroupConfiguration configuration = context.configuration();
        long index =
                tracker.matchIndexOf(
                        context.rules().commitMajority(configuration),
                        configuration.voters(),
                        log.durableIndex());
        if (index <= log.commitIndex()
                || !context.rules().mayCommit(log.termAt(index), context.term())) {
            return false;
        }
        log.commitTo(index);
        return true;
    }

    /**
     * Notifies a follower of the commit of an entry without waiting for the next regular message.
     */
    void prioritizeCommit(String node, PeerProgress peer, long index) {
        peer.urgentCommitIndex = Math.max(peer.urgentCommitIndex, index);
        sendUrgentCommit(node, peer);
    }

    /**
     * Sends a heartbeat with the commit index if the entry that the follower waits for is committed
     * and in its log.
     */
    void sendUrgentCommit(String node, PeerProgress peer) {
        if (peer.urgentCommitIndex > 0
                && peer.urgentCommitIndex <= Math.min(log.commitIndex(), peer.matchIndex)) {
            peer.urgentCommitIndex = 0;
            heartbeats.send(node, peer);
        }
    }

    /**
     * Retransmits, after a follower has answered a new heartbeat round, messages that may be lost.
     */
    void retransmit(String node, PeerProgress peer) {
        if (peer.snapshot != null) {
            snapshots.sendChunk(node, peer);
        } else {
            peer.probeIfStalled();
            send(node, peer);
        }
    }

    // ---- follower ----

    /** Stores entries that directly follow an entry of this log, and rejects others. */
    void onAppendRequest(Message.AppendRequest message) {
        if (message.prevLogIndex() < log.commitIndex()) {
            context.acknowledge(message.from(), log.commitIndex());
            return;
        }
        if (!context.rules().logMatches(log, message.prevLogIndex(), message.prevLogTerm())) {
            reject(message);
            return;
        }
        long lastIndex = message.prevLogIndex();
        for (Entry entry : message.entries()) {
            lastIndex = entry.index();
            storeEntry(entry);
        }
        context.membership().reloadIfChanged();
        context.acknowledge(message.from(), lastIndex);
        log.commitTo(Math.min(message.leaderCommit(), lastIndex));
    }

    private void storeEntry(Entry entry) {
        if (entry.index() <= log.lastIndex()) {
            if (log.termAt(entry.index()) == entry.term()) {
                return;
            }
            if (entry.index() <= log.commitIndex()) {
                throw new IllegalStateException(
                        context.id()
                                + ": entry "
                                + entry.index()
                                + " is committed, but the leader sent a different one");
            }
            log.truncateFrom(entry.index());
        }
        log.append(entry);
        if (entry.configuration() != null) {
            context.membership().reload();
        }
    }

    /**
     * Rejects an append request with a hint: the last index at which the logs may match, whose term
     * is not later than that of the leader's previous entry (thesis, section 3.5).
     */
    private void reject(Message.AppendRequest message) {
        long hint = Math.min(message.prevLogIndex(), log.lastIndex());
        while (hint > log.snapshotIndex() && log.termAt(hint) > message.prevLogTerm()) {
            hint--;
        }
        context.outbox()
                .send(
                        new Message.AppendResponse(
                                context.id(),
                                message.from(),
                                context.term(),
                                false,
                                message.prevLogIndex(),
                                hint,
                                log.termAt(hint)));
    }

    void onHeartbeat(Message.Heartbeat message) {
        leaderCommitIndex = message.leaderCommit();
        log.commitTo(Math.min(message.commit(), log.lastIndex()));
        context.outbox()
                .send(
                        new Message.HeartbeatResponse(
                                context.id(), message.from(), context.term(), message.round()));
    }

    /**
     * Whether this node has committed every entry that was committed at the leader's last
     * heartbeat.
     */
    boolean hasCaughtUp() {
        return log.commitIndex() >= leaderCommitIndex;
    }

    /**
     * Clears the commit index of the previous leader; this node has not caught up until the next
     * leader sends its own.
     */
    void clearLeaderCommitIndex() {
        leaderCommitIndex = Long.MAX_VALUE;
    }
}
