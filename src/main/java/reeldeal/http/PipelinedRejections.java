package reeldeal.http;

/**
 * The requests that a client pipelined beyond what its connection buffers. Their content is
 * dropped, and each is answered as refused once the requests before it are answered. Owned by the
 * connection and used on its event loop.
 */
final class PipelinedRejections {
    private int count;
    private boolean lastEndsConnection;
    private boolean malformed;

    boolean isEmpty() {
        return count == 0;
    }

    /** Takes all complete requests out of a parser, up to one that ends its connection. */
    void takeAll(HttpParser parser) {
        HttpParser.Result result = endsInput() ? null : parser.next();
        while (result instanceof HttpParser.Complete complete) {
            count++;
            lastEndsConnection = !complete.message().keepsAlive();
            result = lastEndsConnection ? null : parser.next();
        }
        malformed |= result instanceof HttpParser.Malformed;
    }

    /** Adds a request whose rest is discarded, so that its response ends the connection. */
    void addLast() {
        count++;
        lastEndsConnection = true;
    }

    /** Removes the first request; returns whether its response leaves the connection open. */
    boolean removeFirst() {
        count--;
        return count > 0 || !lastEndsConnection;
    }

    /** Whether what the client sends from now on is no request that could be answered. */
    boolean endsInput() {
        return lastEndsConnection || malformed;
    }

    void clear() {
        count = 0;
    }
}
