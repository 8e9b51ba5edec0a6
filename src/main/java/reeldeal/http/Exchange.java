package reeldeal.http;

import java.util.Map;

/** A request that waits for its response. Used only on the server's event loop. */
public interface Exchange {

    /**
     * Writes the response. Calls after the first are ignored.
     *
     * @param status the status code
     * @param headers the response headers without Content-Length, which is added
     * @param body the response body
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Returns how long the request may have waited between its arrival and its handling, in
     * milliseconds: behind earlier requests of its connection, or for the connection to be
     * accepted.
     */
    default double waitedMs() {
        return 0;
    }

    /** Sets an action to run if the client disconnects before the response is written. */
    void onDisconnect(Runnable action);
}
