package reeldeal.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Incremental parser of HTTP/1.1 messages, with bodies of a given length or in chunks. Every length
 * is bounded. Malformed input is reported as a result, never as an exception, and ends the parsing
 * of that connection. Each byte is scanned only once, however small the fragments, so that the work
 * for a message is proportional to its size. Not thread-safe; owned by one connection.
 */
public final class HttpParser {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    /** The most bytes that the chunk-size lines of one message may take. */
    private static final int MAX_FRAMING_BYTES = 4 * MAX_BODY_BYTES;

    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final int MAX_RETAINED_BUFFER_BYTES = 4 * INITIAL_BUFFER_BYTES;
    private static final String CONTENT_LENGTH = "content-length";

    /** The heap size of a header field or of an array without its content, in bytes. */
    private static final int FIELD_OVERHEAD_BYTES = 128;

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    /** The outcome of parsing the bytes that were fed so far. */
    public sealed interface Result {}

    /**
     * The message is not complete; more bytes are needed.
     *
     * @param expectsContinue whether the client now waits for the response "100 Continue" before it
     *     sends the body
     */
    public record NeedMore(boolean expectsContinue) implements Result {}

    /** A message is complete. */
    public record Complete(HttpMessage message) implements Result {}

    /**
     * The bytes are not a valid message or exceed a limit.
     *
     * @param status the status to respond with
     * @param reason the fault, in the text that the client gets
     */
    public record Malformed(int status, String reason) implements Result {}

    private enum Stage {
        HEAD,
        FIXED_LENGTH_BODY,
        CHUNK_LINE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE
    }

    private final boolean parsesResponses;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int start; // index of the first byte that is not parsed yet
    private int end; // index after the last byte that was fed
    private int scanned; // bytes before this index hold no end of the current line or head
    private int headLines; // lines of the current head that were scanned, without the empty one
    private int headBytes; // length of the head of the message whose body is being read
    private Malformed malformed;
    private Stage stage = Stage.HEAD;
    private HttpMessage head;
    private ByteArrayOutputStream chunkedBody;
    private long remaining; // bytes of the body, or of the current chunk, still to be read
    private int framingBytes;
    private boolean continueSignalled;

    /** Creates a parser of responses if {@code parsesResponses}, otherwise of requests. */
    public HttpParser(boolean parsesResponses) {
        this.parsesResponses = parsesResponses;
    }

    /**
     * Whether more bytes may be fed before the next message is taken. Bounds the memory that one
     * connection can use.
     */
    public boolean acceptsMore() {
        return end - start < MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
    }

    /** Returns about how much heap memory the message that is being read takes, in bytes. */
    public int bufferedBytes() {
        int bytes = buffer.length;
        if (head != null) {
            bytes += headBytes + FIELD_OVERHEAD_BYTES * head.headers().size();
        }
        if (chunkedBody != null) {
            bytes += FIELD_OVERHEAD_BYTES + 2 * chunkedBody.size(); // its array doubles to grow
        }
        return bytes;
    }

    /** Returns how many of the bytes that were fed are not parsed yet. */
    int unparsedBytes() {
        return end - start;
    }

    /** Frees the part of the buffer that holds no unparsed bytes. */
    void trimBuffer() {
        int unparsed = end - start;
        byte[] trimmed = new byte[Math.max(INITIAL_BUFFER_BYTES, unparsed)];
        System.arraycopy(buffer, start, trimmed, 0, unparsed);
        buffer = trimmed;
        scanned = Math.max(0, scanned - start);
        start = 0;
        end = unparsed;
    }

    /** Whether bytes of an incomplete message are buffered. */
    public boolean inMessage() {
        return end > start || stage != Stage.HEAD;
    }

    /** Appends {@code length} bytes, starting at {@code offset}, to the unparsed input. */
    public void feed(byte[] bytes, int offset, int length) {
        if (start > 0) {
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            scanned = Math.max(0, scanned - start);
            start = 0;
        }
        if (buffer.length < end + length) {
            buffer = Arrays.copyOf(buffer, Math.max(grownCapacity(), end + length));
        }
        System.arraycopy(bytes, offset, buffer, end, length);
        end += length;
    }

