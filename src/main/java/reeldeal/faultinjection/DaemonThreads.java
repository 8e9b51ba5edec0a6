package reeldeal.faultinjection;

/** Starts daemon threads, which do not keep the process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** The work of a thread, which usually runs until its sockets are closed. */
    public interface Task {
        /** Runs the task. An exception ends the thread. */
        void run() throws Exception;
    }

    /** Runs a task on a new daemon thread. An exception ends the thread without a log line. */
    public static void start(Task task) {
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
    }
}
