package reeldeal.consensus;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

/**
 * Records the progress of all other members on the leader. On a follower the content is
 * meaningless.
 */
final class ProgressTracker {
    private final String id;
    private final Map<String, PeerProgress> peers = new TreeMap<>();

    ProgressTracker(String id) {
        this.id = id;
    }

    /**
     * Discards all progress at the start of a leader's term; every member is sent entries from
     * {@code nextIndex} on.
     */
    void reset(GroupConfiguration configuration, long nextIndex) {
        peers.clear();
        reconcile(configuration, nextIndex);
    }

    /**
     * Adds new members, which are sent entries from {@code nextIndex} on, and drops removed
     * members.
     */
    void reconcile(GroupConfiguration configuration, long nextIndex) {
        Set<String> members = configuration.all();
        peers.keySet().retainAll(members);
        for (String node : members) {
            if (!node.equals(id) && !peers.containsKey(node)) {
                PeerProgress peer = new PeerProgress();
                peer.nextIndex = nextIndex;
                peer.activeSinceCheck = true; // counts as active until the next quorum check
                peers.put(node, peer);
            }
        }
    }

    /** Returns the progress of a member, or null if there is no such other member. */
    PeerProgress progressOf(String node) {
        return peers.get(node);
    }

    void forEach(BiConsumer<String, PeerProgress> action) {
        peers.forEach(action);
    }

    /** Returns the highest index that {@code majority} voters have on disk. */
    long matchIndexOf(int majority, Set<String> voters, long ownIndex) {
        return valueReachedBy(majority, voters, ownIndex, peer -> peer.matchIndex);
    }

    /** Returns the latest heartbeat round that {@code majority} voters have acknowledged. */
    long roundAcknowledgedBy(int majority, Set<String> voters, long ownRound) {
        return valueReachedBy(majority, voters, ownRound, peer -> peer.acknowledgedRound);
    }

    private long valueReachedBy(
            int majority, Set<String> voters, long ownValue, ToLongFunction<PeerProgress> value) {
        long[] values =
                voters.stream()
                        .mapToLong(v -> v.equals(id) ? ownValue : value.applyAsLong(peers.get(v)))
                        .sorted()
                        .toArray();
        return values[values.length - majority];
    }

    /**
     * Returns how many voters, including this node, have sent a message since the last call, and
     * starts counting anew.
     */
    long countAndResetActiveVoters(Set<String> voters) {
        long activeVoters =
                voters.stream().filter(v -> v.equals(id) || peers.get(v).activeSinceCheck).count();
        peers.values().forEach(peer -> peer.activeSinceCheck = false);
        return activeVoters;
    }
}
