package reeldeal.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the current term and vote, the disk requests that make them and the log durable, and the
 * messages that must not be sent before such a request completes.
 */
final class DurableState {
    private record HeldMessage(long requestNumber, Message message) {}

    private record PendingFlush(long requestNumber, long lastIndex, long lastTerm) {}

    private final RaftLog log;
    private final RaftRules rules;
    private final Outbox outbox;
    private long term;
    private String vote;
    private boolean termOrVoteUnsaved;
    private long lastRequestNumber;
    private long lastCompletedRequest;
    private final List<Message> unassignedMessages = new ArrayList<>();
    private final ArrayDeque<HeldMessage> heldMessages = new ArrayDeque<>();
    private final ArrayDeque<PendingFlush> pendingFlushes = new ArrayDeque<>();

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
        termOrVoteUnsaved = true;
    }

    void voteFor(String candidate) {
        termOrVoteUnsaved |= vote == null;
        vote = candidate;
    }

    /** Sends a message once all changes made before this call are on disk. */
    void sendWhenDurable(Message message) {
        if (rules.mustWaitForDisk(message)) {
            unassignedMessages.add(message);
        } else {
            outbox.send(message);
        }
    }

    /**
     * Whether a vote, for this node itself or for another one, or a vote request is waiting for the
     * disk.
     */
    boolean hasVoteInFlight() {
        for (HeldMessage heldMessage : heldMessages) {
            if (heldMessage.message() instanceof Message.VoteResponse
                    || heldMessage.message() instanceof Message.VoteRequest) {
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
        boolean changed = termOrVoteUnsaved || log.hasUnsaved();
        if (!changed && unassignedMessages.isEmpty()) {
            return false;
        }
        if (changed) {
            lastRequestNumber++;
            outbox.persist(log.takeUnsaved(lastRequestNumber, term, vote));
            pendingFlushes.add(
                    new PendingFlush(lastRequestNumber, log.lastIndex(), log.lastTerm()));
            termOrVoteUnsaved = false;
        }
        for (Message message : unassignedMessages) {
            heldMessages.add(new HeldMessage(lastRequestNumber, message));
        }
        unassignedMessages.clear();
        return true;
    }

    /** Records that the disk has completed this request and all earlier ones. */
    void onPersisted(long requestNumber) {
        lastCompletedRequest = Math.max(lastCompletedRequest, requestNumber);
        while (!pendingFlushes.isEmpty()
                && pendingFlushes.peek().requestNumber() <= lastCompletedRequest) {
            PendingFlush flush = pendingFlushes.poll();
            log.markDurable(flush.lastIndex(), flush.lastTerm());
        }
    }

    /** Removes and returns the next message whose disk request is complete, or returns null. */
    Message pollDurableMessage() {
        return heldMessages.isEmpty() || heldMessages.peek().requestNumber() > lastCompletedRequest
                ? null
                : heldMessages.poll().message();
    }
}
