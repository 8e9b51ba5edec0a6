package reeldeal.searchers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import reeldeal.core.AttemptEnd;
import reeldeal.core.Effect;

/** The searchers' frames: four bytes of length, a letter, the rest. */
final class Frames {
    static final int MAX_FRAME = 256 * 1024;

    /** What an {@code A} frame says. */
    record Answer(String id, AttemptEnd end, String report) { }

    private Frames() { }

    /** Reads an {@code A} frame, its letter included, or returns null where it is malformed. */
    static Answer answer(byte[] rest) {
        int line = 1;
        while (line < rest.length && rest[line] != '\n') {
            line++;
        }
        String[] words = new String(rest, 1, line - 1, StandardCharsets.UTF_8).split(" ");
        if (line == rest.length || words.length != 4) {
            return null;
        }
        String value = new String(rest, line + 1, rest.length - line - 1, StandardCharsets.UTF_8);
        switch (words[1]) {
            case "ok":
                try {
                    return new Answer(words[0],
                            new AttemptEnd.Served(words[2].equals("-") ? 0 : Double.parseDouble(words[2]), value),
                            words[3]);
                } catch (NumberFormatException e) {
                    return null;
                }
            case "err":
                return new Answer(words[0], new AttemptEnd.Erred(), words[3]);
            case "busy":
                return new Answer(words[0], new AttemptEnd.TurnedAway(), words[3]);
            default:
                return null;
        }
    }

    /** A part's name on the wire: its query's, a dot and the shard, and a mark in a second step. */
    static String partName(Effect.Send send) {
        return send.request().name() + "." + send.shard() + (send.first() == null ? "" : ".f");
    }

    /** One call. */
    static ByteBuf call(List<Effect.Send> sends) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream(128 * sends.size());
        for (Effect.Send send : sends) {
            byte[] text = send.request().text().getBytes(StandardCharsets.UTF_8);
            StringBuilder line = new StringBuilder(96);
            line.append(partName(send)).append(' ').append(send.shard()).append(" d=")
                    .append(Math.max(0, (long) send.waitMs()));
            if (send.request().idempotencyKey() != null) {
                line.append(",k=").append(send.request().idempotencyKey());
            }
            if (send.first() != null) {
                line.append(",from=").append(send.first().in().stream().map(String::valueOf)
                        .collect(Collectors.joining("+"))).append(",whole=").append(send.first().whole() ? 1 : 0);
            }
            line.append(' ').append(text.length).append('\n');
            rest.writeBytes(line.toString().getBytes(StandardCharsets.UTF_8));
            rest.writeBytes(text);
        }
        return frame('Q', rest.toByteArray());
    }

    /** A frame. */
    static ByteBuf frame(char letter, byte[] rest) {
        ByteBuf out = Unpooled.buffer(5 + rest.length);
        return out.writeInt(1 + rest.length).writeByte(letter).writeBytes(rest);
    }
}
