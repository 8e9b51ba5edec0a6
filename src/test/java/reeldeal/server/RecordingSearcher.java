package reeldeal.server;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import reeldeal.faultinjection.DaemonThreads;

/** A searcher that answers each shard request after a time, and remembers when it arrived. */
final class RecordingSearcher implements AutoCloseable {
    /** A shard request, and the nanoTime at which it had arrived. */
    record Attempt(long atNanos, String name) {}

    private static final int BACKLOG = 50;

    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    private final int serviceMs;
    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

    RecordingSearcher(int serviceMs) throws IOException {
        this.serviceMs = serviceMs;
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        connection.setTcpNoDelay(true);
                        DaemonThreads.start(() -> serve(connection));
                    }
                });
    }

    private void serve(Socket connection) throws Exception {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            String text = new String(frame, StandardCharsets.UTF_8);
            if (frame[0] == 'Q') {
                onCall(connection, text.substring(1));
            } else if (frame[0] != 'X') {
                write(connection, frame[0] == 'P' ? "Pok" : "L-");
            }
        }
    }

    private void onCall(Socket connection, String call) {
        int at = 0;
        while (at < call.length()) {
            int lineEnd = call.indexOf('\n', at);
            String[] fields = call.substring(at, lineEnd).split(" ");
            attempts.add(new Attempt(System.nanoTime(), fields[0]));
            DaemonThreads.start(
                    () -> {
                        Thread.sleep(serviceMs);
                        write(connection, "A" + fields[0] + " ok 1 -\nx");
                    });
            at = lineEnd + 1 + Integer.parseInt(fields[3]);
        }
    }

    private static void write(Socket connection, String frame) throws IOException {
        synchronized (connection) {
            DataOutputStream out = new DataOutputStream(connection.getOutputStream());
            byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
            out.writeInt(bytes.length);
            out.write(bytes);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
