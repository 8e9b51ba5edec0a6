package reeldeal.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import reeldeal.storage.RollbackMarker;

/**
 * Remembers on disk that a node's data directory was rolled back, so that no later start trusts it.
 * Belongs to the event loop; the thread {@code store-marker} writes to the disk.
 */
final class UntrustedDirectory {
    private static final int RETRY_DELAY_MS = 500;

    private final Path directory;
    private final StoreLoop loop;
    private final Consumer<String> log;
    private final String reasonOfEarlierStart;
    private ExecutorService writer;
    private boolean failureLogged;

    /** Reads whether an earlier start has found the directory to be rolled back. */
    UntrustedDirectory(Path directory, StoreLoop loop, Consumer<String> log) throws IOException {
        this.directory = directory;
        this.loop = loop;
        this.log = log;
        reasonOfEarlierStart = RollbackMarker.read(directory);
    }

    /** Returns why an earlier start did not trust the directory, or null if none found a reason. */
    String reasonOfEarlierStart() {
        return reasonOfEarlierStart;
    }

    /** Writes the reason to the disk, and tries again until the disk takes it. */
    void remember(String reason) {
        if (writer == null) {
            writer = DaemonThreads.singleThreadExecutor("store-marker");
        }
        writer.execute(() -> write(reason));
    }

    private void write(String reason) {
        try {
            RollbackMarker.write(directory, reason);
        } catch (IOException e) {
            loop.execute(() -> retryLater(reason, e));
        }
    }

    private void retryLater(String reason, IOException cause) {
        if (!failureLogged) {
            failureLogged = true;
            log.accept("store: the mark of the rollback is not on disk: " + cause.getMessage());
        }
        loop.schedule(RETRY_DELAY_MS, () -> remember(reason));
    }
}
