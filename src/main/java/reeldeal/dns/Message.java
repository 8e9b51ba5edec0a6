package reeldeal.dns;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import reeldeal.dns.Types.Field;

/**
 * A parsed DNS message (RFC 1035, section 4; RFC 6891; RFC 8945). Every length is checked against
 * the available bytes, and a compression pointer may only point backwards, so parsing always
 * terminates.
 */
public final class Message {
    /** Size of the header in bytes; any message of at least this size can be answered. */
    public static final int HEADER_BYTES = 12;

    public static final int QUERY = 0;
    public static final int NOTIFY = 4;
    public static final int UPDATE = 5;
    private static final int MAX_POINTERS = 127;
    static final int QR = 0x8000;
    static final int AA = 0x0400;
    static final int TC = 0x0200;
    static final int RD = 0x0100;

    /** An entry of the question section, or of the zone section of an update. */
    public record Question(String name, int type, int recordClass) {}

    /**
     * The contents of the sender's OPT record (RFC 6891): the largest UDP answer it accepts in
     * bytes, the EDNS version and the DO bit.
     */
    public record Edns(int udpSize, int version, boolean dnssecOk) {}

    /** Thrown for bytes that are not a valid DNS message. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String reason) {
            // No stack trace: random or hostile input must stay cheap to reject.
            super(reason, null, false, false);
        }
    }

    public final int id;
    public final int opcode;
    public final boolean response;
    public final List<Question> questions = new ArrayList<>();

    /**
     * The answer, authority and additional sections; in an update the prerequisite, update and
     * additional sections. OPT and TSIG records are left out.
     */
    public final List<List<Rr>> sections = new ArrayList<>();

    final int flags;
    private Edns edns;
    private Rr tsig;
    private int tsigOffset = -1;
    private int questionEnd = HEADER_BYTES;
    private final byte[] bytes;
    private final boolean pointersAllowed;
    private int position;

    private Message(byte[] bytes, int position, boolean pointersAllowed) {
        this.bytes = bytes;
        this.position = position;
        this.pointersAllowed = pointersAllowed;
        flags = pointersAllowed ? (bytes[2] & 0xff) << 8 | (bytes[3] & 0xff) : 0;
        id = pointersAllowed ? (bytes[0] & 0xff) << 8 | (bytes[1] & 0xff) : 0;
        response = (flags & QR) != 0;
        opcode = flags >> 11 & 0xf;
    }

    /** Parses a message. */
    public static Message parse(byte[] bytes) throws Malformed {
        if (bytes.length < HEADER_BYTES) {
            throw new Malformed("header shorter than 12 bytes");
        }
        Message message = new Message(bytes, HEADER_BYTES, true);
        int questions = message.readCount(4);
        for (int i = 0; i < questions; i++) {
            String name = message.readName();
            message.questions.add(new Question(name, message.readU16(), message.readU16()));
        }
        message.questionEnd = message.position;
        for (int section = 0; section < 3; section++) {
            List<Rr> records = new ArrayList<>();
            int count = message.readCount(6 + 2 * section);
            for (int i = 0; i < count; i++) {
                int recordStart = message.position;
                Rr record = message.readRecord();
                if (record.type() == Rr.OPT) {
                    message.readOpt(record, section);
                } else if (record.type() == Rr.TSIG) {
                    // RFC 8945, section 5.1: only one, as the last record of the additional
                    // section.
                    if (section != 2 || i != count - 1 || record.recordClass() != Rr.ANY) {
                        throw new Malformed(
                                "TSIG record out of place: expected the last additional record, class ANY");
                    }
                    message.tsig = record;
                    message.tsigOffset = recordStart;
                } else {
                    records.add(record);
                }
            }
            message.sections.add(records);
        }
        if (message.position != bytes.length) {
            throw new Malformed("unexpected bytes after the last record");
        }
        return message;
    }

    private void readOpt(Rr record, int section) throws Malformed {
        // RFC 6891, section 6.1.1: at most one, in the additional section, owned by the root.
        if (section != 2 || edns != null || !record.name().equals(".")) {
            throw new Malformed(
                    "OPT record out of place: expected one in the additional section, at the root");
        }
        edns =
                new Edns(
                        record.recordClass(),
                        (int) (record.ttl() >> 16 & 0xff),
                        (record.ttl() & 0x8000) != 0);
    }

    /** Returns the contents of the sender's OPT record, or null if there is none. */
    public Edns edns() {
        return edns;
    }

    /** Returns the TSIG record, or null if the message is unsigned. */
    Rr tsig() {
        return tsig;
    }

    /** Returns the offset of the TSIG record, or -1 if the message is unsigned. */
    int tsigOffset() {
        return tsigOffset;
    }

    /** Returns the response code in the header, without the upper bits in the OPT record. */
    public int rcode() {
        return flags & 0xf;
    }

    /** Returns whether the answer was truncated (the TC bit). */
    public boolean truncated() {
        return (flags & TC) != 0;
    }

    /** Returns the message as received. */
    byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the bytes of the question as received, so that a response can repeat it in the same
     * letter case; empty unless there is exactly one question.
     */
    byte[] question() {
        return questions.size() == 1
                ? Arrays.copyOfRange(bytes, HEADER_BYTES, questionEnd)
                : new byte[0];
    }

