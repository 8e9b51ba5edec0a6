package reeldeal.consensus;

import java.util.ArrayDeque;

/**
 * The replication progress of one follower, as recorded by the leader. {@code ProgressTracker}
 * creates it; log replication and snapshot transfer update it.
 */
final class PeerProgress {
    /** The last index that the follower has acknowledged as durable. */
    long matchIndex;

    /** The index of the next entry to send. */
    long nextIndex;

    /**
     * Whether the leader is still searching for the last index at which the logs match, with one
     * request at a time.
     */
    boolean probing = true;

    /** Whether a probe request is unanswered, so that no other may be sent. */
    boolean probeInFlight;

    /** The snapshot being sent, or null. */
    Snapshot snapshot;

    /** Reads the chunks of the snapshot being sent; null if there is none. */
    SnapshotChunkReader snapshotReader;

    /** How many bytes of the snapshot the follower has received. */
    int snapshotOffset;

    /** Whether it was logged that the follower lost entries that it had acknowledged. */
    boolean lostEntriesReported;

    /** Whether the follower has sent a message since the last quorum check. */
    boolean activeSinceCheck;

    /** The tick at which the follower's last message arrived. */
    long lastMessageTick = Long.MIN_VALUE / 2;

    /** The last heartbeat round that the follower has acknowledged. */
    long acknowledgedRound;

    /**
     * The index of an entry whose commit the follower must be notified of without delay; 0 for
     * none.
     */
    long urgentCommitIndex;

    private long matchIndexAtLastRound = -1;
    private final ArrayDeque<Long> inFlight = new ArrayDeque<>();

    void onMessage(long tick) {
        activeSinceCheck = true;
        lastMessageTick = tick;
    }

    /** Whether another append request may be sent; {@code window} limits the unanswered ones. */
    boolean maySend(int window) {
        return !probeInFlight && inFlight.size() < window;
    }

    /** Records that an append request of {@code count} entries was sent. */
    void onRequestSent(int count) {
        if (probing) {
            probeInFlight = true;
        } else {
            nextIndex += count;
            inFlight.add(nextIndex - 1);
        }
    }

    /**
     * Whether a rejection of the request after {@code index} is outdated: it does not answer the
     * current probe, or that index is already known to match.
     */
    boolean isStaleRejection(long index) {
        return probing ? nextIndex - 1 != index : index <= matchIndex;
    }

    /** Starts to search for the point at which the logs match, beginning at an index. */
    void probeFrom(long index) {
        nextIndex = index;
        probing = true;
        probeInFlight = false;
        inFlight.clear();
    }

    /** Ends the transfer of a snapshot, if there is one, and goes back to probing. */
    void endSnapshotTransfer() {
        if (snapshot != null) {
            snapshot = null;
            snapshotReader = null;
            probing = true;
        }
    }

    /** Records that the follower has the log up to an index on its disk. */
    void onAcknowledged(long index) {
        matchIndex = Math.max(matchIndex, index);
        probeInFlight = false;
        if (snapshot != null && matchIndex >= snapshot.index()) {
            endSnapshotTransfer();
        }
        if (probing && snapshot == null) {
            probing = false;
            nextIndex = matchIndex + 1;
            inFlight.clear();
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.peek() <= matchIndex) {
            inFlight.poll();
        }
    }

    /**
     * Records the response to a heartbeat; returns false if this round or a later one was
     * acknowledged before.
     */
    boolean onHeartbeatAcknowledged(long round) {
        boolean isNew = round > acknowledgedRound;
        acknowledgedRound = Math.max(acknowledgedRound, round);
        probeInFlight = false;
        return isNew;
    }

    /**
     * Goes back to probing if requests are unanswered and nothing was acknowledged since the last
     * call, one heartbeat round ago: the requests may be lost.
     */
    void probeIfStalled() {
        if (!inFlight.isEmpty() && matchIndex == matchIndexAtLastRound) {
            probing = true;
            inFlight.clear();
            nextIndex = matchIndex + 1;
        }
        matchIndexAtLastRound = matchIndex;
    }
}
