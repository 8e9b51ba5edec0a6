package reeldeal.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the current term and vote, the disk requests that make them and the log durable, and the
 * messages that must not be sent before such a request completes.
 */
final class DurableState {
    private record HeldMessage(long request, Message message) {}

    private record PendingFlush(long request, long lastIndex, long lastTerm) {}

    private final RaftLog log;
    private final RaftRules rules;
    private final Outbox outbox;
    private long term;
    private String vote;
    private boolean unsaved;
    private long lastRequest;
    private long lastCompleted;
    private final List<Message> unassigned = new ArrayList<>();
    private final ArrayDeque<HeldMessage> held = new ArrayDeque<>();
    private final ArrayDeque<PendingFlush> flushes = new ArrayDeque<>();

    DurableState(RaftNode.PersistentState disk, RaftLog log, RaftRules rules, Outbox outbox) {
        this.log = log;
        this.rules = rules;
        this.outbox = outbox;
        this.term = disk.term();
        this.vote = disk.vote();
    }

    long term() {
        return term;
    }

    /** Returns the node that this node voted for in the current term, or null. */
    String vote() {
        return vote;
    }

    /**
     * Begins a later term. {@code newVote} is this node's vote in it, or null if it has not voted
     * yet.
     */
    void beginTerm(long newTerm, String newVote) {
        term = newTerm;
        vote = newVote;
        unsaved = true;
    }

    void voteFor(String candidate) {
        unsaved |= vote == null;
        vote = candidate;
    }

    /** Sends a message once all changes made before this call are on disk. */
    void sendWhenDurable(Message message) {
        if (rules.mustWaitForDisk(message)) {
            unassigned.add(message);
        } else {
            outbox.send(message);
        }
    }

    /**
     * Whether a vote, for this node itself or for another one, or a vote request is waiting for the
     * disk.
     */
    boolean hasVoteInFlight() {
        for (HeldMessage each : held) {
            if (each.message() instanceof Message.VoteResponse
                    || each.message() instanceof Message.VoteRequest) {
                return true;
            }
        }
        return false;
    }

    /**
     * Issues one disk request for all unsaved changes, and assigns the waiting messages to the
     * latest request. Returns false if there were neither changes nor messages.
     */
    boolean requestFlush() {
        boolean changed = unsaved || log.hasUnsaved();
        if (!changed && unassigned.isEmpty()) {
            return false;
        }
        if (changed) {
            lastRequest++;
            outbox.persist(log.takeUnsaved(lastRequest, term, vote));
            flushes.add(new PendingFlush(lastRequest, log.lastIndex(), log.lastTerm()));
            unsaved = false;
        }
        for (Message message : unassigned) {
            held.add(new HeldMessage(lastRequest, message));
        }
        unassigned.clear();
        return true;
    }

    /** Records that the disk has completed this request and all earlier ones. */
    void persisted(long request) {
        lastCompleted = Math.max(lastCompleted, request);
        while (!flushes.isEmpty() && flushes.peek().request() <= lastCompleted) {
            PendingFlush flush = flushes.poll();
            log.markDurable(flush.lastIndex(), flush.lastTerm());
        }
    }

    /** Removes and returns the next message whose disk request is complete, or returns null. */
    Message pollReleased() {
        return held.isEmpty() || held.peek().request() > lastCompleted
                ? null
                : held.poll().message();
    }
}
