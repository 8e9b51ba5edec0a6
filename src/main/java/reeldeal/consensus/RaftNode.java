package reeldeal.consensus;

import java.util.List;
import java.util.function.IntUnaryOperator;

/**
 * One node of a Raft group. This class dispatches the inputs and carries out role changes; the
 * classes that it delegates to own the state.
 *
 * <p>docs/design/store.md describes the differences from the publications and their reasons. In
 * short: an election is preceded by a pre-vote (thesis, section 9.6). A leader that receives no
 * messages from a majority steps down, and a node that receives messages from a leader grants no
 * votes (section 6.2). The members change by one voter at a time (section 4.1), and not before the
 * leader has committed an entry of its own term. A read takes the commit index, and is answered
 * once a majority has acknowledged a heartbeat sent after the read arrived (section 6.4). Disks may
 * be slow, so a message whose content must survive a crash of its sender is held back until the
 * disk request issued before it is complete.
 *
 * <p>Not thread-safe: one thread makes all calls. After each input the caller fetches the output
 * with {@link #takeReady} and carries it out.
 */
public final class RaftNode {

    /** The role of a node in the current term. */
    public enum Role {
        /** Follows the leader, or waits for an election. */
        FOLLOWER,
        /** Asks the voters whether it could win an election. */
        PRE_CANDIDATE,
        /** Requests votes. */
        CANDIDATE,
        /** Won the election of the current term. */
        LEADER
    }

    /**
     * The state that a node reads from its disk at its start.
     *
     * @param term the current term
     * @param vote the vote in that term, or null
     * @param snapshot the latest snapshot; on a new node, a snapshot of index 0 without data
     * @param entries the entries after the snapshot, in order
     */
    public record PersistentState(long term, String vote, Snapshot snapshot, List<Entry> entries) {
        /** Returns the state of a new node in a group with this initial configuration. */
        public static PersistentState fresh(GroupConfiguration configuration) {
            return new PersistentState(
                    0, null, new Snapshot(0, 0, configuration, new byte[0]), List.of());
        }
    }

    /**
     * The progress of a member as recorded by the leader.
     *
     * @param reachable whether the leader received a message from it within {@code electionTicks}
     * @param entriesBehind how many of the leader's entries the member has not acknowledged
     */
    public record NodeProgress(boolean reachable, long entriesBehind) {}

    private final RaftContext context;
    private final RaftLog log;
    private final Outbox outbox = new Outbox();
    private final DurableState durable;
    private final MembershipChange membership;
    private final ProgressTracker tracker;
    private final Election election;
    private final Heartbeats heartbeats;
    private final SnapshotTransfer snapshots;
    private final LogReplication replication;
    private final LeadershipTransfer transfer;
    private final ReadIndex reads;
    private long ticks;

    /** Starts a node from its state on disk; {@code random} returns a number below its argument. */
    public RaftNode(
            String id, RaftSettings settings, PersistentState disk, IntUnaryOperator random) {
        this(id, settings, disk, random, new RaftRules());
    }

    /** Starts a node with other safety rules, for tests. */
    RaftNode(
            String id,
            RaftSettings settings,
            PersistentState disk,
            IntUnaryOperator random,
            RaftRules rules) {
        log = new RaftLog(disk.snapshot(), disk.entries(), outbox);
        durable = new DurableState(disk, log, rules, outbox);
        membership = new MembershipChange(log, rules);
        context = new RaftContext(id, settings, rules, durable, log, membership, outbox);
        tracker = new ProgressTracker(id);
        election = new Election(context, random);
        heartbeats = new Heartbeats(context, tracker);
        snapshots = new SnapshotTransfer(context);
        replication = new LogReplication(context, tracker, heartbeats, snapshots);
        transfer = new LeadershipTransfer(context);
        reads = new ReadIndex(context, tracker, heartbeats, transfer);
    }

    /** Returns the role of this node. */
    public Role role() {
        return election.role();
    }

    /** Returns the current term. */
    public long term() {
        return durable.term();
    }

    /** Returns the leader of the current term, or null if this node does not know of one. */
    public String leader() {
        return election.leader();
    }

