package reeldeal.store;

import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.RaftNode;

/**
 * The status of a node: whether it accepts writes, is current, or has stopped taking part in the
 * group. Belongs to the event loop.
 *
 * <p>A node's copy of the state is <em>frozen</em> once it will never follow the group's log again
 * in this process: the node has halted, because its data directory was rolled back or failed, or it
 * met an entry that this program cannot read. What a frozen copy may still do:
 *
 * <ul>
 *   <li>answer operators' requests to this node, and be written to a backup;
 *   <li>if the node has not halted, vote and store the log, which others may need to commit.
 * </ul>
 *
 * <p>It does nothing else, because it would act on what the group has changed since: it proposes
 * and forwards no write, exchanges no messages with other nodes, is not served as a stale copy,
 * answers no DNS message with data, and its broker renews no lease, accepts no request and soon
 * sends nothing. All of these ask {@link #isFrozen} or listen to {@link #whenFrozen}.
 */
final class StoreStatus {
    private final List<Runnable> leadingListeners = new ArrayList<>();
    private final List<Runnable> currentListeners = new ArrayList<>();
    private final List<Runnable> frozenListeners = new ArrayList<>();
    private boolean writer;
    private boolean current;
    private boolean hasBeenCurrent;
    private boolean halted;
    private boolean frozen;
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

    /** Whether the copy will never follow the group's log again in this process. */
    boolean isFrozen() {
        return frozen;
    }

    /** Runs a listener once the copy is frozen, immediately if it is already. */
    void whenFrozen(Runnable listener) {
        if (frozen) {
            listener.run();
        } else {
            frozenListeners.add(listener);
        }
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
     * Stops taking part in the group for good, and freezes the copy; returns false if the node had
     * stopped before.
     */
    boolean halt() {
        if (!isActive()) {
            return false;
        }
        halted = true;
        freeze();
        return true;
    }

    /** Freezes the copy: the node neither accepts writes nor is current from now on. */
    void freeze() {
        writer = false;
        current = false;
        if (!frozen) {
            frozen = true;
            List.copyOf(frozenListeners).forEach(Runnable::run);
        }
    }

    void close() {
        closed = true;
        writer = false;
    }

    /**
     * Updates the status from the consensus state; that of a frozen copy no longer changes.
     *
     * @param applied whether all committed entries have been applied
     */
    Transition update(RaftNode raft, boolean applied) {
        if (frozen) {
            return new Transition(false, false);
        }
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
