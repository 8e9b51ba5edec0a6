package reeldeal.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the records of a file: {@code length, header checksum, checksum, bytes},
 * where each checksum is a CRC32C. A read that finds no valid record distinguishes three cases: the
 * end of the file, a torn tail and damage. A record that extends past the end of the file, or whose
 * part within some sector is all zeros, was being written when the power failed: a torn tail. A
 * record that is complete but has a wrong checksum was changed after it was written: damage,
 * because a sector is written as a unit. The bytes are scrambled so that a run of zeros means
 * "never written".
 *
 * <p>Pure functions of byte arrays.
 */
final class ChecksummedRecords {
    /** The size of the three numbers before a record's bytes. */
    static final int HEADER_BYTES = 12;

    /** The maximum size of a record's content. */
    static final int MAX_BYTES = 64 << 20;

    private static final int SECTOR_BYTES = 512;

    /** A shorter run of zeros in a sector may be part of the written data. */
    private static final int MIN_ZERO_BYTES = 4;

    private static final int LENGTH_MASK = 0x5a5a5a5a;
    private static final int SCRAMBLE_FACTOR = 0x9e3779b1;

    /** The kinds of content that a read can find at an offset. */
    enum Kind {
        RECORD,
        END,
        TORN,
        DAMAGED
    }

    /**
     * The result of a read. {@code bytes} is null unless it found a record, {@code damage} unless
     * it found damage.
     */
    record ReadResult(Kind kind, byte[] bytes, String damage) {
        private static final ReadResult END = new ReadResult(Kind.END, null, null);
        private static final ReadResult TORN = new ReadResult(Kind.TORN, null, null);

        private static ReadResult damaged(String damage) {
            return new ReadResult(Kind.DAMAGED, null, damage);
        }
    }

    /** The numbers before a record's bytes. */
    record Header(int length, int headerChecksum, int checksum) {
        static Header read(byte[] fileBytes, int offset) {
            ByteBuffer in = ByteBuffer.wrap(fileBytes, offset, HEADER_BYTES);
            return new Header(in.getInt() ^ LENGTH_MASK, in.getInt(), in.getInt());
        }

        boolean isValid() {
            return length >= 0
                    && length <= MAX_BYTES
                    && headerChecksum == headerChecksumOf(length, checksum);
        }

        /** Returns the offset at which the record ends if its header is at {@code offset}. */
        long end(int offset) {
            return offset + HEADER_BYTES + (long) length;
        }
    }

    private ChecksummedRecords() {}

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    private static int headerChecksumOf(int length, int checksum) {
        return checksum(ByteBuffer.allocate(8).putInt(length).putInt(checksum).array(), 0, 8);
    }

    /** Scrambles the byte at an index of a record; applied twice, it returns the original byte. */
    static byte scramble(byte value, int index) {
        return (byte) (value ^ ((index + 1) * SCRAMBLE_FACTOR) >>> 24);
    }

    /** Returns the header of a record whose scrambled bytes have this length and checksum. */
    static byte[] header(int length, int checksum) {
        return ByteBuffer.allocate(HEADER_BYTES)
                .putInt(length ^ LENGTH_MASK)
                .putInt(headerChecksumOf(length, checksum))
                .putInt(checksum)
                .array();
    }

    /** Scrambles bytes; applied twice, it returns the original bytes. */
    private static byte[] scramble(byte[] bytes, int offset, int length) {
        byte[] scrambled = new byte[length];
        for (int i = 0; i < length; i++) {
            scrambled[i] = scramble(bytes[offset + i], i);
        }
        return scrambled;
    }

    /** Returns a record with these bytes, in the form that is written to disk. */
    static byte[] encode(byte[] bytes) {
        byte[] scrambled = scramble(bytes, 0, bytes.length);
        int checksum = checksum(scrambled, 0, scrambled.length);
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                .put(header(bytes.length, checksum))
                .put(scrambled)
                .array();
    }

    /** Whether there is a valid header at an offset, whose record ends within the file. */
    static boolean beginsAt(byte[] fileBytes, int offset) {
        if (fileBytes.length - offset < HEADER_BYTES) {
            return false;
        }
        Header header = Header.read(fileBytes, offset);
        return header.isValid() && header.end(offset) <= fileBytes.length;
    }

    /** Reads the record at an offset of a file's bytes, or determines why there is none. */
    static ReadResult read(byte[] fileBytes, int offset) {
        if (offset == fileBytes.length) {
            return ReadResult.END;
        }
        if (fileBytes.length - offset < HEADER_BYTES) {
            return ReadResult.TORN;
        }
        Header header = Header.read(fileBytes, offset);
        int start = offset + HEADER_BYTES;
        if (!header.isValid()) {
            return hasUnwrittenSector(fileBytes, offset, start)
                    ? ReadResult.TORN
                    : ReadResult.damaged("a record's header does not match its checksum");
        }
        if (header.end(offset) > fileBytes.length) {
            return ReadResult.TORN;
        }
        if (checksum(fileBytes, start, header.length()) != header.checksum()) {
            return hasUnwrittenSector(fileBytes, offset, start + header.length())
                    ? ReadResult.TORN
                    : ReadResult.damaged("a record's bytes do not match their checksum");
        }
        return new ReadResult(Kind.RECORD, scramble(fileBytes, start, header.length()), null);
    }

    /** Whether the part of some sector that lies between these offsets is all zeros. */
    private static boolean hasUnwrittenSector(byte[] fileBytes, int from, int to) {
        int start = from;
        while (start < to) {
            int end = Math.min(to, (start / SECTOR_BYTES + 1) * SECTOR_BYTES);
            if (end - start >= MIN_ZERO_BYTES && isZero(fileBytes, start, end)) {
                return true;
            }
            start = end;
        }
        return false;
    }

    private static boolean isZero(byte[] bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