    /** Returns the last index that this node knows to be committed. */
    public long commitIndex() {
        return log.commitIndex();
    }

    /** Returns the index of the last entry, committed or not. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the last index that the latest snapshot includes. */
    public long snapshotIndex() {
        return log.snapshotIndex();
    }

    /** Returns the latest configuration in the log, committed or not. */
    public GroupConfiguration configuration() {
        return membership.configuration();
    }

    /** Returns the term of an entry, or -1 if this node does not have the entry. */
    public long termAt(long index) {
        return log.termAt(index);
    }

    /** Returns the progress of a member; unless this node leads, every member is unreachable. */
    public NodeProgress progressOf(String node) {
        if (election.isLeader() && node.equals(context.id())) {
            return new NodeProgress(true, log.lastIndex() - log.durableIndex());
        }
        PeerProgress peer = followerOf(node);
        return peer == null
                ? new NodeProgress(false, Long.MAX_VALUE)
                : new NodeProgress(
                        ticks - peer.lastMessageTick <= context.settings().electionTicks(),
                        log.lastIndex() - peer.matchIndex);
    }

    /** Returns a follower's progress, or null if this node does not lead or lacks that follower. */
    private PeerProgress followerOf(String node) {
        return election.isLeader() ? tracker.progressOf(node) : null;
    }

    /** Whether the latest configuration is committed. */
    public boolean isConfigurationCommitted() {
        return membership.isCommitted();
    }

    /** Returns all entries after an index that are in this node's log, committed or not. */
    public List<Entry> entriesAfter(long index) {
        return log.entriesFrom(Math.max(index, log.snapshotIndex()) + 1, Integer.MAX_VALUE);
    }

    /** Returns the index of the last entry on this node's disk. */
    public long durableIndex() {
        return log.durableIndex();
    }

    /** Whether this node leads and has committed all entries committed in earlier terms. */
    public boolean hasCommittedAsLeader() {
        return election.isLeader() && context.committedInCurrentTerm();
    }

    /** Whether this node has committed all entries that were committed at the last heartbeat. */
    public boolean isCurrent() {
        return election.isLeader()
                ? context.committedInCurrentTerm()
                : election.leader() != null && replication.hasCaughtUp();
    }

    /** Returns the output since the last call. */
    public Ready takeReady() {
        while (durable.requestFlush()) {
            releaseDurableMessages();
        }
        return outbox.take();
    }

    /** Starts a pre-vote without an election timeout; for a node that is its group's only voter. */
    public void campaignNow() {
        if (role() == Role.FOLLOWER && context.isVoter()) {
            onVoteOutcome(election.startPreVote());
        }
    }

    /** Advances the time by one tick. */
    public void tick() {
        ticks++;
        switch (election.tick()) {
            case ELECTION_TIMEOUT -> {
                onVoteOutcome(election.startPreVote());
                return;
            }
            case QUORUM_CHECK -> checkQuorum();
            default -> {}
        }
        if (election.isLeader() && heartbeats.tick()) {
            reads.startRound(ticks);
        }
    }

    /** Reports that a disk request and all earlier ones are complete. */
    public void persisted(long requestNumber) {
        durable.onPersisted(requestNumber);
        releaseDurableMessages();
        if (election.isLeader()) {
            advanceCommitIndex();
        }
    }

    private void releaseDurableMessages() {
        Message message;
        while ((message = durable.pollDurableMessage()) != null) {
            if (message.to().equals(context.id())) {
                receive(message);
            } else if (message.term() >= term() || !(message instanceof Message.VoteRequest)) {
                outbox.send(message);
            }
        }
    }

    /**
     * Proposes an entry and returns its index, or -1 if this node is not the leader or is
     * transferring its leadership. The entry is committed once the output contains a committed
     * entry of this index and the current term.
     */
    public long propose(byte[] data) {
        if (!acceptsProposals()) {
            return -1;
        }
        long index = replication.append(data, null);
        replication.sendToAll();
        return index;
    }

    private boolean acceptsProposals() {
        return election.isLeader() && !transfer.isActive();
    }

