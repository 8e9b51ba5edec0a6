package reeldeal.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads HTTP/1.1 messages from bytes as they come: bodies by length or in chunks, with a bound on every
 * length. What it cannot read is a value, never an exception, and ends the reading of that connection.
 */
public final class HttpParser {
    public static final int MAX_BODY = 64 * 1024;
    private static final int MAX_HEAD = 16 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int MAX_CHUNK_LINE = 256;

    /** What reading came to. */
    public sealed interface Result { }

    /** More bytes are needed. */
    public record NeedMore(boolean expectsContinue) implements Result { }

    /** A message is complete. */
    public record Complete(HttpMessage message) implements Result { }

    /** The bytes are no message that can be taken; {@code status} is the answer that says so. */
    public record Malformed(int status, String why) implements Result { }

    private final boolean responses;
    private byte[] buffer = new byte[1024];
    private int end;
    private Malformed failed;
    private boolean toldContinue;

    /** A parser of responses or of requests. */
    public HttpParser(boolean responses) {
        this.responses = responses;
    }

    /** Room for this many more bytes, to be filled by {@link #feed}; guards the memory of a connection. */
    public boolean hasRoom() {
        return end < MAX_HEAD + 2 * MAX_BODY;
    }

    /** How much memory the bytes at hand take. */
    public int heldBytes() {
        return buffer.length;
    }

    /** Whether bytes of a message that is not complete are held. */
    public boolean inMessage() {
        return end > 0;
    }

    /** Takes further bytes. */
    public void feed(byte[] bytes, int from, int length) {
        if (buffer.length < end + length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, end + length));
        }
        System.arraycopy(bytes, from, buffer, end, length);
        end += length;
    }

    /** The next message, if all of it has come. */
    public Result next() {
        if (failed != null) {
            return failed;
        }
        Result result = read();
        if (result instanceof Malformed bad) {
            failed = bad;
        }
        return result;
    }

    private Result read() {
        int start = 0;
        while (start < end && (buffer[start] == '\r' || buffer[start] == '\n')) {
            start++;
        }
        int headEnd = headEnd(start);
        if (headEnd < 0) {
            return end - start > MAX_HEAD ? new Malformed(431, "header too large") : new NeedMore(false);
        }
        if (headEnd - start > MAX_HEAD) {
            return new Malformed(431, "header too large");
        }
        String[] lines = new String(buffer, start, headEnd - start, StandardCharsets.ISO_8859_1).split("\r?\n");
        String[] words = lines[0].split(" ", 3);
        if (words.length < (responses ? 2 : 3) || words[0].isEmpty() || words[1].isEmpty()) {
            return new Malformed(400, "malformed start line");
        }
        String version = responses ? words[0] : words[2];
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            return new Malformed(version.startsWith("HTTP/") ? 505 : 400, "unsupported version");
        }
        if (responses && !words[1].matches("[1-5][0-9][0-9]")) {
            return new Malformed(400, "malformed status");
        }
        Map<String, String> headers = new HashMap<>();
        if (lines.length - 1 > MAX_HEADERS) {
            return new Malformed(431, "too many headers");
        }
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = colon <= 0 ? "" : lines[i].substring(0, colon);
            if (!isToken(name)) {
                return new Malformed(400, "malformed header");
            }
            String key = name.toLowerCase(Locale.ROOT);
            String value = lines[i].substring(colon + 1).trim();
            String before = headers.put(key, value);
            // Two lengths that disagree let a message be read in two ways.
            if (before != null && key.equals("content-length") && !before.equals(value)) {
                return new Malformed(400, "two lengths");
            }
        }
        return body(headEnd, words, headers);
    }

    private Result body(int from, String[] words, Map<String, String> headers) {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        HttpMessage empty = new HttpMessage(words[0], words[1], words.length > 2 ? words[2] : "", headers,
                new byte[0]);
        if (coding != null) {
            if (length != null || !coding.equalsIgnoreCase("chunked")) {
                return new Malformed(400, "unsupported transfer coding");
            }
            return chunks(from, empty);
        }
        if (length == null) {
            return complete(empty, new byte[0], from);
        }
        if (!length.matches("[0-9]{1,18}")) {
            return new Malformed(400, "malformed length");
        }
        long size = Long.parseLong(length);
        if (size > MAX_BODY) {
            return new Malformed(413, "body too large");
        }
        if (end - from < size) {
            return needMore(headers);
        }
        return complete(empty, Arrays.copyOfRange(buffer, from, from + (int) size), from + (int) size);
    }

    private Result chunks(int from, HttpMessage empty) {
        byte[] body = new byte[0];
        int at = from;
        while (true) {
            int lineEnd = lineEnd(at);
            if (lineEnd < 0) {
                return end - at > MAX_CHUNK_LINE ? new Malformed(400, "malformed chunk")
                        : needMore(empty.headers());
            }
            String line = new String(buffer, at, lineEnd - at, StandardCharsets.ISO_8859_1).trim();
            int semicolon = line.indexOf(';');
            String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
            if (!digits.matches("[0-9a-fA-F]{1,8}")) {
                return new Malformed(400, "malformed chunk");
            }
            long size = Long.parseLong(digits, 16);
            at = lineEnd + 1;
            if (size == 0) {
                return trailers(at, empty, body);
            }
            if (body.length + size > MAX_BODY) {
                return new Malformed(413, "body too large");
            }
            if (end - at < size + 2) {
                return needMore(empty.headers());
            }
            int old = body.length;
            body = Arrays.copyOf(body, old + (int) size);
            System.arraycopy(buffer, at, body, old, (int) size);
            at += (int) size;
            if (buffer[at] != '\r' || buffer[at + 1] != '\n') {
                return new Malformed(400, "malformed chunk");
            }
            at += 2;
        }
    }

    private Result trailers(int from, HttpMessage empty, byte[] body) {
        int at = from;
        while (true) {
            int lineEnd = lineEnd(at);
            if (lineEnd < 0) {
                return end - from > MAX_HEAD ? new Malformed(431, "trailer too large") : needMore(empty.headers());
            }
            boolean last = lineEnd == at || lineEnd == at + 1 && buffer[at] == '\r';
            at = lineEnd + 1;
            if (last) {
                return complete(empty, body, at);
            }
        }
    }

    /** Asks once that a client which waits for it be told to go on. */
    private NeedMore needMore(Map<String, String> headers) {
        boolean asks = !toldContinue && "100-continue".equalsIgnoreCase(headers.get("expect"));
        toldContinue |= asks;
        return new NeedMore(asks);
    }

    private Complete complete(HttpMessage empty, byte[] body, int upTo) {
        System.arraycopy(buffer, upTo, buffer, 0, end - upTo);
        end -= upTo;
        toldContinue = false;
        if (end == 0 && buffer.length > 4096) {
            buffer = new byte[1024];
        }
        return new Complete(new HttpMessage(empty.first(), empty.second(), empty.third(), empty.headers(), body));
    }

    private int headEnd(int start) {
        for (int i = start; i < end; i++) {
            if (buffer[i] == '\n' && (i + 1 < end && buffer[i + 1] == '\n'
                    || i + 2 < end && buffer[i + 1] == '\r' && buffer[i + 2] == '\n')) {
                return buffer[i + 1] == '\n' ? i + 2 : i + 3;
            }
        }
        return -1;
    }

    private int lineEnd(int from) {
        for (int i = from; i < end; i++) {
            if (buffer[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c <= ' ' || c >= 127 || "()<>@,;:\\\"/[]?={}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !name.isEmpty();
    }
}
