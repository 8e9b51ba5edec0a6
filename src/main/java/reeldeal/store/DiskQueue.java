package reeldeal.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import reeldeal.consensus.Ready;
import reeldeal.storage.DataDirectory;

/**
 * Queues the disk requests of the consensus module. The thread {@code store-disk} writes them to
 * the data directory, one batch at a time. A batch that the disk fails to write is written again
 * after a growing delay, until it succeeds; no later batch overtakes it. The queue itself belongs
 * to the event loop.
 */
final class DiskQueue {
    /** A delay before each write, which fault injection sets to simulate a slow disk. */
    private static final int SLOW_DISK_MS = Integer.getInteger("reeldeal.drill.disk_ms", 0);

    private static final int CLOSE_TIMEOUT_S = 5;

    /** The delay of the first retry, ms; it doubles with each retry. */
    private static final int FIRST_RETRY_MS = 50;

    private static final int MAX_RETRY_MS = 2_000;
    private static final int MAX_DOUBLINGS = 6;

    /** Receives the outcome of writes, on the event loop. */
    interface Listener {
        /** Called when all requests up to this number are on disk. */
        void onPersisted(long request);

        /** Called when a write failed, before its first retry. */
        void onDiskUnavailable(IOException cause);

        /** Called when a write has succeeded after retries. */
        void onDiskRecovered(int retries);

        /** Called when a write failed for another reason; no further request is written. */
        void onDiskFailure(Exception cause);
    }

    private final StoreLoop loop;
    private final DataDirectory directory;
    private final Listener listener;
    private final ExecutorService diskExecutor = DaemonThreads.singleThreadExecutor("store-disk");
    private final List<Ready.Persist> pending = new ArrayList<>();
    private boolean groupCommit = true;
    private boolean writing;
    private int retries;
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
        long request = batch.get(batch.size() - 1).number();
        diskExecutor.execute(() -> write(request, () -> directory.write(batch)));
    }

    /** A write to the data directory. */
    private interface DiskWrite {
        void run() throws IOException;
    }

    private void write(long request, DiskWrite write) {
        try {
            if (SLOW_DISK_MS > 0) {
                Thread.sleep(SLOW_DISK_MS);
            }
            write.run();
            loop.execute(() -> onWritten(request));
        } catch (IOException e) {
            loop.execute(() -> retryLater(request, e));
        } catch (RuntimeException | InterruptedException e) {
            loop.execute(() -> listener.onDiskFailure(e));
        }
    }

    private void onWritten(long request) {
        writing = false;
        if (retries > 0) {
            listener.onDiskRecovered(retries);
            retries = 0;
        }
        listener.onPersisted(request);
        writeNext();
    }

    private void retryLater(long request, IOException cause) {
        if (retries == 0) {
            listener.onDiskUnavailable(cause);
        }
        loop.schedule(retryDelayMs(retries), () -> retry(request));
        retries++;
    }

    /** Returns the delay of a retry, ms: between half and all of its upper limit, at random. */
    private static int retryDelayMs(int retriesBefore) {
        int doublings = Math.min(retriesBefore, MAX_DOUBLINGS);
        int limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << doublings);
        return ThreadLocalRandom.current().nextInt(limitMs / 2, limitMs + 1);
    }

    private void retry(long request) {
        if (!closed) {
            diskExecutor.execute(() -> write(request, directory::retryWrite));
        }
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
