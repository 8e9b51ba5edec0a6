package reeldeal.dns;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A DNS message as a server reads it (RFC 1035, RFC 2136); every length is held against what there is. */
final class Message {
    static final int HEADER = 12;
    static final int OPCODE_UPDATE = 5;

    /** A question, or an update's zone. */
    record Question(String name, int type, int klass) { }

    /** Bytes that are no message. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String why) {
            super(why);
        }
    }

    final int id;
    final int opcode;
    final boolean response;
    final List<Question> questions = new ArrayList<>();
    /** An update's prerequisites, its updates, and additional records. */
    final List<List<Rr>> sections = new ArrayList<>();
    private final byte[] bytes;
    private int at = HEADER;

    private Message(byte[] bytes) {
        this.bytes = bytes;
        id = (bytes[0] & 0xff) << 8 | bytes[1] & 0xff;
        response = (bytes[2] & 0x80) != 0;
        opcode = bytes[2] >> 3 & 0xf;
    }

    /** Reads a message. A header alone is needed to answer, so callers check for that many bytes first. */
    static Message parse(byte[] bytes) throws Malformed {
        if (bytes.length < HEADER) {
            throw new Malformed("short header");
        }
        Message message = new Message(bytes);
        int questions = message.count(4);
        for (int i = 0; i < questions; i++) {
            String name = message.name();
            message.questions.add(new Question(name, message.u16(), message.u16()));
        }
        for (int section = 0; section < 3; section++) {
            List<Rr> records = new ArrayList<>();
            int count = message.count(6 + 2 * section);
            for (int i = 0; i < count; i++) {
                records.add(message.record());
            }
            message.sections.add(records);
        }
        if (message.at != bytes.length) {
            throw new Malformed("bytes after the message");
        }
        return message;
    }

    /** The answer to a message: its header with this code. */
    static byte[] answer(byte[] asked, int rcode) {
        byte[] answer = new byte[HEADER];
        System.arraycopy(asked, 0, answer, 0, 2);
        answer[2] = (byte) (asked[2] & 0x78 | 0x80);
        answer[3] = (byte) rcode;
        return answer;
    }

    private int count(int offset) {
        return (bytes[offset] & 0xff) << 8 | bytes[offset + 1] & 0xff;
    }

    private void need(int from, int length, int limit) throws Malformed {
        if (length < 0 || from + length > limit) {
            throw new Malformed("ends early");
        }
    }

    private int u16() throws Malformed {
        need(at, 2, bytes.length);
        at += 2;
        return (bytes[at - 2] & 0xff) << 8 | bytes[at - 1] & 0xff;
    }

    private Rr record() throws Malformed {
        String name = name();
        int type = u16();
        int klass = u16();
        long ttl = (long) u16() << 16 | u16();
        int length = u16();
        need(at, length, bytes.length);
        int end = at + length;
        byte[] data = length == 0 ? new byte[0] : data(type, end);
        if (at != end) {
            throw new Malformed("data of another length");
        }
        return new Rr(name, type, klass, ttl, data);
    }

    /** A record's data, with names in them made whole. */
    private byte[] data(int type, int end) throws Malformed {
        int fixedBefore = type == Rr.MX ? 2 : type == Rr.SRV ? 6 : 0;
        int names = switch (type) {
            case Rr.NS, Rr.CNAME, Rr.PTR, Rr.MX, Rr.SRV -> 1;
            case Rr.SOA -> 2;
            default -> 0;
        };
        if (names == 0) {
            boolean fits = switch (type) {
                case Rr.A -> end - at == 4;
                case Rr.AAAA -> end - at == 16;
                case Rr.TXT -> textFits(end);
                default -> true;
            };
            if (!fits) {
                throw new Malformed("data that do not fit the type");
            }
            byte[] data = Arrays.copyOfRange(bytes, at, end);
            at = end;
            return data;
        }
        need(at, fixedBefore, end);
        byte[] data = Arrays.copyOfRange(bytes, at, at + fixedBefore);
        at += fixedBefore;
        for (int i = 0; i < names; i++) {
            byte[] name = Names.wire(name());
            data = join(data, name, 0, name.length);
        }
        if (type == Rr.SOA) {
            need(at, 20, end);
            data = join(data, bytes, at, 20);
            at += 20;
        }
        return data;
    }

    private boolean textFits(int end) {
        int i = at;
        while (i < end) {
            i += 1 + (bytes[i] & 0xff);
        }
        return i == end;
    }

    private static byte[] join(byte[] first, byte[] second, int from, int length) {
        byte[] both = Arrays.copyOf(first, first.length + length);
        System.arraycopy(second, from, both, first.length, length);
        return both;
    }

    /** A name; what it points to must lie before it, so that no pointers go round. */
    private String name() throws Malformed {
        StringBuilder name = new StringBuilder();
        int i = at;
        int behind = -1;
        int lowest = at;
        int length = 1;
        while (true) {
            need(i, 1, bytes.length);
            int label = bytes[i] & 0xff;
            if (label == 0) {
                at = behind < 0 ? i + 1 : behind;
                return name.length() == 0 ? "." : name.toString();
            } else if (label >= 0xc0) {
                need(i, 2, bytes.length);
                int target = (label & 0x3f) << 8 | bytes[i + 1] & 0xff;
                behind = behind < 0 ? i + 2 : behind;
                if (target < HEADER || target >= lowest) {
                    throw new Malformed("a pointer that leads nowhere");
                }
                lowest = target;
                i = target;
            } else if (label > Names.MAX_LABEL) {
                throw new Malformed("an unknown kind of label");
            } else {
                need(i + 1, label, bytes.length);
                length += 1 + label;
                if (length > Names.MAX_NAME) {
                    throw new Malformed("name too long");
                }
                Names.label(name, bytes, i + 1, label);
                i += 1 + label;
            }
        }
    }
}
