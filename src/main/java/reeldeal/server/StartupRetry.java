package reeldeal.server;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.Callable;
import reeldeal.storage.CorruptDataException;

/** Repeats a step of the start that failed because the system had a disk or socket error. */
final class StartupRetry {
    private static final long TIMEOUT_NANOS = 5_000_000_000L;
    private static final int PAUSE_MS = 50;

    private StartupRetry() {}

    /**
     * Runs a step until it succeeds, for up to 5 s; blocks meanwhile. An address in use and corrupt
     * data are not tried again.
     *
     * @param name the step's name for the log
     */
    static <T> T call(String name, Callable<T> step) throws Exception {
        long startedAt = System.nanoTime();
        boolean logged = false;
        while (true) {
            try {
                return step.call();
            } catch (BindException | CorruptDataException e) {
                throw e;
            } catch (IOException | ChannelException e) {
                if (System.nanoTime() - startedAt > TIMEOUT_NANOS) {
                    throw e;
                }
                if (!logged) {
                    logged = true;
                    BrokerServer.log(name + " failed, tried again: " + e.getMessage());
                }
                Thread.sleep(PAUSE_MS);
            }
        }
    }
}
