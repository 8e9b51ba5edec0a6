package reeldeal.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import reeldeal.consensus.Snapshot;
import reeldeal.storage.DataDirectory;

/**
 * Makes snapshots and backups on the thread {@code store-snapshot}, from a copy of the state taken
 * on the event loop. Its own state belongs to the event loop.
 */
final class SnapshotScheduler {
    /** A log larger than this is compacted. */
    private static final long COMPACT_BYTES = 16 << 20;

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

    /** Whether the log is to be compacted. */
    boolean isDue() {
        return logBytes > COMPACT_BYTES && !inProgress;
    }

    /**
     * Makes the bytes of a state, has them written ahead, and passes them on, on the event loop.
     *
     * @param header the snapshot without its data
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

    /** A failure is no more than a delay: the disk's thread writes the snapshot again. */
    private void prepare(Snapshot snapshot) {
        try {
            directory.prepare(snapshot);
        } catch (IOException e) {
            log.accept("store: snapshot not prepared: " + e);
        }
    }

    /** Writes a state to a file, which is replaced as a unit. */
    void backup(Path file, KeyValueState.Frozen state) {
        snapshotExecutor.execute(
                () -> {
                    try {
                        Backup.write(file, state);
                        log.accept("store: version " + state.version() + " backed up to " + file);
                    } catch (IOException e) {
                        log.accept("store: no backup: " + e);
                    }
                });
    }

    void close() {
        snapshotExecutor.shutdown();
    }
}
