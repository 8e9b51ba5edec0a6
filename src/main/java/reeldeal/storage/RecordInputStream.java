package reeldeal.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.CRC32C;

/**
 * Reads the content of the first record of a file, in the form of {@link ChecksummedRecords},
 * without holding the record in memory. The checksum is known only at the end: the caller must read
 * all bytes and then ask {@link #matchesChecksum}.
 */
final class RecordInputStream extends InputStream {
    private final InputStream file;
    private final ChecksummedRecords.Header header;
    private final CRC32C checksum = new CRC32C();
    private int offset;

    /**
     * Reads the record's header.
     *
     * @param fileBytes the size of the file
     * @throws IOException if the file does not begin with a complete record
     */
    RecordInputStream(InputStream file, long fileBytes) throws IOException {
        this.file = file;
        byte[] headerBytes = new DataInputStream(file).readNBytes(ChecksummedRecords.HEADER_BYTES);
        if (headerBytes.length < ChecksummedRecords.HEADER_BYTES) {
            throw new IOException("the file ends within a record's header");
        }
        header = ChecksummedRecords.Header.read(headerBytes, 0);
        if (!header.isValid() || header.end(0) > fileBytes) {
            throw new IOException("the file does not begin with a complete record");
        }
    }

    /** Returns whether the bytes, all of which must have been read, match their checksum. */
    boolean matchesChecksum() {
        return offset == header.length() && (int) checksum.getValue() == header.checksum();
    }

    @Override
    public int available() {
        return header.length() - offset;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int start, int maxBytes) throws IOException {
        if (available() == 0) {
            return maxBytes == 0 ? 0 : -1;
        }
        int count = file.read(target, start, Math.min(maxBytes, available()));
        if (count < 0) {
            throw new IOException("the file ends within a record");
        }
        checksum.update(target, start, count);
        for (int i = start; i < start + count; i++) {
            target[i] = ChecksummedRecords.scramble(target[i], offset);
            offset++;
        }
        return count;
    }
}
