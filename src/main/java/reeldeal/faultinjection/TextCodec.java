package reeldeal.faultinjection;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Converts between bytes on a connection and the text form that test doubles use: an HTTP message
 * as the first words of its start line and its body, a frame, or hexadecimal.
 */
public final class TextCodec {
    private TextCodec() {}

    /** Reads the head of an HTTP message, or returns null at the end of the stream. */
    public static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads an HTTP message. Returns a response as {@code STATUS [retry-after=T] BODY}, a request
     * as {@code METHOD TARGET BODY}, and {@code EOF} at the end of the stream.
     */
    public static String readHttp(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return "EOF";
        }
        int length = 0;
        String retryAfter = "";
        String[] lines = head.split("\r\n");
        for (String line : lines) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring(16));
            } else if (line.startsWith("Retry-After: ")) {
                retryAfter = " retry-after=" + line.substring(13);
            }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] startLine = lines[0].split(" ");
        return (startLine[0].startsWith("HTTP") ? startLine[1] : startLine[0] + " " + startLine[1])
                + retryAfter
                + " "
                + body;
    }

    /** Returns the bytes of an HTTP request with a body. */
    public static byte[] request(String method, String target, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return (method
                        + " "
                        + target
                        + " HTTP/1.1\r\nHost: api.internal\r\n"
                        + headers
                        + "Content-Length: "
                        + bytes.length
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the bytes of an HTTP response with a body. */
    public static byte[] response(int status, String body) {
        return ("HTTP/1.1 "
                        + status
                        + " X\r\nContent-Length: "
                        + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a frame. Returns its kind letter, a space and its payload, or {@code EOF} at the end of
     * the stream.
     */
    public static String frame(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return "EOF";
        }
        DataInputStream data = new DataInputStream(in);
        int length = first << 24 | data.readUnsignedByte() << 16 | data.readUnsignedShort();
        byte[] frame = data.readNBytes(length);
        return (char) frame[0] + " " + new String(frame, 1, length - 1, StandardCharsets.UTF_8);
    }

    /** Returns the bytes of a frame, given as its kind letter, a space and its payload. */
    public static byte[] frame(String text) {
        byte[] payload = text.substring(2).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(5 + payload.length)
                .putInt(1 + payload.length)
                .put((byte) text.charAt(0))
                .put(payload)
                .array();
    }

    /**
     * Reads a message that begins with its length in two bytes, and returns the rest as
     * hexadecimal.
     */
    public static String hex(InputStream in) throws IOException {
        DataInputStream data = new DataInputStream(in);
        return HexFormat.of().formatHex(data.readNBytes(data.readUnsignedShort()));
    }

    /**
     * Returns a message that begins with its length in two bytes, given as hexadecimal with quoted
     * text.
     */
    public static byte[] hex(String text) {
        byte[] message = bytes(text);
        return ByteBuffer.allocate(2 + message.length)
                .putShort((short) message.length)
                .put(message)
                .array();
    }

    /** Parses hexadecimal in which text between quotes stands for its Latin-1 bytes. */
    public static byte[] bytes(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String[] pieces = text.split("\"", -1);
        for (int i = 0; i < pieces.length; i++) {
            out.writeBytes(
                    i % 2 == 1
                            ? pieces[i].getBytes(StandardCharsets.ISO_8859_1)
                            : HexFormat.of().parseHex(pieces[i].replace(" ", "")));
        }
        return out.toByteArray();
    }
}
