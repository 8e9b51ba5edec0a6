package reeldeal.http;

/** Responds to the requests of an {@link HttpServer}, on the server's event loop. */
public interface RequestHandler {

    /** Handles one request. Must not block; it may respond now or later. */
    void handle(HttpMessage request, Exchange exchange);
}
