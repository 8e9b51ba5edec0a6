package reeldeal.consensus;

/**
 * The timing and size limits of a node; times are in ticks, sizes in bytes.
 *
 * @param electionTicks the minimum election timeout; each timeout is drawn at random between this
 *     and twice this
 * @param heartbeatTicks the heartbeat interval; well below {@code electionTicks}
 * @param leaseTicks how long after sending a heartbeat that a majority acknowledged the leader
 *     answers reads without another round; 0 to disable leases, else less than {@code
 *     electionTicks} by a margin larger than the possible clock drift
 * @param messageBytes the approximate size limit of the entries in one message, and the size of a
 *     snapshot chunk
 * @param window how many append requests to one follower may be unanswered
 */
public record RaftSettings(
        int electionTicks, int heartbeatTicks, int leaseTicks, int messageBytes, int window) {
    /** Settings for a tick of 50 ms on a local network. */
    public static final RaftSettings DEFAULT = new RaftSettings(10, 2, 0, 256 * 1024, 32);

    /**
     * Returns these settings with a window whose requests have about this size in all, in bytes,
     * but with a window of at least one request and of at most the present one.
     */
    public RaftSettings limitWindow(long bytes) {
        long requests = Math.max(1, bytes / messageBytes);
        return new RaftSettings(
                electionTicks,
                heartbeatTicks,
                leaseTicks,
                messageBytes,
                (int) Math.min(window, requests));
    }
}