    /** Proposes a configuration; returns the entry's index, or -1 after logging the reason. */
    public long changeConfiguration(GroupConfiguration proposed) {
        if (!acceptsProposals()) {
            outbox.logLine("members not changed: this node does not lead or transfers leadership");
            return -1;
        }
        if (!membership.mayChangeTo(proposed, context.committedInCurrentTerm())) {
            outbox.logLine(
                    "members not changed: the previous change or an entry of the current term"
                            + " is not committed yet, or the change affects more than one voter");
            return -1;
        }
        long index = replication.append(new byte[0], proposed);
        membership.reload();
        // Sends the last entry to a new member at once, to find the index at which the logs match:
        // the next write may come much later.
        tracker.reconcile(membership.configuration(), log.lastIndex());
        replication.sendToAll();
        return index;
    }

    /** Transfers leadership; returns false if this node does not lead or the target cannot lead. */
    public boolean transferLeadership(String node) {
        if (!election.isLeader()
                || node.equals(context.id())
                || !membership.configuration().voters().contains(node)) {
            return false;
        }
        transfer.start(node);
        election.resetTimer();
        reads.revokeLease();
        PeerProgress peer = tracker.progressOf(node);
        if (!transfer.completeIfCaughtUp(node, peer)) {
            replication.send(node, peer);
        }
        return true;
    }

    /** Requests a read; its number is output with the index to wait for, or as failed. */
    public void read(long readId) {
        if (election.isLeader()) {
            reads.read(readId, ticks);
        } else {
            outbox.readFailed(readId);
        }
    }

    /**
     * Notifies a follower that an entry is committed as soon as the follower has the entry, without
     * waiting for the next regular message. Costs one heartbeat and its response.
     */
    public void prioritizeCommitNotification(String node, long index) {
        PeerProgress peer = followerOf(node);
        if (peer != null) {
            replication.prioritizeCommit(node, peer, index);
        }
    }

    /** Returns the snapshot that {@link #compact} would create at a delivered index. */
    public Snapshot snapshotAt(long index, SnapshotData state) {
        return log.snapshotAt(index, state);
    }

    /** Replaces the entries up to a delivered index by a snapshot of the state after it. */
    public void compact(long index, SnapshotData state) {
        if (log.compact(index, state)) {
            membership.reload();
            tracker.forEach((node, peer) -> snapshots.releaseIfUnreachable(peer, ticks));
        }
    }

    /**
     * Replaces the data of the snapshot at an index by another representation of the same state, so
     * that the earlier one can be freed. Does nothing if the latest snapshot is another one.
     */
    public void replaceSnapshotData(long index, SnapshotData sameState) {
        log.replaceSnapshotData(index, sameState);
    }

    /** Returns the approximate heap size of the log's entries. */
    public LogHeapSize logHeapSize() {
        return new LogHeapSize(log.heapBytes(), log.deliveredHeapBytes());
    }

    /** Processes a message from another member. */
    public void receive(Message message) {
        if (message.term() > term()) {
            if (election.mustIgnore(message, ticks)) {
                return;
            }
            if (!Election.isPreVote(message)) {
                boolean fromLeader = message instanceof Message.LeaderMessage;
                becomeFollower(message.term(), fromLeader ? message.from() : null);
            }
        } else if (message.term() < term() && context.rules().rejectsStaleTerms()) {
            rejectStale(message);
            return;
        }
        dispatch(message);
    }

    /**
     * Drops a message of an earlier term; answers a leader or pre-candidate with the current term.
     */
    private void rejectStale(Message message) {
        String id = context.id();
        if (message instanceof Message.LeaderMessage) {
            outbox.send(new Message.AppendResponse(id, message.from(), term(), false, 0, 0, 0));
        } else if (message instanceof Message.VoteRequest request && request.preVote()) {
            outbox.send(new Message.VoteResponse(id, message.from(), term(), true, false));
        }
    }

    private void dispatch(Message message) {
        if (message instanceof Message.VoteRequest request) {
            election.onVoteRequest(request);
        } else if (message instanceof Message.VoteResponse response) {
            onVoteOutcome(election.onVoteResponse(response));
        } else if (message instanceof Message.TimeoutNow) {
            onTimeoutNow();
        } else if (message instanceof Message.LeaderMessage fromLeader) {
            onLeaderMessage(fromLeader);
        } else if (message instanceof Message.FollowerResponse response) {
            onFollowerResponse(response);
        }
    }

