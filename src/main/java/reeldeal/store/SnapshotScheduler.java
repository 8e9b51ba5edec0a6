package reeldeal.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import reeldeal.consensus.Snapshot;
import reeldeal.storage.DataDirectory;

/**
 * Creates snapshots and backups on the thread {@code store-snapshot}, from a copy of the state
 * taken on the event loop. The scheduler's own state belongs to the event loop.
 */
final class SnapshotScheduler {
    /** The size of the log above which it is compacted, in bytes. */
    private static final long COMPACTION_THRESHOLD_BYTES = 16 << 20;

    private final StoreLoop loop;
    private final DataDirectory directory;
    private final Consumer<String> log;
    private final ExecutorService snapshotExecutor =
            DaemonThreads.singleThreadExecutor("store-snapshot");
    private long logBytes;
    private boolean inProgress;

    SnapshotScheduler(StoreLoop loop, DataDirectory directory, Consumer<String> log) {
        this.loop = loop;
        this.directory = directory;
        this.log = log;
        this.logBytes = directory.logSize().bytes();
    }

    void onLogSize(long bytes) {
        logBytes = bytes;
    }

    /** Whether the log should be compacted now. */
    boolean isDue() {
        return logBytes > COMPACTION_THRESHOLD_BYTES && !inProgress;
    }

    /**
     * Encodes a state as a snapshot, writes the snapshot to disk in advance, and passes the bytes
     * to a callback on the event loop.
     *
     * @param header the snapshot's index, term and configuration, without its data
     */
    void start(KeyValueState.Frozen state, Snapshot header, Consumer<byte[]> whenReady) {
        inProgress = true;
        snapshotExecutor.execute(
                () -> {
                    byte[] data = state.toBytes();
                    prepare(
                            new Snapshot(
                                    header.index(), header.term(), header.configuration(), data));
                    loop.execute(
                            () -> {
                                inProgress = false;
                                whenReady.accept(data);
                            });
                });
    }

    /**
     * Writes the snapshot to disk in advance. A failure only costs time, because the disk thread
     * then writes the snapshot itself.
     */
    private void prepare(Snapshot snapshot) {
        try {
            directory.prepare(snapshot);
        } catch (IOException e) {
            log.accept("store: could not write the snapshot to disk in advance: " + e);
        }
    }

    /** Writes a state to a backup file, which is replaced atomically. */
    void backup(Path file, KeyValueState.Frozen state) {
        snapshotExecutor.execute(
                () -> {
                    try {
                        Backup.write(file, state);
                        log.accept("store: version " + state.version() + " backed up to " + file);
                    } catch (IOException e) {
                        log.accept("store: backup to " + file + " failed: " + e);
                    }
                });
    }

    void close() {
        snapshotExecutor.shutdown();
    }
}
