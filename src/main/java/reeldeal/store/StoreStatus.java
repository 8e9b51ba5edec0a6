package reeldeal.store;

import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.RaftNode;

/**
 * The status of a node: whether it accepts writes, is current, or has stopped taking part in the
 * group. Belongs to the event loop.
 */
final class StoreStatus {
    private final List<Runnable> leadingListeners = new ArrayList<>();
    private final List<Runnable> currentListeners = new ArrayList<>();
    private boolean writer;
    private boolean current;
    private boolean hasBeenCurrent;
    private boolean halted;
    private boolean closed;

    /** The transitions that an update caused. */
    record Transition(boolean becameCurrent, boolean becameWriter) {}

    boolean isWriter() {
        return writer;
    }

    boolean isCurrent() {
        return current;
    }

    boolean hasBeenCurrent() {
        return hasBeenCurrent;
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether the node still takes part in the group: it has neither halted nor closed. */
    boolean isActive() {
        return !closed && !halted;
    }

    void whenLeading(Runnable listener) {
        leadingListeners.add(listener);
        if (writer) {
            listener.run();
        }
    }

    void whenCurrent(Runnable listener) {
        currentListeners.add(listener);
    }

    /**
     * Stops taking part in the group for good, while reads are still served from the present state;
     * returns false if the node had stopped before.
     */
    boolean halt() {
        if (!isActive()) {
            return false;
        }
        halted = true;
        stopServing();
        return true;
    }

    /** Marks the node as neither accepting writes nor current. */
    void stopServing() {
        writer = false;
        current = false;
    }

    void close() {
        closed = true;
        writer = false;
    }

    /**
     * Updates the status from the consensus state.
     *
     * @param applied whether all committed entries have been applied
     */
    Transition update(RaftNode raft, boolean applied) {
        boolean leads = raft.role() == RaftNode.Role.LEADER;
        boolean mayWrite = leads && raft.hasCommittedAsLeader() && applied;
        boolean becameWriter = mayWrite && !writer;
        writer = leads && (writer || mayWrite);
        boolean isCurrentNow = raft.isCurrent() && (writer || applied);
        boolean becameCurrent = isCurrentNow && !current;
        current = isCurrentNow;
        hasBeenCurrent |= isCurrentNow;
        return new Transition(becameCurrent, becameWriter);
    }

    void notifyCurrent() {
        currentListeners.forEach(Runnable::run);
    }

    void notifyLeading() {
        leadingListeners.forEach(Runnable::run);
    }
}
