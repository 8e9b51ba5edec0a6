package reeldeal.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import reeldeal.consensus.Snapshot;
import reeldeal.storage.DataDirectory;

/**
 * Writes snapshots and backups on the thread {@code store-snapshot}, from a copy of the state taken
 * on the event loop. The scheduler's own state belongs to the event loop.
 */
final class SnapshotScheduler {
    private final StoreLoop loop;
    private final DataDirectory directory;
    private final Consumer<String> log;
    private final ExecutorService snapshotExecutor =
            DaemonThreads.singleThreadExecutor("store-snapshot");
    private boolean inProgress;

    SnapshotScheduler(StoreLoop loop, DataDirectory directory, Consumer<String> log) {
        this.loop = loop;
        this.directory = directory;
        this.log = log;
    }

    /** Whether a snapshot is being written in advance. */
    boolean isInProgress() {
        return inProgress;
    }

    /** Writes a snapshot to disk in advance, and then runs a callback on the event loop. */
    void start(Snapshot snapshot, Runnable whenReady) {
        inProgress = true;
        snapshotExecutor.execute(
                () -> {
                    prepare(snapshot);
                    loop.execute(
                            () -> {
                                inProgress = false;
                                whenReady.run();
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
        } catch (IOException | RuntimeException e) {
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
