package reeldeal.consensus;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;

/**
 * Holds a node's role, its election timer and the votes it has received. An election is preceded by
 * a pre-vote, which does not use up the voters' vote of a term (thesis, section 9.6).
 */
final class Election {
    /** The event that a tick of the election timer triggered. */
    enum TimerEvent {
        NONE,
        ELECTION_TIMEOUT,
        QUORUM_CHECK
    }

    /** The state of a pre-vote or an election after a vote was counted. */
    enum VoteOutcome {
        OPEN,
        WON,
        LOST
    }

    private final RaftContext context;
    private final IntUnaryOperator random;
    private final Map<String, Boolean> votes = new TreeMap<>();
    private RaftNode.Role role = RaftNode.Role.FOLLOWER;
    private String leader;
    private int elapsedTicks;
    private int timeoutTicks;
    private int ticksSinceLeader;

    /** Creates a follower; {@code random} returns a number from 0 to below its argument. */
    Election(RaftContext context, IntUnaryOperator random) {
        this.context = context;
        this.random = random;
        drawTimeout();
    }

    RaftNode.Role role() {
        return role;
    }

    boolean isLeader() {
        return role == RaftNode.Role.LEADER;
    }

    /** Returns the leader of the current term, or null if this node does not know of one. */
    String leader() {
        return leader;
    }

    /**
     * Counts one tick. The timer pauses while a vote is being written to disk: if a disk write
     * takes as long as the election timeout, a candidate would otherwise give up before its own
     * vote is durable, and a voter would start an election against the candidate that it is voting
     * for.
     */
    TimerEvent tick() {
        elapsedTicks += !isLeader() && context.durable().hasVoteInFlight() ? 0 : 1;
        ticksSinceLeader++;
        if (elapsedTicks < (isLeader() ? context.settings().electionTicks() : timeoutTicks)) {
            return TimerEvent.NONE;
        }
        elapsedTicks = 0;
        if (isLeader()) {
            return TimerEvent.QUORUM_CHECK;
        }
        drawTimeout();
        return context.isVoter() ? TimerEvent.ELECTION_TIMEOUT : TimerEvent.NONE;
    }

    void resetTimer() {
        elapsedTicks = 0;
    }

    private void drawTimeout() {
        int electionTicks = context.settings().electionTicks();
        timeoutTicks = electionTicks + random.applyAsInt(electionTicks);
    }

    /**
     * Becomes a follower in the current term or a later one. {@code newLeader} is null if the
     * leader is not known yet.
     */
    void becomeFollower(long term, String newLeader) {
        if (term > context.term()) {
            context.durable().beginTerm(term, null);
        }
        role = RaftNode.Role.FOLLOWER;
        leader = newLeader;
        elapsedTicks = 0;
        drawTimeout();
        votes.clear();
    }

    void becomeLeader() {
        role = RaftNode.Role.LEADER;
        leader = context.id();
        elapsedTicks = 0;
    }

    /** Records that a message from the current term's leader was received. */
    void onLeaderMessage(String node) {
        leader = node;
        elapsedTicks = 0;
        ticksSinceLeader = 0;
    }

    /**
     * Asks the voters whether this node could win an election, so that a node that was partitioned
     * from the group does not disrupt it by raising the term.
     */
    VoteOutcome startPreVote() {
        votes.clear();
        leader = null;
        role = RaftNode.Role.PRE_CANDIDATE;
        requestVotes(context.term() + 1, true, false);
        return countVote(context.id(), true);
    }

    /**
     * Begins a new term as a candidate. {@code transfer} is true if the leader requested this
     * election to transfer its leadership.
     */
    void startElection(boolean transfer) {
        votes.clear();
        leader = null;
        role = RaftNode.Role.CANDIDATE;
        String id = context.id();
        context.durable().beginTerm(context.term() + 1, id);
        requestVotes(context.term(), false, transfer);
        // This node's own vote counts once it is on disk, like the votes of other nodes.
        context.durable()
                .sendWhenDurable(new Message.VoteResponse(id, id, context.term(), false, true));
    }

