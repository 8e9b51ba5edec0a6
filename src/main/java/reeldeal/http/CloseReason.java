package reeldeal.http;

/** Why a server's connection was closed. */
public enum CloseReason {
    /** The client closed it, or it broke. */
    CLIENT_LEFT,
    /** No request came in time. */
    IDLE,
    /** Too many connections were idle. */
    TOO_MANY_IDLE,
    /** A new connection needed its place. */
    EVICTED,
    /** There was no place for it. */
    NO_PLACE,
    /** The last response was sent, and the client read it or had the time to. */
    LAST_RESPONSE,
    /** The client did not read a response in time. */
    UNREAD_RESPONSE,
    /** The client went on sending after the last request that is answered. */
    INPUT_AFTER_END,
    /** The server stops, and no request had begun. */
    SERVER_CLOSING,
    /** A handler of the connection failed, or a read or write did. */
    FAILED
}
