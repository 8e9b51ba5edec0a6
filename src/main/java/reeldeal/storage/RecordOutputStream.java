package reeldeal.storage;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;

/**
 * Writes the one record of a new file, in the form of {@link ChecksummedRecords}, without holding
 * the record in memory. The header, which holds the length and the checksum, is written last, by
 * {@link #finish}. The caller flushes and closes the channel.
 */
final class RecordOutputStream extends OutputStream {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final DurableFiles files;
    private final FileChannel channel;
    private final CRC32C checksum = new CRC32C();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int buffered;
    private int length;

    /** Creates the stream of an empty file. */
    RecordOutputStream(DurableFiles files, FileChannel channel) {
        this.files = files;
        this.channel = channel;
    }

    @Override
    public void write(int value) throws IOException {
        if (length + buffered == ChecksummedRecords.MAX_BYTES) {
            throw new IOException(
                    "a record is larger than " + ChecksummedRecords.MAX_BYTES + " bytes");
        }
        buffer[buffered] = ChecksummedRecords.scramble((byte) value, length + buffered);
        buffered++;
        if (buffered == BUFFER_BYTES) {
            writeBuffer();
        }
    }

    @Override
    public void write(byte[] bytes, int offset, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            write(bytes[offset + i]);
        }
    }

    private void writeBuffer() throws IOException {
        checksum.update(buffer, 0, buffered);
        files.write(channel, buffer, buffered, ChecksummedRecords.HEADER_BYTES + (long) length);
        length += buffered;
        buffered = 0;
    }

    /** Writes what is left of the record, and its header. */
    void finish() throws IOException {
        writeBuffer();
        byte[] header = ChecksummedRecords.header(length, (int) checksum.getValue());
        files.write(channel, header, header.length, 0);
    }
}
