package reeldeal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file {@code mark}, which records the last entry up to which the log was flushed. It is
 * written after the log's flush and mostly without a flush of its own, so it may be behind the log
 * but never ahead of it. A log that ends before the mark has therefore lost acknowledged entries.
 * Two slots are written in turn, so that one of them is always complete.
 */
final class MarkFile implements AutoCloseable {
    private static final String FILE = "mark";
    private static final int SLOTS = 2;
    private static final int SLOT_BYTES = 64;

    private record Mark(long sequence, long epoch, long index) {
        static Mark decode(byte[] bytes) {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            return new Mark(in.getLong(), in.getLong(), in.getLong());
        }

        byte[] encode() {
            return ByteBuffer.allocate(3 * Long.BYTES)
                    .putLong(sequence)
                    .putLong(epoch)
                    .putLong(index)
                    .array();
        }
    }

    private final DurableFiles files;
    private FileChannel channel;
    private long sequence;

    MarkFile(DurableFiles files) {
        this.files = files;
    }

    /**
     * Opens the file and checks that the log, which is of {@code epoch} and ends at {@code
     * lastIndex}, has not lost flushed entries.
     */
    void recover(long epoch, long lastIndex) throws IOException {
        Path file = files.resolve(FILE);
        channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        Mark latest = latest(Files.readAllBytes(file));
        if (latest == null) {
            return;
        }
        sequence = latest.sequence();
        if (latest.epoch() == epoch && latest.index() > lastIndex) {
            throw new CorruptDataException(
                    file,
                    0,
                    "entries up to "
                            + latest.index()
                            + " were flushed to disk, but the log ends at "
                            + lastIndex);
        }
    }

    private static Mark latest(byte[] bytes) {
        Mark latest = null;
        for (int slot = 0; slot < SLOTS && slot * SLOT_BYTES <= bytes.length; slot++) {
            ChecksummedRecords.ReadResult result =
                    ChecksummedRecords.read(bytes, slot * SLOT_BYTES);
            if (result.kind() == ChecksummedRecords.Kind.RECORD) {
                Mark mark = Mark.decode(result.bytes());
                latest = latest == null || mark.sequence() > latest.sequence() ? mark : latest;
            }
        }
        return latest;
    }

    /** Records, without a flush, that the log of an epoch is on disk up to an index. */
    void write(long epoch, long index) throws IOException {
        // Counted only once it is written, so that a retry does not touch the other slot.
        long next = sequence + 1;
        byte[] record = ChecksummedRecords.encode(new Mark(next, epoch, index).encode());
        files.write(channel, record, next % SLOTS * SLOT_BYTES);
        sequence = next;
    }

    void flush() throws IOException {
        channel.force(false);
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
