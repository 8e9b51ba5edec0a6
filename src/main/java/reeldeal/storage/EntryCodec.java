package reeldeal.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;

/**
 * Encodes a log entry as the bytes of a record. The entry is preceded by the number of bytes of its
 * file that were flushed before it was written.
 */
final class EntryCodec {
    private static final int TYPICAL_OVERHEAD_BYTES = 48;

    private EntryCodec() {}

    static byte[] encode(long flushedBytes, Entry entry) throws IOException {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(TYPICAL_OVERHEAD_BYTES + entry.data().length);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(flushedBytes);
        out.writeLong(entry.index());
        out.writeLong(entry.term());
        out.writeBoolean(entry.configuration() != null);
        if (entry.configuration() != null) {
            entry.configuration().writeTo(out);
        }
        out.write(entry.data());
        return bytes.toByteArray();
    }

    static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        in.readLong(); // the flushed bytes, which flushedBytes reads
        long index = in.readLong();
        long term = in.readLong();
        GroupConfiguration configuration =
                in.readBoolean() ? GroupConfiguration.readFrom(in) : null;
        return new Entry(index, term, in.readAllBytes(), configuration);
    }

    /**
     * Returns how many bytes of the file were flushed before an entry was written, or 0 if the
     * record is too short to contain the number.
     */
    static long flushedBytes(byte[] bytes) {
        return bytes.length < Long.BYTES ? 0 : ByteBuffer.wrap(bytes).getLong();
    }
}
