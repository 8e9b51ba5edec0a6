package reeldeal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes HTTP/1.1 messages with a body of known length. Stateless and thread-safe. */
public final class HttpWriter {
    private static final Map<Integer, String> REASONS =
            Map.ofEntries(
                    Map.entry(200, "OK"),
                    Map.entry(201, "Created"),
                    Map.entry(400, "Bad Request"),
                    Map.entry(404, "Not Found"),
                    Map.entry(405, "Method Not Allowed"),
                    Map.entry(408, "Request Timeout"),
                    Map.entry(409, "Conflict"),
                    Map.entry(413, "Content Too Large"),
                    Map.entry(429, "Too Many Requests"),
                    Map.entry(431, "Request Header Fields Too Large"),
                    Map.entry(500, "Internal Server Error"),
                    Map.entry(503, "Service Unavailable"),
                    Map.entry(504, "Gateway Timeout"),
                    Map.entry(505, "HTTP Version Not Supported"));

    private HttpWriter() {}

    /** Encodes a response; {@code close} announces that the connection ends after it. */
    public static ByteBuf response(
            int status, Map<String, String> headers, byte[] body, boolean close) {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASONS.getOrDefault(status, "Status"))
                .append("\r\n");
        return encode(head, headers, body, close);
    }

    /** Encodes a request that leaves its connection open. */
    public static ByteBuf request(
            String method, String target, String host, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(128);
        head.append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        return encode(head, headers, body, false);
    }

    private static ByteBuf encode(
            StringBuilder head, Map<String, String> headers, byte[] body, boolean close) {
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n");
        if (close) {
            head.append("Connection: close\r\n");
        }
        head.append("\r\n");
        return Unpooled.wrappedBuffer(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }
}