    private void onTimeoutNow() {
        if (!election.isLeader() && context.isVoter()) {
            election.startElection(true);
        }
    }

    private void onLeaderMessage(Message.LeaderMessage message) {
        if (election.isLeader()) {
            return; // cannot happen: a term has only one leader
        }
        if (role() != Role.FOLLOWER) {
            becomeFollower(term(), message.from());
        }
        election.onLeaderMessage(message.from());
        if (message instanceof Message.AppendRequest request) {
            replication.onAppendRequest(request);
        } else if (message instanceof Message.Heartbeat heartbeat) {
            replication.onHeartbeat(heartbeat);
        } else if (message instanceof Message.SnapshotChunk chunk) {
            snapshots.onChunk(chunk);
        }
    }

    private void onFollowerResponse(Message.FollowerResponse message) {
        PeerProgress peer = followerOf(message.from());
        if (peer == null) {
            return;
        }
        peer.onMessage(ticks);
        if (message instanceof Message.AppendResponse response) {
            onAppendResponse(response, peer);
        } else if (message instanceof Message.HeartbeatResponse response) {
            onHeartbeatResponse(response, peer);
        } else if (message instanceof Message.SnapshotChunkResponse response) {
            snapshots.onChunkResponse(response, peer);
        }
    }

    private void onAppendResponse(Message.AppendResponse message, PeerProgress peer) {
        if (!message.success()) {
            replication.onRejection(message, peer);
            return;
        }
        replication.onAcknowledgement(message, peer);
        advanceCommitIndex();
        String node = message.from();
        if (followerOf(node) != null) {
            replication.sendUrgentCommit(node, peer);
            transfer.completeIfCaughtUp(node, peer);
            replication.send(node, peer);
        }
    }

    private void onHeartbeatResponse(Message.HeartbeatResponse message, PeerProgress peer) {
        boolean isNewRound = peer.onHeartbeatAcknowledged(message.round());
        reads.confirmReads();
        // A repeated response does not show that time has passed, so it triggers no retransmission.
        if (isNewRound) {
            replication.retransmit(message.from(), peer);
        }
    }

    private void onVoteOutcome(Election.VoteOutcome outcome) {
        switch (outcome) {
            case WON -> {
                if (role() == Role.PRE_CANDIDATE) {
                    election.startElection(false);
                } else {
                    becomeLeader();
                }
            }
            case LOST -> becomeFollower(term(), null);
            default -> {}
        }
    }

    private void becomeLeader() {
        election.becomeLeader();
        heartbeats.resetTimer();
        tracker.reset(membership.configuration(), log.lastIndex() + 1);
        // Committing this entry commits those of earlier terms with it (thesis, section 3.6.2).
        replication.append(new byte[0], null);
        outbox.logLine(context.id() + " leads, term " + term());
        replication.sendToAll();
    }

    private void becomeFollower(long newTerm, String leader) {
        if (election.isLeader()) {
            outbox.logLine(context.id() + " is no longer the leader, term " + term());
        }
        election.becomeFollower(newTerm, leader);
        replication.clearLeaderCommitIndex();
        transfer.cancel();
        reads.failAll();
    }

    private void checkQuorum() {
        transfer.cancel();
        GroupConfiguration configuration = membership.configuration();
        if (tracker.countAndResetActiveVoters(configuration.voters()) < configuration.majority()) {
            outbox.logLine(
                    context.id() + " lost contact with a majority of the voters and steps down");
            becomeFollower(term(), null);
        }
    }

    private void advanceCommitIndex() {
        if (replication.advanceCommitIndex() && !context.isVoter() && membership.isCommitted()) {
            // This leader was removed from the voters. It steps down now that the change is
            // committed, and another node takes over (thesis, section 4.2.2).
            outbox.logLine(context.id() + " is no longer a voter and steps down");
            heartbeats.sendToAll();
            becomeFollower(term(), null);
        }
    }
}
