package reeldeal.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.consensus.Ready;
import reeldeal.consensus.Snapshot;

/**
 * One node's data directory. The file {@code FORMAT} contains the format version and the node's
 * name, and {@code LOCK} is locked while the directory is open. {@link VoteFile}, {@link
 * SnapshotFiles}, {@link SegmentedLog} and {@link MarkFile} own the other files. Data is removed
 * only after its replacement is on disk, so that a power failure at any moment leaves a state that
 * was written.
 *
 * <p>Not thread-safe, except for {@link #prepare}. The calls block on the disk.
 */
public final class DataDirectory implements AutoCloseable {
    private static final String LOCK_FILE = "LOCK";

    /**
     * The content of a directory when it was opened.
     *
     * @param state the term, vote, snapshot and log
     * @param truncatedBytes how many bytes of a torn tail were truncated from the log
     */
    public record OpenResult(RaftNode.PersistentState state, long truncatedBytes) {}

    /** The size of the log's files and their number. */
    public record LogSize(long bytes, int files) {}

    private final DurableFiles files;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final VoteFile voteFile;
    private final SnapshotFiles snapshots;
    private final SegmentedLog log;
    private final MarkFile markFile;
    private OpenResult openResult;
    private List<Ready.Persist> unfinished = List.of(); // requests that may have to be retried

    private DataDirectory(Path path, int segmentBytes, FileChannel lockFile, FileLock lock) {
        this.files = new DurableFiles(path);
        this.lockFile = lockFile;
        this.lock = lock;
        this.voteFile = new VoteFile(files);
        this.snapshots = new SnapshotFiles(files);
        this.log = new SegmentedLog(files, segmentBytes);
        this.markFile = new MarkFile(files);
    }