    private void requestVotes(long term, boolean preVote, boolean transfer) {
        RaftLog log = context.log();
        for (String voter : context.configuration().voters()) {
            if (voter.equals(context.id())) {
                continue;
            }
            Message.VoteRequest request =
                    new Message.VoteRequest(
                            context.id(),
                            voter,
                            term,
                            log.lastIndex(),
                            log.lastTerm(),
                            preVote,
                            transfer);
            if (preVote) {
                context.outbox().send(request);
            } else {
                context.durable().sendWhenDurable(request);
            }
        }
    }

    /**
     * Counts a response to a pre-vote or vote request, and ignores a response to a phase that has
     * ended.
     */
    VoteOutcome onVoteResponse(Message.VoteResponse message) {
        RaftNode.Role phase =
                message.preVote() ? RaftNode.Role.PRE_CANDIDATE : RaftNode.Role.CANDIDATE;
        return role == phase ? countVote(message.from(), message.granted()) : VoteOutcome.OPEN;
    }

    private VoteOutcome countVote(String voter, boolean granted) {
        votes.putIfAbsent(voter, granted);
        GroupConfiguration configuration = context.configuration();
        long grants =
                configuration.voters().stream().filter(v -> votes.getOrDefault(v, false)).count();
        if (grants >= context.rules().electionMajority(configuration)) {
            return VoteOutcome.WON;
        }
        long rejections =
                configuration.voters().stream().filter(v -> !votes.getOrDefault(v, true)).count();
        return rejections >= configuration.majority() ? VoteOutcome.LOST : VoteOutcome.OPEN;
    }

    void onVoteRequest(Message.VoteRequest message) {
        boolean upToDate =
                context.rules()
                        .isUpToDate(context.log(), message.lastLogIndex(), message.lastLogTerm());
        if (message.preVote()) {
            answerPreVote(message, upToDate);
        } else {
            answerVote(message, upToDate);
        }
    }

    private void answerPreVote(Message.VoteRequest message, boolean upToDate) {
        boolean granted = message.term() > context.term() && upToDate;
        long term = granted ? message.term() : context.term();
        context.outbox()
                .send(new Message.VoteResponse(context.id(), message.from(), term, true, granted));
    }

    private void answerVote(Message.VoteRequest message, boolean upToDate) {
        DurableState durable = context.durable();
        boolean granted = context.rules().mayVoteFor(durable.vote(), message.from()) && upToDate;
        Message.VoteResponse response =
                new Message.VoteResponse(
                        context.id(), message.from(), context.term(), false, granted);
        if (granted) {
            durable.voteFor(message.from());
            elapsedTicks = 0;
            durable.sendWhenDurable(response);
        } else {
            context.outbox().send(response);
        }
    }

    /**
     * Whether a message is a pre-vote request or a granted pre-vote. Their term has not begun, so
     * it must not replace the receiver's.
     */
    static boolean isPreVote(Message message) {
        return (message instanceof Message.VoteRequest request && request.preVote())
                || (message instanceof Message.VoteResponse response
                        && response.preVote()
                        && response.granted());
    }

    /**
     * Whether a message is a vote request that must be ignored so that it does not disrupt a live
     * leader. Requests for an election that the leader itself asked for are not ignored.
     */
    boolean mustIgnore(Message message, long ticksSinceStart) {
        return message instanceof Message.VoteRequest request
                && !request.leadershipTransfer()
                && hasLiveLeader(ticksSinceStart);
    }

    /**
     * Whether this node leads, or received a message from a leader so recently that it grants no
     * vote (thesis, section 4.2.3). With leases, a heartbeat that this node answered before a
     * restart counts too, because the leader may still hold a lease that relies on it. A node does
     * not know this after a restart, so with leases it grants no votes for one election timeout
     * after its start.
     */
    private boolean hasLiveLeader(long ticksSinceStart) {
        int electionTicks = context.settings().electionTicks();
        boolean mayHaveConfirmedLease =
                context.settings().leaseTicks() > 0 && ticksSinceStart < electionTicks;
        return isLeader()
                || ((leader != null || mayHaveConfirmedLease) && ticksSinceLeader < electionTicks);
    }
}
