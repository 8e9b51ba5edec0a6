package reeldeal.fleet.recovery;

import java.util.Set;
import java.util.TreeSet;

/**
 * Detects a data directory that was emptied or restored from a backup, and may therefore lack a
 * vote or a write that the node has acknowledged. The detection has these steps:
 *
 * <ol>
 *   <li>At each start, before its store starts, the node increments a start count in a file of its
 *       data directory. The count includes the current start; the first start is 1.
 *   <li>When the node registers with the fleet, it writes its count into the replicated log. No
 *       other node writes it. The peers thus have the count, committed or not, in their logs.
 *   <li>At the next start the node withholds its votes and asks all other nodes for the highest
 *       count of this node in their logs.
 *   <li>The node begins to ask before it registers the current start. With an intact directory, the
 *       counts that the others know are therefore lower than its own.
 *   <li>If a peer knows a count that is equal or higher, another process of this node has already
 *       registered with that count, and the directory does not contain that start: it was emptied
 *       or restored. The node must then neither vote nor write.
 * </ol>
 *
 * <p>The detector waits for all other voters, but only for a limited time after the first one was
 * heard: a voter that is down, or runs a version that does not answer, must not prevent the others
 * from electing a leader. A later start that only such a voter knows is not detected.
 *
 * <p>Times are ms of the node's steady clock; used on the state loop.
 */
public final class RollbackDetector {
    /** Whether the data directory can be trusted. */
    public enum Verdict {
        /** The answers are not complete yet; the node must not vote. */
        WAIT,
        /** No peer that answered knows a later start; the node may vote. */
        SOUND,
        /** A peer knows a later start; the node must neither vote nor write. */
        ROLLED_BACK
    }

    private static final long NEVER = -1;

    private final long starts;
    private final long maxWaitMs;
    private final Set<String> awaitedVoters;
    private long firstHeardAt = NEVER;
    private long mostStartsKnown = -1;
    private String mostStartsKnownBy;

    /**
     * Creates a detector that has not heard any peer.
     *
     * @param starts the number of starts that the data directory counts, including this one
     * @param otherVoters the voters to wait for
     * @param maxWaitMs the maximum time to wait after the first voter was heard, ms
     */
    public RollbackDetector(long starts, Set<String> otherVoters, long maxWaitMs) {
        this.starts = starts;
        this.maxWaitMs = maxWaitMs;
        awaitedVoters = new TreeSet<>(otherVoters);
    }

    /** Records that another voter was heard, with any message. */
    public void onPeerHeard(long now) {
        if (firstHeardAt < 0) {
            firstHeardAt = now;
        }
    }

    /**
     * Records the number of this node's starts that a peer, voter or learner, knows of; 0 if it has
     * never met this node.
     */
    public void onStartsReported(long now, String peer, long startsKnown) {
        if (awaitedVoters.remove(peer)) {
            onPeerHeard(now);
        }
        if (startsKnown > mostStartsKnown) {
            mostStartsKnown = startsKnown;
            mostStartsKnownBy = peer;
        }
    }

    /**
     * Returns whether this node may vote. ROLLED_BACK is final; the caller acts on the first
     * verdict other than WAIT.
     */
    public Verdict verdict(long now) {
        if (mostStartsKnown >= starts) {
            return Verdict.ROLLED_BACK;
        }
        boolean waitedEnough = firstHeardAt >= 0 && now - firstHeardAt >= maxWaitMs;
        return awaitedVoters.isEmpty() || waitedEnough ? Verdict.SOUND : Verdict.WAIT;
    }

    /** Returns why the data directory is not trusted and what to do about it, for the log. */
    public String reason(String node) {
        return "this folder went back: "
                + mostStartsKnownBy
                + " knows start "
                + mostStartsKnown
                + " of "
                + node
                + ", and this process is start "
                + starts
                + "; the node no longer votes or writes. Rebuild it under a new name:"
                + " docs/operators/store.md";
    }
}