    /** Returns the next capacity of the buffer, which need not exceed a body of known length. */
    private int grownCapacity() {
        int doubled = 2 * buffer.length;
        return stage == Stage.FIXED_LENGTH_BODY ? (int) Math.min(doubled, remaining) : doubled;
    }

    /** Parses the bytes fed so far, up to the end of the next message. */
    public Result next() {
        if (malformed != null) {
            return malformed;
        }
        Result result = null;
        while (result == null) {
            result =
                    switch (stage) {
                        case HEAD -> parseHead();
                        case FIXED_LENGTH_BODY -> parseFixedLengthBody();
                        case CHUNK_LINE -> parseChunkLine();
                        case CHUNK -> parseChunk();
                        case CHUNK_END -> parseChunkEnd();
                        case TRAILER -> parseTrailer();
                        case BODY_UNTIL_CLOSE -> parseBodyUntilClose();
                    };
        }
        if (result instanceof Malformed malformedMessage) {
            malformed = malformedMessage;
            start = 0;
            end = 0;
            buffer = new byte[0];
            head = null;
            chunkedBody = null;
        }
        return result;
    }

    // Each of the following methods parses one stage; null means to continue with the next stage.

    private Result parseHead() {
        while (start < end && (buffer[start] == '\r' || buffer[start] == '\n')) {
            start++;
        }
        int headEnd = findHeadEnd();
        if ((headEnd < 0 ? end : headEnd) - start > MAX_HEAD_BYTES) {
            return new Malformed(431, "header too large");
        }
        if (headLines > HeadParser.MAX_HEADERS + 1) {
            return new Malformed(431, "too many headers");
        }
        if (headEnd < 0) {
            return new NeedMore(false);
        }
        HeadParser headParser = new HeadParser(parsesResponses, buffer, start, headEnd);
        Malformed malformedMessage = headParser.parse();
        if (malformedMessage != null) {
            return malformedMessage;
        }
        headBytes = headEnd - start;
        start = headEnd;
        head = headParser.message();
        return beginBody(
                parsesResponses ? head.methodOrVersion() : head.versionOrReason(),
                head.header("transfer-encoding"),
                head.header(CONTENT_LENGTH));
    }

    /** Selects the framing of the body from the headers. */
    private Result beginBody(String version, String coding, String length) {
        if (coding != null) {
            // With both a length and a transfer coding, or with an unsupported coding, another
            // server or proxy may place the end of the body elsewhere (request smuggling).
            if (length != null
                    || !coding.equalsIgnoreCase("chunked")
                    || version.equals("HTTP/1.0")) {
                return new Malformed(400, "unsupported transfer coding");
            }
            chunkedBody = new ByteArrayOutputStream();
            framingBytes = 0;
            stage = Stage.CHUNK_LINE;
            return null;
        }
        if (length == null) {
            if (parsesResponses && !head.targetOrStatus().matches("1..|204|304")) {
                stage = Stage.BODY_UNTIL_CLOSE;
                return null;
            }
            return complete(new byte[0]);
        }
        if (!LENGTH.matcher(length).matches()) {
            return new Malformed(400, "malformed length");
        }
        remaining = Long.parseLong(length);
        if (remaining > MAX_BODY_BYTES) {
            return new Malformed(413, "body too large");
        }
        stage = Stage.FIXED_LENGTH_BODY;
        return null;
    }

    private Result parseFixedLengthBody() {
        if (end - start < remaining) {
            return needMore();
        }
        byte[] body = Arrays.copyOfRange(buffer, start, start + (int) remaining);
        start += (int) remaining;
        return complete(body);
    }

    /** Waits: a response without a length ends when its connection does ({@link #endOfInput}). */
    private Result parseBodyUntilClose() {
        return end - start > MAX_BODY_BYTES ? new Malformed(413, "body too large") : needMore();
    }

    /**
     * Returns the response that an orderly close by the peer completes, or null if there is none.
     * Must not be called after a connection reset, which may have cut the body short.
     */
    public HttpMessage endOfInput() {
        if (stage != Stage.BODY_UNTIL_CLOSE || malformed != null || end - start > MAX_BODY_BYTES) {
            return null;
        }
        byte[] body = Arrays.copyOfRange(buffer, start, end);
        start = end;
        return complete(body).message();
    }

