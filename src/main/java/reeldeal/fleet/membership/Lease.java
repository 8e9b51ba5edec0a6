package reeldeal.fleet.membership;

/**
 * The state of a lease at its holder. The leader measures a term from the receipt of a heartbeat;
 * the holder measures it from the sending of that heartbeat, which is earlier, and subtracts the
 * share {@link #SKEW}. As long as its steady clock runs at a rate of at least {@code 1 - SKEW} of
 * the leader's, the holder fences itself before the leader ends the lease. A paused process fences
 * itself at its first check after resuming.
 *
 * <p>All times are ms of the holder's steady clock. Used on the state loop.
 */
public class Lease {
    /** The maximum difference between the rates of two steady clocks, as a share. */
    public static final double SKEW = 0.1;

    private static final long EXPIRED = Long.MIN_VALUE;

    private final long termMs;
    private long incarnation;
    private long expiresAt = EXPIRED;

    /** Creates a lease that is not held yet; {@code termMs} is the lease term of the leader. */
    public Lease(long termMs) {
        this.termMs = termMs;
    }

    /**
     * Renews the lease: the leader answered a heartbeat that this incarnation sent at {@code
     * sentAt}.
     */
    public void renew(long ofIncarnation, long sentAt) {
        if (ofIncarnation != incarnation) {
            incarnation = ofIncarnation;
            expiresAt = EXPIRED;
        }
        expiresAt = Math.max(expiresAt, sentAt + validityMs());
    }

    /** Returns how long an answered heartbeat keeps the lease valid after it was sent, ms. */
    protected long validityMs() {
        return (long) (termMs * (1 - SKEW));
    }

    /**
     * Returns until when an incarnation is certain to hold the lease; {@code Long.MIN_VALUE} if it
     * does not hold it.
     */
    public long expiresAt(long ofIncarnation) {
        return isHolder(ofIncarnation) ? expiresAt : EXPIRED;
    }

    /** Returns whether an incarnation is certain to hold the lease. */
    public boolean isValid(long ofIncarnation, long now) {
        return isHolder(ofIncarnation) && now < expiresAt;
    }

    private boolean isHolder(long ofIncarnation) {
        return ofIncarnation != 0 && ofIncarnation == incarnation;
    }
}