    /** Returns the answer section, or the prerequisite section of an update. */
    public List<Rr> answers() {
        return sections.get(0);
    }

    /**
     * Parses uncompressed record data and returns it with names in lower case, or null if it is not
     * valid data of the type.
     */
    static byte[] canonicalData(int type, byte[] data) {
        Message message = new Message(data, 0, false);
        try {
            byte[] canonical = message.readData(type, data.length);
            return message.position == data.length ? canonical : null;
        } catch (Malformed e) {
            return null;
        }
    }

    private int readCount(int offset) {
        return (bytes[offset] & 0xff) << 8 | (bytes[offset + 1] & 0xff);
    }

    private void requireBytes(int offset, int length, int limit) throws Malformed {
        if (length < 0 || offset + length > limit) {
            throw new Malformed("unexpected end of data");
        }
    }

    private int readU16() throws Malformed {
        requireBytes(position, 2, bytes.length);
        position += 2;
        return (bytes[position - 2] & 0xff) << 8 | (bytes[position - 1] & 0xff);
    }

    private Rr readRecord() throws Malformed {
        String name = readName();
        int type = readU16();
        int recordClass = readU16();
        long ttl = (long) readU16() << 16 | readU16();
        if (type != Rr.OPT && ttl > 0x7fffffffL) {
            ttl = 0; // RFC 2181, section 8
        }
        int length = readU16();
        requireBytes(position, length, bytes.length);
        int end = position + length;
        byte[] data = length == 0 ? new byte[0] : readData(type, end);
        if (position != end) {
            throw new Malformed("record data does not match its length field");
        }
        return new Rr(name, type, recordClass, ttl, data);
    }

    /** Reads the data of a record up to {@code end} and returns it with the names uncompressed. */
    private byte[] readData(int type, int end) throws Malformed {
        Field[] fields = Types.fields(type);
        if (fields == null) {
            byte[] data = Arrays.copyOfRange(bytes, position, end);
            position = end;
            return data;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(end - position + 16);
        for (Field field : fields) {
            switch (field) {
                case NAME, PLAIN_NAME -> {
                    out.writeBytes(Names.wire(readName()));
                    requireBytes(position, 0, end);
                }
                case U8 -> copyBytes(out, 1, end);
                case U16 -> copyBytes(out, 2, end);
                case U32, TIME, IPV4 -> copyBytes(out, 4, end);
                case IPV6 -> copyBytes(out, 16, end);
                case STRING -> copyString(out, end);
                case STRINGS -> {
                    copyString(out, end);
                    while (position < end) {
                        copyString(out, end);
                    }
                }
                case HEX, BASE64, TEXT -> copyBytes(out, end - position, end);
                case SERVICES -> {
                    copyBytes(out, 1, end);
                    copyBytes(out, end - position, end);
                }
                default -> throw new IllegalStateException(field.name());
            }
        }
        return out.toByteArray();
    }

    private void copyString(ByteArrayOutputStream out, int end) throws Malformed {
        requireBytes(position, 1, end);
        copyBytes(out, 1 + (bytes[position] & 0xff), end);
    }

    private void copyBytes(ByteArrayOutputStream out, int length, int end) throws Malformed {
        requireBytes(position, length, end);
        out.write(bytes, position, length);
        position += length;
    }

    /**
     * Reads a name, following compression pointers. Each pointer must point before the lowest
     * offset read so far, so that pointers cannot form a loop.
     */
    private String readName() throws Malformed {
        StringBuilder name = new StringBuilder(32);
        int offset = position;
        int endOfName = -1;
        int lowestOffset = position;
        int nameLength = 1;
        int pointersFollowed = 0;
        while (true) {
            requireBytes(offset, 1, bytes.length);
            int lengthByte = bytes[offset] & 0xff;
            if (lengthByte == 0) {
                position = endOfName < 0 ? offset + 1 : endOfName;
                return name.length() == 0 ? "." : name.toString();
            } else if (lengthByte >= 0xc0) {
                requireBytes(offset, 2, bytes.length);
                int target = (lengthByte & 0x3f) << 8 | (bytes[offset + 1] & 0xff);
                endOfName = endOfName < 0 ? offset + 2 : endOfName;
                // A name has at most 127 labels, so a longer chain of pointers only costs time.
                if (!pointersAllowed
                        || target < HEADER_BYTES
                        || target >= lowestOffset
                        || ++pointersFollowed > MAX_POINTERS) {
                    throw new Malformed("invalid compression pointer");
                }
                lowestOffset = target;
                offset = target;
            } else if (lengthByte > Names.MAX_LABEL) {
                throw new Malformed("unknown label type");
            } else {
                requireBytes(offset + 1, lengthByte, bytes.length);
                nameLength += 1 + lengthByte;
                if (nameLength > Names.MAX_NAME) {
                    throw new Malformed("name longer than 255 bytes");
                }
                Names.appendLabel(name, bytes, offset + 1, lengthByte);
                offset += 1 + lengthByte;
            }
        }
    }
}
