package reeldeal.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import reeldeal.consensus.Ready;
import reeldeal.storage.DataDirectory;

/**
 * Queues the disk requests of the consensus module. The thread {@code store-disk} writes them to
 * the data directory, one batch at a time. The queue itself belongs to the event loop.
 */
final class DiskQueue {
    /** A delay before each write, which fault injection sets to simulate a slow disk. */
    private static final int SLOW_DISK_MS = Integer.getInteger("reeldeal.drill.disk_ms", 0);

    private static final int CLOSE_TIMEOUT_S = 5;

    /** Receives the outcome of writes, on the event loop. */
    interface Listener {
        /** Called when all requests up to this number are on disk. */
        void onPersisted(long request);

        /**
         * Called when a write failed. It is unknown what is on disk, and no further request is
         * written.
         */
        void onDiskFailure(Exception cause);
    }

    private final StoreLoop loop;
    private final DataDirectory directory;
    private final Listener listener;
    private final ExecutorService diskExecutor = DaemonThreads.singleThreadExecutor("store-disk");
    private final List<Ready.Persist> pending = new ArrayList<>();
    private boolean groupCommit = true;
    private boolean writing;
    private boolean closed;

    DiskQueue(StoreLoop loop, DataDirectory directory, Listener listener) {
        this.loop = loop;
        this.directory = directory;
        this.listener = listener;
    }

    /**
     * Sets whether the requests that arrive during a write are written together, with one flush.
     */
    void groupCommit(boolean enabled) {
        groupCommit = enabled;
    }

    void add(List<Ready.Persist> requests) {
        pending.addAll(requests);
        writeNext();
    }

    private void writeNext() {
        if (writing || pending.isEmpty() || closed) {
            return;
        }
        writing = true;
        List<Ready.Persist> taken = groupCommit ? pending : pending.subList(0, 1);
        List<Ready.Persist> batch = List.copyOf(taken);
        taken.clear();
        diskExecutor.execute(() -> write(batch));
    }

    private void write(List<Ready.Persist> batch) {
        try {
            if (SLOW_DISK_MS > 0) {
                Thread.sleep(SLOW_DISK_MS);
            }
            directory.write(batch);
            long request = batch.get(batch.size() - 1).number();
            loop.execute(() -> onWritten(request));
        } catch (IOException | RuntimeException | InterruptedException e) {
            loop.execute(() -> listener.onDiskFailure(e));
        }
    }

    private void onWritten(long request) {
        writing = false;
        listener.onPersisted(request);
        writeNext();
    }

    /** Stops writing, and waits up to 5 s for the batch in progress. */
    void close() {
        closed = true;
        diskExecutor.shutdown();
        try {
            diskExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
