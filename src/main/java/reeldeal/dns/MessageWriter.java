package reeldeal.dns;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import reeldeal.dns.Types.Field;

/** Writes one message with compressed names (RFC 1035, section 4.1.4), up to a size limit. */
public final class MessageWriter {
    private static final int MAX_POINTER = 0x3fff;
    private static final int OPT_BYTES = 11;

    private final Map<String, Integer> nameOffsets = new HashMap<>();
    private final int[] counts = new int[4];
    private byte[] bytes = new byte[512];
    private int position = Message.HEADER_BYTES;
    private int limit;
    private int flags;

    /** Starts a message of at most {@code limit} bytes, 512 to 65,535. */
    public MessageWriter(int id, int flags, int limit) {
        this.flags = flags;
        this.limit = limit;
        bytes[0] = (byte) (id >> 8);
        bytes[1] = (byte) id;
    }

    /** Starts the response to a request, repeating its question byte for byte. */
    static MessageWriter answer(Message request, int rcode, int limit) {
        MessageWriter writer =
                new MessageWriter(
                        request.id,
                        (request.flags & (0xf << 11 | Message.RD)) | Message.QR | (rcode & 0xf),
                        limit);
        byte[] question = request.question();
        if (question.length > 0) {
            writer.ensureCapacity(question.length);
            System.arraycopy(question, 0, writer.bytes, writer.position, question.length);
            writer.counts[0] = 1;
            writer.recordSuffixes(request.questions.get(0).name(), writer.position);
            writer.position += question.length;
        }
        return writer;
    }

    /**
     * Records the offsets of an uncompressed name and of each of its suffixes, as targets for
     * compression pointers.
     */
    private void recordSuffixes(String name, int offset) {
        int suffixOffset = offset;
        for (String suffix = name; !suffix.equals("."); suffix = Names.parent(suffix)) {
            if (suffixOffset <= MAX_POINTER) {
                nameOffsets.putIfAbsent(suffix, suffixOffset);
            }
            suffixOffset += 1 + Names.wire(suffix)[0];
        }
    }

    /** Adds an entry to the question section. */
    public MessageWriter question(String name, int type, int recordClass) {
        writeName(name);
        writeU16(type);
        writeU16(recordClass);
        counts[0]++;
        return this;
    }

    void setFlag(int flag) {
        flags |= flag;
    }

    /** Reserves bytes at the end of the message for the OPT and TSIG records. */
    void reserve(int reservedBytes) {
        limit -= reservedBytes;
    }

    /** Adds a record to a section, 1 to 3. Returns false and adds nothing if it does not fit. */
    public boolean add(int section, Rr record) {
        int start = position;
        if (!writeRecord(record)) {
            rollBack(start);
            return false;
        }
        counts[section]++;
        return true;
    }

    /** Adds all records of a set, or returns false and adds nothing if they do not fit. */
    boolean add(int section, String name, int type, int recordClass, RrSet set) {
        int start = position;
        for (byte[] data : set.data()) {
            if (!writeRecord(new Rr(name, type, recordClass, set.ttl(), data))) {
                rollBack(start);
                return false;
            }
        }
        counts[section] += set.data().size();
        return true;
    }

    private void rollBack(int start) {
        position = start;
        nameOffsets.values().removeIf(offset -> offset >= start);
    }

    private boolean writeRecord(Rr rr) {
        writeName(rr.name());
        writeU16(rr.type());
        writeU16(rr.recordClass());
        writeU16((int) (rr.ttl() >> 16));
        writeU16((int) rr.ttl());
        int lengthOffset = position;
        writeU16(0);
        Field[] fields = rr.data().length == 0 ? null : Types.fields(rr.type());
        boolean hasCompressibleName = fields != null && Arrays.asList(fields).contains(Field.NAME);
        if (!hasCompressibleName) {
            writeBytes(rr.data(), 0, rr.data().length);
        } else {
            writeData(fields, rr.data());
        }
        int length = position - lengthOffset - 2;
        bytes[lengthOffset] = (byte) (length >> 8);
        bytes[lengthOffset + 1] = (byte) length;
        return position <= limit;
    }

    /**
     * Writes the data of a type of RFC 1035 that contains names; only these names may be
     * compressed.
     */
    private void writeData(Field[] fields, byte[] data) {
        int dataOffset = 0;
        for (Field field : fields) {
            if (field == Field.NAME) {
                writeName(Names.text(data, dataOffset));
                while (data[dataOffset] != 0) {
                    dataOffset += 1 + data[dataOffset];
                }
                dataOffset++;
            } else {
                int length = field == Field.U8 ? 1 : field == Field.U16 ? 2 : 4;
                writeBytes(data, dataOffset, length);
                dataOffset += length;
            }
        }
    }

    private void writeName(String name) {
        String suffix = name;
        while (!suffix.equals(".")) {
            Integer offset = nameOffsets.get(suffix);
            if (offset != null) {
                writeU16(0xc000 | offset);
                return;
            }
            if (position <= MAX_POINTER) {
                nameOffsets.put(suffix, position);
            }
            byte[] wire = Names.wire(suffix);
            writeBytes(wire, 0, 1 + wire[0]);
            suffix = Names.parent(suffix);
        }
        writeBytes(new byte[1], 0, 1);
    }

    /**
     * Adds the sender's OPT record (RFC 6891) in the space reserved for it; the record carries the
     * upper bits of {@code rcode}.
     */
    public void edns(int udpSize, int rcode, boolean dnssecOk) {
        limit += OPT_BYTES;
        writeRecord(
                new Rr(
                        ".",
                        Rr.OPT,
                        udpSize,
                        (long) (rcode >> 4) << 24 | (dnssecOk ? 0x8000 : 0),
                        new byte[0]));
        counts[3]++;
    }

    private void ensureCapacity(int additionalBytes) {
        if (position + additionalBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(position + additionalBytes, bytes.length * 2));
        }
    }

    private void writeBytes(byte[] source, int start, int length) {
        ensureCapacity(length);
        System.arraycopy(source, start, bytes, position, length);
        position += length;
    }

    private void writeU16(int value) {
        ensureCapacity(2);
        bytes[position++] = (byte) (value >> 8);
        bytes[position++] = (byte) value;
    }

    /** Returns the number of bytes written so far. */
    public int size() {
        return position;
    }

    /** Returns the message with its header completed. */
    public byte[] toBytes() {
        bytes[2] = (byte) (flags >> 8);
        bytes[3] = (byte) flags;
        for (int i = 0; i < 4; i++) {
            bytes[4 + 2 * i] = (byte) (counts[i] >> 8);
            bytes[5 + 2 * i] = (byte) counts[i];
        }
        return Arrays.copyOf(bytes, position);
    }
}
