package reeldeal.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses the complete head of an HTTP message: its start line and its header fields. Reads no more
 * fields than the limit, however many the head holds.
 */
final class HeadParser {
    /** The most header fields of a message. */
    static final int MAX_HEADERS = 100;

    private static final int START_LINE_FIELDS = 3;
    private static final String CONTENT_LENGTH = "content-length";

    private final boolean parsesResponses;
    private final byte[] buffer;
    private final int end;
    private int position;
    private final Map<String, String> headers = new HashMap<>();
    private String[] startLine;

    /**
     * Creates a parser of the bytes from {@code start} to {@code end}, which end with the empty
     * line of a head and begin with its start line.
     */
    HeadParser(boolean parsesResponses, byte[] buffer, int start, int end) {
        this.parsesResponses = parsesResponses;
        this.buffer = buffer;
        this.position = start;
        this.end = end;
    }

    /** Returns the fault of the head, or null if {@link #message} returns it. */
    HttpParser.Malformed parse() {
        startLine = nextLine().split(" ", START_LINE_FIELDS);
        HttpParser.Malformed malformed = checkStartLine();
        for (String line = nextLine(); malformed == null && !line.isEmpty(); line = nextLine()) {
            malformed = addHeader(line);
        }
        return malformed;
    }

    /** Returns the message, which has no body yet. */
    HttpMessage message() {
        String versionOrReason = startLine.length > 2 ? startLine[2] : "";
        return new HttpMessage(startLine[0], startLine[1], versionOrReason, headers, new byte[0]);
    }

    /** Returns the next line without its end, or "" after the last. */
    private String nextLine() {
        int lineStart = position;
        while (position < end && buffer[position] != '\n') {
            position++;
        }
        int lineEnd = position;
        position++;
        if (lineEnd > lineStart && buffer[lineEnd - 1] == '\r') {
            lineEnd--;
        }
        return lineStart >= end
                ? ""
                : new String(buffer, lineStart, lineEnd - lineStart, StandardCharsets.ISO_8859_1);
    }

    private HttpParser.Malformed checkStartLine() {
        if (startLine.length < (parsesResponses ? 2 : START_LINE_FIELDS)
                || startLine[0].isEmpty()
                || startLine[1].isEmpty()) {
            return new HttpParser.Malformed(400, "malformed start line");
        }
        String version = parsesResponses ? startLine[0] : startLine[2];
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            int status = version.startsWith("HTTP/") ? 505 : 400;
            return new HttpParser.Malformed(status, "unsupported version");
        }
        if (parsesResponses && !isStatus(startLine[1])) {
            return new HttpParser.Malformed(400, "malformed status");
        }
        return null;
    }

    private static boolean isStatus(String text) {
        return text.matches("[1-5][0-9][0-9]");
    }

    /** Adds a header field, with its name in lower case. */
    private HttpParser.Malformed addHeader(String line) {
        int colon = line.indexOf(':');
        String name = colon <= 0 ? "" : line.substring(0, colon);
        if (!isToken(name)) {
            return new HttpParser.Malformed(400, "malformed header");
        }
        String key = name.toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        String previous = headers.get(key);
        if (previous == null) {
            headers.put(key, value);
        } else if (!key.equals(CONTENT_LENGTH)) {
            // A repeated field is joined to a list. A field that must not be repeated then has an
            // invalid value and is rejected when it is used.
            headers.put(key, previous + ", " + value);
        } else if (!previous.equals(value)) {
            // With two different lengths, the end of the message would be ambiguous.
            return new HttpParser.Malformed(400, "two lengths");
        }
        return null;
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
