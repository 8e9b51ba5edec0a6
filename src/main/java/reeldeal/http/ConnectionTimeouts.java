package reeldeal.http;

/** The time limits of a server's connection, in ms. */
final class ConnectionTimeouts {
    /** Time limit from connecting to the end of the first request. */
    static final int FIRST_REQUEST_MS = 2_000;

    /** Time limit from the first byte to the last byte of a later request. */
    static final int REQUEST_MS = 2_000;

    /** Time for which a connection may stay idle between requests. */
    static final int IDLE_MS = 4_000;

    /** Time for which a client may leave a response unread. */
    static final int UNREAD_RESPONSE_MS = 4_000;

    /** Time that a client has to read the last response and close the connection. */
    static final int LINGER_MS = 500;

    /** Delay of a close, in which the event loop reads what has arrived. */
    static final int CLOSE_DELAY_MS = 1;

    /** Time that a client has to read the last response of a server that is closing. */
    static final int UNREAD_LINGER_MS = 200;

    /** Age from which a connection without a request may be evicted for a new connection. */
    static final int MIN_EVICTION_AGE_MS = 250;

    private ConnectionTimeouts() {}
}
