package reeldeal.http;

/**
 * Measures how far the reading of one connection is behind what its client has sent. Until all of
 * it is read, it is not known whether the client has left. Owned by the connection and used on its
 * event loop; times are in milliseconds.
 */
final class InputBacklog {
    /** The most bytes that are read from one connection before others have their turn. */
    static final int MAX_TURN_BYTES = 64 * 1024;

    /** The most times that one connection is read before others have their turn. */
    static final int MAX_TURN_READS = 16;

    /** A client may be this far ahead of the reading for any time. */
    private static final int MAX_BYTES = 144 * 1024;

    /** A client that has been read to its end this long ago may be taken as still connected. */
    private static final long MAX_AGE_MS = 50;

    private int turnReads;
    private int turnBytes;
    private boolean behind;
    private long behindSince;
    private long behindBytes;

    /** Records that bytes were read. */
    void addRead(int bytes) {
        turnReads++;
        turnBytes += bytes;
        behindBytes += bytes;
    }

    /** Whether so much was read in this turn that others must have theirs. */
    boolean isTurnOver() {
        return turnBytes >= MAX_TURN_BYTES;
    }

    /** Ends a turn. Input is left unless a read found none. */
    void endTurn(long now) {
        if (isTurnOver() || turnReads >= MAX_TURN_READS) {
            fallBehind(now);
        } else {
            behind = false;
            behindBytes = 0;
        }
        turnReads = 0;
        turnBytes = 0;
    }

    /** Records that the connection is not read for the present. */
    void fallBehind(long now) {
        if (!behind) {
            behind = true;
            behindSince = now;
        }
    }

    /** Whether input may be left that has not been read. */
    boolean isBehind() {
        return behind;
    }

    /** Whether the client may have left so long ago that nothing more may be sent for it. */
    boolean isOutdated(long now) {
        return behind && now - behindSince > MAX_AGE_MS;
    }

    /** Whether more was read without an end than a client may send ahead. */
    boolean isFarBehind() {
        return behind && behindBytes > MAX_BYTES;
    }
}
