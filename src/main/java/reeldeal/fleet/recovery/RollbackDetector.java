package reeldeal.fleet.recovery;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides what proves that a data directory was emptied or restored from a backup, and may
 * therefore lack a vote or a write that the node has acknowledged. The proof has these steps:
 *
 * <ol>
 *   <li>At each start, before its store starts, the node increments a start count in a file of its
 *       data directory. The count includes the current start; the first start is 1.
 *   <li>When the node registers with the fleet, it writes its count into the replicated log. No
 *       other node writes it. The peers thus have the count, committed or not, in their logs.
 *   <li>At the next start the node withholds its votes and asks all other nodes for the highest
 *       count of this node in their logs. Once its own copy is current, it reads the count there
 *       too.
 *   <li>The node does not register before all of this has ended, and what it hears later is
 *       ignored. Until then no log can contain the current start, so that with an intact directory
 *       the counts that are known are lower than its own.
 *   <li>If a count is known that is equal or higher, another process of this node has already
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
        /** The answers are not complete yet; the node must neither vote nor register. */
        WAIT,
        /** No peer that answered knows this start or a later one; the node may vote. */
        SOUND,
        /** This start or a later one is known; the node must neither vote nor write. */
        ROLLED_BACK
    }

    private static final long NEVER = -1;

    private final long starts;
    private final long maxWaitMs;
    private final Set<String> answered = new HashSet<>();
    private Set<String> otherVoters;
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
        this.otherVoters = Set.copyOf(otherVoters);
    }

    /**
     * Changes the voters to wait for, when the group's configuration has changed since the one in
     * the data directory.
     */
    public void setOtherVoters(Set<String> newVoters) {
        otherVoters = Set.copyOf(newVoters);
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
        answered.add(peer);
        if (otherVoters.contains(peer)) {
            onPeerHeard(now);
        }
        recordStartsKnown(peer, startsKnown);
    }

    /** Records the number of this node's starts in its own copy of the log, which is current. */
    public void onOwnCopyRead(long startsKnown) {
        recordStartsKnown("the group", startsKnown);
    }

    private void recordStartsKnown(String by, long startsKnown) {
        if (startsKnown > mostStartsKnown) {
            mostStartsKnown = startsKnown;
            mostStartsKnownBy = by;
        }
    }

    /** Returns whether this node may vote. ROLLED_BACK is final. */
    public Verdict verdict(long now) {
        if (mostStartsKnown >= starts) {
            return Verdict.ROLLED_BACK;
        }
        boolean waitedEnough = firstHeardAt >= 0 && now - firstHeardAt >= maxWaitMs;
        return answered.containsAll(otherVoters) || waitedEnough ? Verdict.SOUND : Verdict.WAIT;
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
