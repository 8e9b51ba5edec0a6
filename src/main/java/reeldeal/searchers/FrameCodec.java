package reeldeal.searchers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import reeldeal.core.AttemptEnd;
import reeldeal.core.Effect;

/**
 * Encodes and decodes the frames exchanged with searchers. A frame has four bytes of length (most
 * significant first), one byte for the type, and the payload. Stateless; any thread may call it.
 */
final class FrameCodec {
    static final int LENGTH_BYTES = 4;
    static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Starts one or more shard requests in one call. */
    static final char QUERY = 'Q';

    /** Answers one shard request. */
    static final char ANSWER = 'A';

    /** Cancels a shard request. */
    static final char CANCEL = 'X';

    /** Requests a health check without a load report; the reply has the same type. */
    static final char PROBE = 'P';

    /** Requests a health check with a load report; the reply has the same type. */
    static final char LOAD = 'L';

    /** Reports that the searcher rejected a frame. */
    static final char ERROR = 'E';

    private static final int MAX_ANSWER_LINE_BYTES =
            4 * 1024; // the line that precedes the answer's value
    private static final Pattern SCORE =
            Pattern.compile("-|[-+]?[0-9]{1,40}([.][0-9]{0,40})?([eE][-+]?[0-9]{1,3})?");

    /**
     * The content of an {@link #ANSWER} frame. The load report is the unparsed text from the wire.
     */
    record Answer(String name, AttemptEnd end, String loadReport) {}

    private FrameCodec() {}

    /**
     * Decodes an {@link #ANSWER} frame that begins with its type. Returns null if it is malformed.
     * The load report is not parsed, since a malformed report does not invalidate its answer.
     */
    static Answer decodeAnswer(byte[] frame) {
        int lineEnd = 1;
        while (lineEnd < frame.length
                && lineEnd <= MAX_ANSWER_LINE_BYTES
                && frame[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd == frame.length || frame[lineEnd] != '\n') {
            return null;
        }
        String[] fields = new String(frame, 1, lineEnd - 1, StandardCharsets.UTF_8).split(" ", 4);
        if (fields.length != 4 || fields[0].isEmpty()) {
            return null;
        }
        AttemptEnd end =
                switch (fields[1]) {
                    case "ok" -> decodeServed(fields[2], frame, lineEnd + 1);
                    case "err" -> new AttemptEnd.Failed();
                    case "busy" -> new AttemptEnd.Rejected();
                    default -> null;
                };
        return end == null ? null : new Answer(fields[0], end, fields[3]);
    }

    private static AttemptEnd decodeServed(String scoreText, byte[] frame, int valueStart) {
        String value = decodeValue(frame, valueStart);
        if (value == null || !SCORE.matcher(scoreText).matches()) {
            return null;
        }
        double score = scoreText.equals("-") ? 0 : Double.parseDouble(scoreText);
        return new AttemptEnd.Served(score, value);
    }

    /**
     * Decodes a value as text. Returns null if it has control characters or is not UTF-8. This
     * detects random bytes, and a frame length that is too large: the value then contains the next
     * frame's length, which has bytes that do not occur in text.
     */
    private static String decodeValue(byte[] frame, int start) {
        for (int i = start; i < frame.length; i++) {
            if (isControlCharacter(frame[i])) {
                return null;
            }
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(frame, start, frame.length - start))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    private static boolean isControlCharacter(byte value) {
        return value >= 0 && value < ' ' && value != '\t' && value != '\n' && value != '\r';
    }

    /** Returns a frame's payload as text. */
    static String text(byte[] frame) {
        return new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
    }

    /**
     * Returns the name of a shard request on the wire: the request's name, a dot and the shard,
     * followed by {@code .f} in the fetch phase.
     */
    static String wireName(Effect.Send send) {
        return send.request().name() + "." + send.shard() + (send.queryPhase() == null ? "" : ".f");
    }

    /** Encodes one call, with the remaining time of each of its shard requests. */
    static ByteBuf encodeCall(List<Effect.Send> sends, double now) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(128 * sends.size());
        for (Effect.Send send : sends) {
            byte[] text = send.request().text().getBytes(StandardCharsets.UTF_8);
            payload.writeBytes(headerLine(send, text.length, now).getBytes(StandardCharsets.UTF_8));
            payload.writeBytes(text);
        }
        return encodeFrame(QUERY, payload.toByteArray());
    }

    private static String headerLine(Effect.Send send, int textBytes, double now) {
        StringBuilder line = new StringBuilder(96);
        line.append(wireName(send))
                .append(' ')
                .append(send.shard())
                .append(" d=")
                .append(Math.max(0, (long) send.remainingMs(now)));
        if (send.request().idempotencyKey() != null) {
            line.append(",k=").append(send.request().idempotencyKey());
        }
        if (send.queryPhase() != null) {
            line.append(",from=")
                    .append(
                            send.queryPhase().answeredShards().stream()
                                    .map(String::valueOf)
                                    .collect(Collectors.joining("+")))
                    .append(",whole=")
                    .append(send.queryPhase().complete() ? 1 : 0);
        }
        return line.append(' ').append(textBytes).append('\n').toString();
    }

    /** Encodes one frame, including its length. */
    static ByteBuf encodeFrame(char type, byte[] payload) {
        ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + 1 + payload.length);
        return frame.writeInt(1 + payload.length).writeByte(type).writeBytes(payload);
    }
}
