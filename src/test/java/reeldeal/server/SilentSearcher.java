package reeldeal.server;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import reeldeal.faultinjection.DaemonThreads;
import reeldeal.faultinjection.TextCodec;

/**
 * A searcher that reads calls and never answers, and remembers when each arrived. It may reset its
 * connections some time after a call.
 */
final class SilentSearcher implements AutoCloseable {
    /** A call, and the nanoTime at which it had arrived. */
    record Call(long atNanos, String text) {}

    /** How long after a call its connection is reset, ms; 0 if it is not. */
    volatile int resetAfterMs;

    final List<Call> calls = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    SilentSearcher() throws Exception {
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        DaemonThreads.start(() -> read(connection));
                    }
                });
    }

    private void read(Socket connection) throws Exception {
        String frame = TextCodec.frame(connection.getInputStream());
        while (!frame.equals("EOF")) {
            if (frame.startsWith("Q")) {
                calls.add(new Call(System.nanoTime(), frame));
                if (resetAfterMs > 0) {
                    Thread.sleep(resetAfterMs);
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            }
            frame = TextCodec.frame(connection.getInputStream());
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws Exception {
        listener.close();
    }
}
