package reeldeal.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reeldeal.consensus.Entry;

/**
 * The log, stored in files {@code log-EPOCH-INDEX} that each contain the entries from that index
 * on.
 *
 * <p>The epoch is a number that starts at 0 and grows by 1 whenever a snapshot replaces the whole
 * log (see {@link SnapshotFiles}). A file's name contains the epoch in which the file was created,
 * and the snapshot file contains the current epoch. The entries in files of an earlier epoch were
 * all replaced by the snapshot. Such files remain if the process ends after the snapshot was
 * written and before they are deleted; the next start deletes them without reading them.
 */
final class SegmentedLog implements AutoCloseable {
    static final String PREFIX = "log-";

    private record SegmentFile(long epoch, long firstIndex, Path path) {
        static SegmentFile of(Path path) {
            String[] parts = path.getFileName().toString().split("-", -1);
            return new SegmentFile(Long.parseLong(parts[1]), Long.parseLong(parts[2]), path);
        }
    }

    private final DurableFiles files;
    private final int segmentBytes;
    private final TreeMap<Long, LogSegment> segments = new TreeMap<>();
    private final Set<LogSegment> unflushed = new LinkedHashSet<>();

    /** Creates a log that starts a new file once the last one has {@code segmentBytes}. */
    SegmentedLog(DurableFiles files, int segmentBytes) {
        this.files = files;
        this.segmentBytes = segmentBytes;
    }

    static boolean isSegment(String fileName) {
        return fileName.matches(PREFIX + "[0-9]+-[0-9]+");
    }

    /**
     * Reads the files of the current epoch and deletes those of earlier epochs. Adds the entries
     * after the snapshot to {@code entries}. Returns how many bytes of a torn tail were truncated.
     */
    long recover(List<Path> logFiles, long epoch, long snapshotIndex, List<Entry> entries)
            throws IOException {
        TreeMap<Long, Path> currentFiles = new TreeMap<>();
        for (Path path : logFiles) {
            SegmentFile file = SegmentFile.of(path);
            if (file.epoch() < epoch) {
                Files.delete(file.path());
            } else {
                currentFiles.put(file.firstIndex(), file.path());
            }
        }
        long truncatedBytes = 0;
        for (Map.Entry<Long, Path> file : currentFiles.entrySet()) {
            LogSegment segment = LogSegment.open(file.getKey(), file.getValue());
            segments.put(file.getKey(), segment);
            Long nextFirstIndex = currentFiles.higherKey(file.getKey());
            truncatedBytes += segment.recover(nextFirstIndex, snapshotIndex, entries);
        }
        return truncatedBytes;
    }

    /** Returns the index after the last entry, or Long.MAX_VALUE if there is no file. */
    long nextIndex() {
        return segments.isEmpty() ? Long.MAX_VALUE : lastSegment().nextIndex();
    }

    private LogSegment lastSegment() {
        return segments.lastEntry().getValue();
    }

    /** Appends entries; they are durable after the next flush. */
    void append(long epoch, List<Entry> entries) throws IOException {
        int appended = 0;
        while (appended < entries.size()) {
            long index = entries.get(appended).index();
            if (segments.isEmpty()
                    || lastSegment().bytes() >= segmentBytes
                    || lastSegment().nextIndex() != index) {
                flush(); // only the last file may have a torn tail
                beginSegment(epoch, index);
            }
            LogSegment segment = lastSegment();
            unflushed.add(segment);
            appended +=
                    segment.append(files, entries.subList(appended, entries.size()), segmentBytes);
        }
    }

    private void beginSegment(long epoch, long index) throws IOException {
        Path path = files.resolve(PREFIX + epoch + "-" + index);
        LogSegment segment = LogSegment.create(index, path);
        // Known before it is flushed, so that a retry after a failure truncates or deletes it.
        segments.put(index, segment);
        segment.flush();
        files.flushDirectory();
    }

    /**
     * Removes what a failed write or flush may have left in an unknown state; then the entries can
     * be appended again.
     */
    void discardUnflushed() throws IOException {
        for (LogSegment segment : unflushed) {
            segment.discardUnflushed();
        }
        unflushed.clear();
        files.flushDirectory();
    }

    boolean hasUnflushed() {
        return !unflushed.isEmpty();
    }

    void flush() throws IOException {
        for (LogSegment segment : unflushed) {
            segment.flush();
        }
        unflushed.clear();
    }

    /**
     * Removes the entries from an index on. Deletes later files first, so that a crash leaves no
     * gap.
     */
    void truncateFrom(long index) throws IOException {
        while (!segments.isEmpty() && segments.lastKey() >= index) {
            deleteSegment(lastSegment());
            files.flushDirectory();
        }
        if (!segments.isEmpty()) {
            lastSegment().truncateFrom(index);
        }
    }

    /** Deletes the files whose entries all are at or before an index. */
    void deleteThrough(long index) throws IOException {
        while (!segments.isEmpty() && segments.firstEntry().getValue().nextIndex() <= index + 1) {
            deleteSegment(segments.firstEntry().getValue());
        }
    }

    private void deleteSegment(LogSegment segment) throws IOException {
        segment.delete();
        segments.remove(segment.firstIndex());
    }

    DataDirectory.LogSize size() {
        long bytes = 0;
        for (LogSegment segment : segments.values()) {
            bytes += segment.bytes();
        }
        return new DataDirectory.LogSize(bytes, segments.size());
    }

    @Override
    public void close() throws IOException {
        for (LogSegment segment : segments.values()) {
            segment.close();
        }
    }
}
