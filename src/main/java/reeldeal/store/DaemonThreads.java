package reeldeal.store;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Creates the threads for the store's blocking work; as daemon threads they do not keep the process
 * running.
 */
final class DaemonThreads {
    private DaemonThreads() {}

    static ExecutorService singleThreadExecutor(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
