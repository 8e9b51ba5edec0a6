package reeldeal.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A searcher on loopback that answers every shard request after a fixed time. Connections are
 * accepted and served on its own threads. Its methods may be called from any thread.
 */
public final class FakeSearcher implements AutoCloseable {
    private static final int BACKLOG = 100;
    private static final Pattern IDEMPOTENCY_KEY =
            Pattern.compile("^[^ ]+ ([0-9]+) .*?,k=([^, ]+)");

    private final int port;
    private final int serviceMs;
    private final Consumer<String> onShardRequest;
    private final IdempotencyKeys keys;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService responses =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "fake-searcher-responses");
                        thread.setDaemon(true);
                        return thread;
                    });
    private ServerSocket server;
    private Thread acceptor;
    private SlowStartCapacity capacity;
    private Runnable onOverload = () -> {};
    private Runnable onConnect = () -> {};
    private volatile long startedAt;

    /**
     * Starts a searcher that does not deduplicate by idempotency key.
     *
     * @param serviceMs the service time of a shard request, ms
     * @param onShardRequest is called with the name of each shard request on its arrival
     */
    public FakeSearcher(int serviceMs, Consumer<String> onShardRequest) throws IOException {
        this(serviceMs, onShardRequest, null);
    }

    /** Starts a searcher that deduplicates shard requests by idempotency key. */
    FakeSearcher(int serviceMs, Consumer<String> onShardRequest, IdempotencyKeys keys)
            throws IOException {
        this.serviceMs = serviceMs;
        this.onShardRequest = onShardRequest;
        this.keys = keys;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        acceptor = startAccepting(server);
    }

    private Thread startAccepting(ServerSocket listener) {
        return DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        connection.setTcpNoDelay(true);
                        connections.add(connection);
                        onConnect.run();
                        DaemonThreads.start(() -> serveUntilClosed(connection));
                    }
                });
    }

    private void serveUntilClosed(Socket connection) throws IOException {
        try (connection) {
            serve(connection);
        } finally {
            connections.remove(connection);
        }
    }

    /**
     * Limits the capacity of the searcher during its slow start. The listeners are called on each
     * overload and on each new connection.
     */
    void limitCapacity(
            SlowStartCapacity.Model model, Runnable overloadListener, Runnable connectListener) {
        capacity = new SlowStartCapacity(model);
        onOverload = overloadListener;
        onConnect = connectListener;
    }

    /** Closes the listening socket and all connections, as the end of the process would. */
    synchronized void stop() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
        DaemonThreads.awaitEnd(acceptor);
    }

    /**
     * Starts the searcher again if it is stopped, with a cold slow start and without the
     * idempotency keys it had served.
     */
    synchronized void restart() throws IOException {
        if (!server.isClosed()) {
            return;
        }
        startedAt = System.currentTimeMillis();
        if (capacity != null) {
            capacity.reset();
        }
        server = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        if (keys != null) {
            keys.forget(this);
        }
        acceptor = startAccepting(server);
    }

    /** Returns the time of the latest restart as Unix ms, or 0 if it was never restarted. */
    long startedAt() {
        return startedAt;
    }

    /** Returns the port that the searcher listens on. */
    public int port() {
        return port;
    }

    /**
     * Counts the shard requests of a call. Returns false and stops the searcher if they overload it
     * during its slow start.
     */
    private boolean admit(int shardRequests) throws IOException {
        if (capacity == null
                || startedAt == 0
                || capacity.accepts(shardRequests, startedAt, System.currentTimeMillis())) {
            return true;
        }
        onOverload.run();
        stop();
        return false;
    }

    private void serve(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        OutputStream out = connection.getOutputStream();
        while (true) {
            String frame = TextCodec.frame(in);
            if (frame.equals("EOF")) {
                return;
            }
            char kind = frame.charAt(0);
            if (kind == 'Q') {
                List<String> lines = lines(frame.substring(2));
                if (!admit(lines.size())) {
                    return;
                }
                respondLater(out, lines.stream().map(this::answer).toList());
            } else if (kind == 'P' || kind == 'L') {
                write(out, kind + " cpu=0.1,waiting=0");
            }
        }
    }

    private String answer(String line) {
        String name = nameOf(line);
        onShardRequest.accept(name);
        Matcher key = IDEMPOTENCY_KEY.matcher(line);
        boolean keyed = key.find() && keys != null;
        String value = keyed ? keys.run(this, key.group(2) + "/" + key.group(1)) : "v";
        return "A " + name + " ok 1 -\n" + value;
    }

    /**
     * Sends the answers of a call after the service time. Further calls are read meanwhile, and the
     * service time of each starts at its arrival.
     */
    private void respondLater(OutputStream out, List<String> answers) {
        responses.schedule(
                () -> {
                    try {
                        for (String answer : answers) {
                            write(out, answer);
                        }
                    } catch (IOException e) {
                        return; // the broker has closed the connection
                    }
                },
                serviceMs,
                TimeUnit.MILLISECONDS);
    }

    private static void write(OutputStream out, String frame) throws IOException {
        synchronized (out) {
            out.write(TextCodec.frame(frame));
        }
    }

    /** Returns the names of the shard requests of a call. */
    static List<String> shardRequestNames(String call) {
        return lines(call).stream().map(FakeSearcher::nameOf).toList();
    }

    private static String nameOf(String line) {
        return line.substring(0, line.indexOf(' '));
    }

    /**
     * Returns the head lines of a call. The last word of each is the length of the text that
     * follows the line. That text has no line break at its end.
     */
    private static List<String> lines(String call) {
        List<String> lines = new ArrayList<>();
        int offset = 0;
        while (offset < call.length()) {
            int end = call.indexOf('\n', offset);
            String line = call.substring(offset, end);
            lines.add(line);
            int textLength = Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
            offset = end + 1 + textLength;
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        stop();
        responses.shutdownNow();
    }
}
