package reeldeal.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** Reads batches of event records from the simulator. */
final class BatchReader {
    private static final int HEADER_BYTES = 20;

    /**
     * One batch: its records, and a tail with variable-length content that the records refer to.
     *
     * @param number number of the batch, which its reply repeats
     * @param now the simulator's time in milliseconds
     * @param count number of records
     * @param body the records, followed by the tail
     */
    record Batch(int number, double now, int count, ByteBuffer body) {
        /** Returns the record with this index, from 0. */
        EventRecord event(int index) {
            return new EventRecord(this, index);
        }
    }

    private final InputStream in;

    BatchReader(InputStream in) {
        this.in = in;
    }

    /**
     * Returns the next batch, or null at the end of the input.
     *
     * @throws MalformedBatchException if the batch is truncated, or its length is too small for the
     *     number of its records
     */
    Batch next() throws IOException {
        byte[] headerBytes = in.readNBytes(HEADER_BYTES);
        if (headerBytes.length == 0) {
            return null;
        }
        if (headerBytes.length < HEADER_BYTES) {
            throw new MalformedBatchException(
                    "truncated header: " + headerBytes.length + " of " + HEADER_BYTES + " bytes");
        }
        ByteBuffer header = ByteBuffer.wrap(headerBytes);
        long count = header.getInt() & 0xffffffffL;
        long length = header.getInt() & 0xffffffffL;
        double now = header.getDouble();
        int number = header.getInt();
        if (length > Integer.MAX_VALUE - EventRecord.RECORD_BYTES
                || count * EventRecord.RECORD_BYTES > length) {
            throw new MalformedBatchException(
                    "batch "
                            + number
                            + ": "
                            + count
                            + " records do not fit a length of "
                            + length
                            + " bytes");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new MalformedBatchException(
                    "batch " + number + ": truncated: " + body.length + " of " + length + " bytes");
        }
        return new Batch(number, now, (int) count, ByteBuffer.wrap(body));
    }
}
