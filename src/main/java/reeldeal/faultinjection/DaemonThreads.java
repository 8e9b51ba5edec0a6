package reeldeal.faultinjection;

import java.io.IOException;
import java.io.InterruptedIOException;

/** Starts daemon threads, which do not keep the process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** The work of a thread, which usually runs until its sockets are closed. */
    public interface Task {
        /** Runs the task. An exception ends the thread. */
        void run() throws Exception;
    }

    /**
     * Runs a task on a new daemon thread, which is returned. An exception ends the thread without a
     * log line.
     */
    public static Thread start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                return; // the socket was closed
                            }
                        },
                        "faultinjection");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Waits for the end of a thread that accepts connections, after its listener was closed: while
     * the thread is in the system call, the listener keeps its port.
     */
    public static void awaitEnd(Thread acceptor) throws IOException {
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while a listener was closed");
        }
    }
}
