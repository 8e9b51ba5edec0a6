package reeldeal.consensus;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Checks Raft's safety properties (thesis, figure 3.2) for all nodes throughout a simulation. */
final class SafetyChecks {

    /** Thrown if a safety property does not hold. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    private record CommittedEntry(long entryTerm, String text) {}

    private final Map<Long, String> leaderByTerm = new TreeMap<>();
    private final Map<Long, CommittedEntry> committed = new TreeMap<>();
    private final Map<Long, Long> commitTermByIndex = new HashMap<>();
    private final Map<Long, Map<String, String>> stateByIndex = new HashMap<>();
    private final Map<String, String> entriesByIndexAndTerm = new HashMap<>();

    static void check(boolean holds, String violation) {
        if (!holds) {
            throw new Violation(violation);
        }
    }

    private static String textOf(Entry entry) {
        return new String(entry.data(), StandardCharsets.UTF_8) + " " + entry.configuration();
    }

    /**
     * Checks log matching: entries of the same index and term are equal and follow the same entry.
     */
    void onEntry(String node, RaftNode raft, Entry entry) {
        String entryId = entry.index() + "/" + entry.term();
        long prevTerm = raft.termAt(entry.index() - 1);
        String text = prevTerm + " " + textOf(entry);
        String other = entriesByIndexAndTerm.putIfAbsent(entryId, text);
        // The term of a compacted entry is -1 and cannot be compared.
        check(
                other == null || other.equals(text) || prevTerm < 0 || other.startsWith("-1 "),
                "log matching: "
                        + node
                        + " has entry "
                        + entryId
                        + " as "
                        + text
                        + ", another node as "
                        + other);
    }

    /** Checks state machine safety: all nodes apply the same entry at an index. */
    void onApply(String node, RaftNode raft, Entry entry) {
        CommittedEntry applied = new CommittedEntry(entry.term(), textOf(entry));
        CommittedEntry other = committed.putIfAbsent(entry.index(), applied);
        commitTermByIndex.putIfAbsent(entry.index(), raft.term());
        check(
                other == null || applied.equals(other),
                "state machine safety: "
                        + node
                        + " applies entry "
                        + entry.index()
                        + " as "
                        + applied
                        + ", another node as "
                        + other);
    }

    void onState(long index, Map<String, String> state) {
        stateByIndex.putIfAbsent(index, state);
    }

    /** Checks that an installed snapshot equals the state that other nodes had at its index. */
    void onInstall(String node, long index, Map<String, String> state) {
        check(
                state.equals(stateByIndex.getOrDefault(index, state)),
                node + " installs a snapshot with a different state at index " + index);
    }

    /** Checks election safety and leader completeness; returns true if the leader's term is new. */
    boolean onLeader(String node, RaftNode raft) {
        String other = leaderByTerm.putIfAbsent(raft.term(), node);
        check(
                other == null || other.equals(node),
                "election safety: " + node + " and " + other + " lead term " + raft.term());
        if (other != null) {
            return false;
        }
        committed.forEach((index, entry) -> checkCompleteness(node, raft, index, entry));
        return true;
    }

    /**
     * Checks that a new leader has an entry if it was committed in an earlier term, whatever the
     * entry's own term.
     */
    private void checkCompleteness(String node, RaftNode raft, long index, CommittedEntry entry) {
        check(
                index <= raft.snapshotIndex()
                        || commitTermByIndex.get(index) >= raft.term()
                        || entry.entryTerm() == raft.termAt(index),
                "leader completeness: "
                        + node
                        + " leads term "
                        + raft.term()
                        + " without committed entry "
                        + index);
    }
}