    /**
     * Opens a node's directory, and creates it if it does not exist.
     *
     * @param firstConfiguration the group's initial configuration, used if there is no snapshot
     * @param segmentBytes the size of a log file at which the next file is started
     * @throws CorruptDataException if it contains data that a crash cannot have left behind
     * @throws IOException if it is in use, or belongs to another node or another version of the
     *     program
     */
    public static DataDirectory open(
            Path path, String node, GroupConfiguration firstConfiguration, int segmentBytes)
            throws IOException {
        Files.createDirectories(path);
        FileChannel lockFile =
                FileChannel.open(
                        path.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = tryLock(lockFile);
        if (lock == null) {
            lockFile.close();
            throw new IOException("already in use by this or another process: " + path);
        }
        DataDirectory directory = new DataDirectory(path, segmentBytes, lockFile, lock);
        try {
            FormatFile.checkOrCreate(directory.files, node);
            directory.recover(firstConfiguration);
            return directory;
        } catch (IOException | RuntimeException e) {
            directory.close();
            throw e;
        }
    }

    private static FileLock tryLock(FileChannel lockFile) throws IOException {
        try {
            return lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // locked by this process
        }
    }

    /**
     * Returns what the directory contained when it was opened, or null after {@link
     * #releaseOpenResult}.
     */
    public OpenResult openResult() {
        return openResult;
    }

    /**
     * Frees what the directory contained when it was opened, once the caller has taken it over: the
     * log and the snapshot would otherwise stay in memory while the directory is open.
     */
    public void releaseOpenResult() {
        openResult = null;
    }

    private void recover(GroupConfiguration firstConfiguration) throws IOException {
        List<Path> snapshotFiles = new ArrayList<>();
        List<Path> logFiles = new ArrayList<>();
        listFiles(snapshotFiles, logFiles);
        voteFile.recover();
        Snapshot snapshot = snapshots.recover(snapshotFiles);
        if (snapshot == null) {
            snapshot = new Snapshot(0, 0, firstConfiguration, new byte[0]);
        }
        List<Entry> entries = new ArrayList<>();
        long truncatedBytes = log.recover(logFiles, snapshots.epoch(), snapshot.index(), entries);
        long lastIndex =
                entries.isEmpty() ? snapshot.index() : entries.get(entries.size() - 1).index();
        markFile.recover(snapshots.epoch(), lastIndex);
        openResult =
                new OpenResult(
                        new RaftNode.PersistentState(
                                voteFile.term(), voteFile.vote(), snapshot, List.copyOf(entries)),
                        truncatedBytes);
    }

    /** Collects the snapshot files and log files, and deletes temporary files left by a crash. */
    private void listFiles(List<Path> snapshotFiles, List<Path> logFiles) throws IOException {
        try (Stream<Path> allFiles = Files.list(files.directory())) {
            for (Path file : allFiles.toList()) {
                String name = file.getFileName().toString();
                if (name.endsWith(DurableFiles.TEMPORARY_SUFFIX)) {
                    Files.delete(file);
                } else if (SnapshotFiles.isSnapshot(name)) {
                    snapshotFiles.add(file);
                } else if (SegmentedLog.isSegment(name)) {
                    logFiles.add(file);
                }
            }
        }
    }

    /**
     * Carries out disk requests in order, with one flush of the log for all of them. After an
     * exception the state on disk is unknown, and nothing but {@link #retryWrite} may be called.
     */
    public void write(List<Ready.Persist> requests) throws IOException {
        if (!unfinished.isEmpty()) {
            throw new IOException(
                    "an earlier write to "
                            + files.directory()
                            + " failed, so no more writes are accepted");
        }
        unfinished = requests;
        carryOut();
    }

    /**
     * Carries out again the requests of the write that failed. What was not flushed before is
     * written anew: after a failed flush the system may hold it for written though it is not.
     */
    public void retryWrite() throws IOException {
        log.discardUnflushed();
        carryOut();
    }

    private void carryOut() throws IOException {
        List<Ready.Persist> requests = unfinished;
        for (int i = 0; i < requests.size(); i++) {
            Ready.Persist request = requests.get(i);
            List<Ready.Persist> fromThisOn = requests.subList(i, requests.size());
            voteFile.update(request.term(), request.vote());
            if (request.snapshot() != null) {
                flushBefore(fromThisOn);
                writeSnapshot(request.snapshot(), request.discardsLog());
            }
            if (!request.entries().isEmpty()) {
                if (request.firstIndex() < log.nextIndex()) {
                    flushBefore(fromThisOn);
                    truncateLog(request.firstIndex());
                }
                log.append(snapshots.epoch(), request.entries());
            }
        }
        boolean hasNewEntries = log.hasUnflushed();
        log.flush();
        if (hasNewEntries) {
            markFile.write(snapshots.epoch(), log.nextIndex() - 1);
        }
        unfinished = List.of();
    }

    /** Flushes what the requests before these have written, so that a retry begins with these. */
    private void flushBefore(List<Ready.Persist> requests) throws IOException {
        log.flush();
        unfinished = requests;
    }

    /** Writes the snapshot first, and then deletes the log files that it replaces. */
    private void writeSnapshot(Snapshot snapshot, boolean discardsLog) throws IOException {
        snapshots.write(snapshot, discardsLog);
        if (discardsLog) {
            // The snapshot file contains the next epoch, so the existing log files are no longer
            // valid.
            log.truncateFrom(1);
            snapshots.beginEpoch();
        }
        snapshots.deleteBefore(snapshot.index());
        log.deleteThrough(snapshot.index());
    }

    /**
     * Removes the entries from an index on. Moves the mark back first: otherwise, after a crash
     * between the two writes, the truncated log would look like lost data.
     */
    private void truncateLog(long firstIndex) throws IOException {
        markFile.write(snapshots.epoch(), firstIndex - 1);
        markFile.flush();
        log.truncateFrom(firstIndex);
    }

    /**
     * Writes a snapshot's file before the request for it, so that this write, whose duration grows
     * with the size of the state, does not delay other writes. May run on another thread than
     * {@link #write}. The file is used only if the request is for the same snapshot.
     */
    public void prepare(Snapshot snapshot) throws IOException {
        snapshots.prepare(snapshot);
    }

    /** Returns the size of the log's files and their number. */
    public LogSize logSize() {
        return log.size();
    }

    /** Simulates, for tests, a disk that is full after this many more bytes. */
    void limitWritableBytes(long bytes) {
        files.limitWritableBytes(bytes);
    }

    @Override
    public void close() throws IOException {
        log.close();
        markFile.close();
        lock.release();
        lockFile.close();
    }
}
