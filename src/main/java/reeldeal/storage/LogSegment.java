package reeldeal.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.Entry;

/** One file of the log, with its first index and the offset at which each of its entries ends. */
final class LogSegment implements AutoCloseable {
    /** The size of the encoded entries that are written together, in bytes. */
    private static final int WRITE_BYTES = 256 * 1024;

    private final long firstIndex;
    private final Path path;
    private final FileChannel channel;
    private final List<Long> entryEnds = new ArrayList<>();
    private long flushedBytes;

    private LogSegment(long firstIndex, Path path, OpenOption... options) throws IOException {
        this.firstIndex = firstIndex;
        this.path = path;
        this.channel = FileChannel.open(path, options);
    }

    /**
     * Creates an empty file, unflushed. The caller must flush the directory for its name to be
     * durable.
     */
    static LogSegment create(long firstIndex, Path path) throws IOException {
        return new LogSegment(
                firstIndex,
                path,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /** Opens an existing file; {@link #recover} must be called before other methods. */
    static LogSegment open(long firstIndex, Path path) throws IOException {
        return new LogSegment(firstIndex, path, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    long firstIndex() {
        return firstIndex;
    }

    long nextIndex() {
        return firstIndex + entryEnds.size();
    }

    long bytes() {
        return entryEnds.isEmpty() ? 0 : entryEnds.get(entryEnds.size() - 1);
    }

    /**
     * Reads the file, truncates a torn tail, and adds the entries after the snapshot to {@code
     * entries}. Returns how many bytes were truncated.
     *
     * @param nextFirstIndex the first index of the next file, or null for the last file
     */
    long recover(Long nextFirstIndex, long snapshotIndex, List<Entry> entries) throws IOException {
        byte[] fileBytes = Files.readAllBytes(path);
        checkContiguous(snapshotIndex, entries);
        int offset = 0;
        ChecksummedRecords.ReadResult result = ChecksummedRecords.read(fileBytes, offset);
        while (result.kind() == ChecksummedRecords.Kind.RECORD) {
            Entry entry = EntryCodec.decode(result.bytes());
            if (entry.index() != nextIndex()) {
                throw corruptData(
                        offset,
                        "found entry "
                                + entry.index()
                                + " where entry "
                                + nextIndex()
                                + " was expected");
            }
            offset += ChecksummedRecords.HEADER_BYTES + result.bytes().length;
            entryEnds.add((long) offset);
            if (entry.index() > snapshotIndex) {
                entries.add(entry);
            }
            result = ChecksummedRecords.read(fileBytes, offset);
        }
        if (result.kind() == ChecksummedRecords.Kind.DAMAGED) {
            throw corruptData(offset, result.damage());
        }
        if (result.kind() == ChecksummedRecords.Kind.TORN) {
            truncateTornTail(fileBytes, offset, nextFirstIndex);
        } else if (nextFirstIndex != null && nextFirstIndex != nextIndex()) {
            throw corruptData(
                    offset,
                    "entries from " + nextIndex() + " to " + (nextFirstIndex - 1) + " are missing");
        }
        flushedBytes = offset;
        return (long) fileBytes.length - offset;
    }

    private void checkContiguous(long snapshotIndex, List<Entry> entries) throws IOException {
        boolean isContiguous =
                entries.isEmpty()
                        ? firstIndex <= snapshotIndex + 1
                        : firstIndex == entries.get(entries.size() - 1).index() + 1;
        if (!isContiguous) {
            throw corruptData(0, "entries up to " + (firstIndex - 1) + " are missing");
        }
    }

    private void truncateTornTail(byte[] fileBytes, int offset, Long nextFirstIndex)
            throws IOException {
        if (nextFirstIndex != null) {
            throw corruptData(offset, "a record is incomplete, but this is not the last log file");
        }
        if (wasFlushed(fileBytes, offset)) {
            throw corruptData(
                    offset,
                    "a record is incomplete, but it was flushed before later records were written");
        }
        channel.truncate(offset);
        channel.force(true);
    }

    /**
     * Whether a later record in the file states that data beyond this offset was flushed before it.
     */
    private static boolean wasFlushed(byte[] fileBytes, int offset) {
        int lastStart = fileBytes.length - ChecksummedRecords.HEADER_BYTES - Long.BYTES;
        for (int candidateOffset = offset + 1; candidateOffset <= lastStart; candidateOffset++) {
            if (ChecksummedRecords.beginsAt(fileBytes, candidateOffset)) {
                ChecksummedRecords.ReadResult result =
                        ChecksummedRecords.read(fileBytes, candidateOffset);
                if (result.kind() == ChecksummedRecords.Kind.RECORD
                        && EntryCodec.flushedBytes(result.bytes()) > offset) {
                    return true;
                }
            }
        }
        return false;
    }

    private CorruptDataException corruptData(long offset, String damage) {
        return new CorruptDataException(path, offset, damage);
    }

    /**
     * Appends entries, without a flush, until the file has at least {@code maxBytes}. Returns how
     * many were appended.
     */
    int append(DurableFiles files, List<Entry> entries, int maxBytes) throws IOException {
        int count = 0;
        while (count < entries.size() && bytes() < maxBytes) {
            count += appendBatch(files, entries.subList(count, entries.size()), maxBytes);
        }
        return count;
    }

    /** Appends entries with one write, until it or the file is large enough. */
    private int appendBatch(DurableFiles files, List<Entry> entries, int maxBytes)
            throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        long start = bytes();
        int count = 0;
        while (count < entries.size()
                && batch.size() < WRITE_BYTES
                && start + batch.size() < maxBytes) {
            byte[] record = EntryCodec.encode(flushedBytes, entries.get(count));
            batch.writeBytes(ChecksummedRecords.encode(record));
            entryEnds.add(start + batch.size());
            count++;
        }
        files.write(channel, batch.toByteArray(), start);
        return count;
    }

    void flush() throws IOException {
        channel.force(false);
        flushedBytes = bytes();
    }

    /** Removes the entries from an index on; durable once this returns. */
    void truncateFrom(long index) throws IOException {
        truncateTo((int) Math.max(0, Math.min(entryEnds.size(), index - firstIndex)));
    }

    /**
     * Removes all entries that are not flushed, so that they can be appended again. After a failed
     * write or flush the file's content after the flushed entries is unknown.
     */
    void discardUnflushed() throws IOException {
        int flushedEntries = 0;
        while (flushedEntries < entryEnds.size() && entryEnds.get(flushedEntries) <= flushedBytes) {
            flushedEntries++;
        }
        truncateTo(flushedEntries);
    }

    private void truncateTo(int keptEntries) throws IOException {
        long keptBytes = keptEntries == 0 ? 0 : entryEnds.get(keptEntries - 1);
        channel.truncate(keptBytes);
        channel.force(true);
        // Forgotten only once the file is shorter, so that a failed call can be repeated.
        entryEnds.subList(keptEntries, entryEnds.size()).clear();
        flushedBytes = keptBytes;
    }

    void delete() throws IOException {
        channel.close();
        Files.deleteIfExists(path);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
