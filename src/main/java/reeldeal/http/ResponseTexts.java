package reeldeal.http;

import java.nio.charset.StandardCharsets;

/** What a server's connection writes without asking the handler, as ASCII. */
final class ResponseTexts {
    static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");
    static final byte[] OVERLOADED = ascii("too much is being read\n");
    static final byte[] TOO_MANY_PIPELINED = ascii("too much was sent ahead\n");
    static final byte[] INTERNAL_ERROR = ascii("the broker failed on this request\n");
    static final byte[] REQUEST_TIMEOUT = ascii("the request did not come whole in time\n");

    private ResponseTexts() {}

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
