package reeldeal.faultinjection;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of actions of a scenario: faults and operators' orders. Scenario files and histories
 * contain a kind as its lower-case {@link #key}.
 */
public enum FaultKind {
    /** Kills the process and starts it again after the action's duration. */
    KILL,
    /** Suspends the process for the action's duration. */
    PAUSE,
    /** Cuts all connections between the node and other nodes. */
    CUT,
    /** Cuts the connections to the node; it can still send to the others. */
    DEAFEN,
    /** Sends an operator's order, whose text is the action's target. */
    ORDER,
    /** Asks the process to shut down in an orderly way. */
    TERMINATE,
    /** Starts the process again with a disk that is full. */
    FILL,
    /** Sends a node a DNS update of the zone: {@code NODE add|delete SEARCHER}. */
    ZONE,
    /** Makes a searcher forget the idempotency keys that it has served. */
    FORGET,
    /**
     * Cuts the power of all brokers and searchers, or of those of one zone; they come back in any
     * order.
     */
    POWER,
    /** Cuts the power as {@link #POWER} does, and leaves a torn record at the end of each log. */
    TORN,
    /** Kills the node if it runs, copies its data directory and starts it again. */
    KEEP,
    /** Kills the node if it runs, puts back the copy made by {@link #KEEP} and starts it again. */
    OLDER,
    /** Kills the node if it runs, flips one bit of its log and starts it again. */
    FLIP,
    /** Replaces a node whose data directory cannot be trusted by a spare node. */
    REBUILD,
    /** Sets the node's wall clock ahead from its next start on. */
    AHEAD,
    /** Sets the node's wall clock back from its next start on. */
    BEHIND;

    /** Returns the name of this kind in scenario files and histories. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with a {@link #key}, or empty if there is none. */
    static Optional<FaultKind> ofKey(String key) {
        return Arrays.stream(values()).filter(kind -> kind.key().equals(key)).findFirst();
    }
}