    private Result parseChunkLine() {
        int lineEnd = findLineEnd();
        if (lineEnd < 0
                ? end - start > MAX_CHUNK_LINE_BYTES
                : lineEnd - start > MAX_CHUNK_LINE_BYTES) {
            return new Malformed(400, "malformed chunk");
        }
        if (lineEnd < 0) {
            return needMore();
        }
        String line =
                new String(buffer, start, lineEnd - start, StandardCharsets.ISO_8859_1).trim();
        int semicolon = line.indexOf(';');
        String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
        framingBytes += lineEnd + 1 - start;
        start = lineEnd + 1;
        scanned = start;
        if (!isHex(digits)) {
            return new Malformed(400, "malformed chunk");
        }
        remaining = Long.parseLong(digits, 16);
        if (chunkedBody.size() + remaining > MAX_BODY_BYTES || framingBytes > MAX_FRAMING_BYTES) {
            return new Malformed(413, "body too large");
        }
        stage = remaining == 0 ? Stage.TRAILER : Stage.CHUNK;
        framingBytes = remaining == 0 ? 0 : framingBytes;
        return null;
    }

    private Result parseChunk() {
        int available = (int) Math.min(remaining, end - start);
        chunkedBody.write(buffer, start, available);
        start += available;
        remaining -= available;
        if (remaining > 0) {
            return needMore();
        }
        stage = Stage.CHUNK_END;
        return null;
    }

    private Result parseChunkEnd() {
        if (end - start < 2) {
            return needMore();
        }
        if (buffer[start] != '\r' || buffer[start + 1] != '\n') {
            return new Malformed(400, "malformed chunk");
        }
        start += 2;
        scanned = start;
        stage = Stage.CHUNK_LINE;
        return null;
    }

    private Result parseTrailer() {
        int lineEnd = findLineEnd();
        if (framingBytes + (lineEnd < 0 ? end : lineEnd) - start > MAX_HEAD_BYTES) {
            return new Malformed(431, "trailer too large");
        }
        if (lineEnd < 0) {
            return needMore();
        }
        boolean last = lineEnd == start || (lineEnd == start + 1 && buffer[start] == '\r');
        framingBytes += lineEnd + 1 - start;
        start = lineEnd + 1;
        scanned = start;
        return last ? complete(chunkedBody.toByteArray()) : null;
    }

    /** Returns the result for an incomplete body; asks only once to send "100 Continue". */
    private NeedMore needMore() {
        boolean expectsContinue =
                !continueSignalled && "100-continue".equalsIgnoreCase(head.header("expect"));
        continueSignalled |= expectsContinue;
        return new NeedMore(expectsContinue);
    }

    private Complete complete(byte[] body) {
        HttpMessage message =
                new HttpMessage(
                        head.methodOrVersion(),
                        head.targetOrStatus(),
                        head.versionOrReason(),
                        head.headers(),
                        body);
        stage = Stage.HEAD;
        head = null;
        headLines = 0;
        chunkedBody = null;
        scanned = start;
        continueSignalled = false;
        if (start == end) {
            start = 0;
            end = 0;
            scanned = 0;
            if (buffer.length > MAX_RETAINED_BUFFER_BYTES) {
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
        }
        return new Complete(message);
    }

    private int findHeadEnd() {
        for (int i = Math.max(start, scanned); i < end; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            headLines++;
            if (i + 1 < end && buffer[i + 1] == '\n') {
                return i + 2;
            }
            if (i + 2 < end && buffer[i + 1] == '\r' && buffer[i + 2] == '\n') {
                return i + 3;
            }
            if (i + 1 == end || (i + 2 == end && buffer[i + 1] == '\r')) {
                // The empty line may begin here.
                headLines--;
                scanned = i;
                return -1;
            }
        }
        scanned = Math.max(start, end);
        return -1;
    }

    private int findLineEnd() {
        for (int i = Math.max(start, scanned); i < end; i++) {
            if (buffer[i] == '\n') {
                return i;
            }
        }
        scanned = end;
        return -1;
    }

    private static boolean isHex(String digits) {
        for (int i = 0; i < digits.length(); i++) {
            if (Character.digit(digits.charAt(i), 16) < 0 || digits.charAt(i) > 'f') {
                return false;
            }
        }
        return !digits.isEmpty() && digits.length() <= 8;
    }
}
