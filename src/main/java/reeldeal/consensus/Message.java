package reeldeal.consensus;

import java.util.List;

/** A message from one node of a group to another. Each message carries its sender's term. */
public sealed interface Message {
    /** Returns the name of the sender. */
    String from();

    /** Returns the name of the receiver. */
    String to();

    /**
     * Returns the sender's term or, in a pre-vote request and its grant, the term that the election
     * would begin.
     */
    long term();

    /** A message that only the leader of a term sends. */
    sealed interface LeaderMessage extends Message {}

    /** A follower's response to a leader's message. */
    sealed interface FollowerResponse extends Message {}

    /**
     * Requests a vote.
     *
     * @param lastLogIndex the index of the candidate's last entry
     * @param lastLogTerm the term of the candidate's last entry
     * @param preVote whether this is a pre-vote, which does not use up the voter's vote (thesis,
     *     section 9.6)
     * @param leadershipTransfer whether the leader requested this election (thesis, section 3.10)
     */
    record VoteRequest(
            String from,
            String to,
            long term,
            long lastLogIndex,
            long lastLogTerm,
            boolean preVote,
            boolean leadershipTransfer)
            implements Message {}

    /** Grants or rejects a vote or a pre-vote. */
    record VoteResponse(String from, String to, long term, boolean preVote, boolean granted)
            implements Message {}

    /**
     * Sends entries for the receiver to append directly after an entry that it must already have.
     *
     * @param prevLogIndex the index of the entry before {@code entries}
     * @param prevLogTerm the term of the entry before {@code entries}
     * @param leaderCommit the leader's commit index
     */
    record AppendRequest(
            String from,
            String to,
            long term,
            long prevLogIndex,
            long prevLogTerm,
            List<Entry> entries,
            long leaderCommit)
            implements LeaderMessage {}

    /**
     * The response to an append request or to a complete snapshot.
     *
     * @param success whether the receiver's log has all entries up to {@code index} on disk
     * @param index the index up to which both logs match; in a rejection, the request's {@code
     *     prevLogIndex}
     * @param hintIndex in a rejection, the last index at which the logs may still match
     * @param hintTerm in a rejection, the term of the entry at {@code hintIndex}
     */
    record AppendResponse(
            String from,
            String to,
            long term,
            boolean success,
            long index,
            long hintIndex,
            long hintTerm)
            implements FollowerResponse {

        /** Returns a response that acknowledges the entries up to an index. */
        static AppendResponse accepted(String from, String to, long term, long index) {
            return new AppendResponse(from, to, term, true, index, 0, 0);
        }
    }

    /**
     * Tells the receiver that the leader is alive and up to which entry the log is committed.
     *
     * @param commit the commit index, limited to the entries known to match in the receiver's log
     * @param round the number of the heartbeat round; its acknowledgements confirm the reads
     *     accepted before it
     * @param leaderCommit the leader's commit index, or {@link Long#MAX_VALUE} if a new leader has
     *     not committed an entry of its own term yet
     */
    record Heartbeat(String from, String to, long term, long commit, long round, long leaderCommit)
            implements LeaderMessage {}

    /** Acknowledges a heartbeat of a round. */
    record HeartbeatResponse(String from, String to, long term, long round)
            implements FollowerResponse {}

    /**
     * Describes the snapshot that a chunk belongs to.
     *
     * @param index the index of the last entry in the snapshot
     * @param indexTerm the term of that entry
     * @param configuration the group's configuration at that entry
     * @param totalBytes the size of the snapshot's data
     */
    record SnapshotHeader(
            long index, long indexTerm, GroupConfiguration configuration, int totalBytes) {}

    /** Sends a chunk of a snapshot's data; {@code offset} is the chunk's position in bytes. */
    record SnapshotChunk(
            String from, String to, long term, SnapshotHeader header, int offset, byte[] data)
            implements LeaderMessage {}

    /** Reports how many bytes of a snapshot the sender has received without a gap. */
    record SnapshotChunkResponse(String from, String to, long term, long index, int receivedBytes)
            implements FollowerResponse {}

    /** Asks the receiver to start an election without delay (thesis, section 3.10). */
    record TimeoutNow(String from, String to, long term) implements Message {}
}
