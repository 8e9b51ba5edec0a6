package reeldeal.http;

import java.util.Map;

/** A request of a connection that waits for its response. */
final class PendingExchange implements Exchange {
    /** Writes the response of an exchange, unless that exchange no longer waits for one. */
    interface Responder {
        void respond(
                PendingExchange exchange, int status, Map<String, String> headers, byte[] body);
    }

    private final Responder responder;
    private final boolean keepAlive;
    private final double waitedMs;
    private Runnable onDisconnect;

    PendingExchange(Responder responder, boolean keepAlive, double waitedMs) {
        this.responder = responder;
        this.keepAlive = keepAlive;
        this.waitedMs = waitedMs;
    }

    /** Whether the request allows its connection to stay open after the response. */
    boolean keepsAlive() {
        return keepAlive;
    }

    @Override
    public double waitedMs() {
        return waitedMs;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        responder.respond(this, status, headers, body);
    }

    @Override
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    /** Reports that the client does not wait for the response any more. */
    void disconnected() {
        if (onDisconnect != null) {
            onDisconnect.run();
        }
    }
}
