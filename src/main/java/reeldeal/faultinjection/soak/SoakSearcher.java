package reeldeal.faultinjection.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reeldeal.faultinjection.DaemonThreads;
import reeldeal.faultinjection.TextCodec;

/**
 * A searcher on loopback that reports each attempt to the ledger and misbehaves on command. Its
 * methods may be called from any thread.
 */
final class SoakSearcher implements AutoCloseable {
    /** How the searcher treats shard requests. */
    enum Mode {
        /** It answers after its service time. */
        SERVING,
        /** It reads and never answers. */
        HANGING,
        /** It answers each with an error. */
        FAILING,
        /** It closes the connection instead of answering. */
        RESETTING
    }

    /** One shard request of a call. */
    private record ShardRequest(String id, int shard, long toldMs, String key, String text) {
        String requestName() {
            return id.substring(0, id.indexOf('.'));
        }
    }

    /** The units of work that arrived at one time, shard requests and the call that held them. */
    private record Arrival(long atNanos, int units) {}

    private static final int BACKLOG = 512;
    private static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task, "soak-searcher");
                        thread.setDaemon(true);
                        return thread;
                    });

    final String name;
    final int cell;
    private final int port;
    private final RequestLedger ledger;
    private final SlowStartBudget budget;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Deque<Arrival> recent = new ArrayDeque<>();
    private ServerSocket listener;
    private Thread acceptor;
    private volatile Mode mode = Mode.SERVING;
    private volatile int serviceMs;
    private volatile long startedUnixMs;
    private volatile long startedNanos;
    private volatile boolean overloaded;

    SoakSearcher(
            String name,
            int cell,
            int port,
            int serviceMs,
            SlowStartBudget budget,
            RequestLedger ledger)
            throws IOException {
        this.name = name;
        this.cell = cell;
        this.serviceMs = serviceMs;
        this.budget = budget;
        this.ledger = ledger;
        listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        this.port = listener.getLocalPort();
        acceptor = startAccepting(listener);
    }

    /** Returns the value of a shard, which follows from the query's text and the shard alone. */
    static String value(String text, int shard) {
        return Long.toHexString((text + "/" + shard).hashCode() * 0x9e3779b97f4a7c15L);
    }

    int port() {
        return port;
    }

    /** Returns the Unix ms of the latest restart, 0 if there was none. */
    long startedUnixMs() {
        return startedUnixMs;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Closes the listening socket and all connections, as the end of a process would. */
    synchronized void stop() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
        DaemonThreads.awaitEnd(acceptor);
    }

    /** Starts a stopped searcher again, cold. */
    synchronized void restart() throws IOException {
        synchronized (recent) {
            recent.clear();
        }
        overloaded = false;
        mode = Mode.SERVING;
        startedUnixMs = System.currentTimeMillis();
        startedNanos = System.nanoTime();
        listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        acceptor = startAccepting(listener);
    }

    private Thread startAccepting(ServerSocket socket) {
        return DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        connections.add(connection);
                        DaemonThreads.start(() -> serveUntilClosed(connection));
                    }
                });
    }

    private void serveUntilClosed(Socket connection) throws IOException {
        try (connection) {
            DataInputStream in = new DataInputStream(connection.getInputStream());
            Set<String> cancelled = ConcurrentHashMap.newKeySet();
            long received = 0;
            while (true) {
                int length = in.readInt();
                byte[] frame = in.readNBytes(length);
                received += Integer.BYTES + length;
                String payload =
                        new String(
                                frame,
                                1,
                                frame.length - 1,
                                java.nio.charset.StandardCharsets.UTF_8);
                switch (frame[0]) {
                    case 'Q' -> onCall(parse(payload), connection, received, cancelled);
                    case 'X' -> cancelled.add(payload);
                    case 'P', 'L' -> {
                        if (mode != Mode.HANGING) {
                            write(connection, (char) frame[0] + " ok");
                        }
                    }
                    default -> throw new IOException("unknown frame");
                }
            }
        } finally {
            connections.remove(connection);
        }
    }

    private static List<ShardRequest> parse(String call) {
        List<ShardRequest> parsed = new ArrayList<>();
        int at = 0;
        while (at < call.length()) {
            int end = call.indexOf('\n', at);
            String[] fields = call.substring(at, end).split(" ");
            int length = Integer.parseInt(fields[3]);
            long toldMs = 0;
            String key = null;
            for (String item : fields[2].split(",")) {
                if (item.startsWith("d=")) {
                    toldMs = Long.parseLong(item.substring(2));
                } else if (item.startsWith("k=")) {
                    key = item.substring(2);
                }
            }
            String text = call.substring(end + 1, end + 1 + length);
            parsed.add(new ShardRequest(fields[0], Integer.parseInt(fields[1]), toldMs, key, text));
            at = end + 1 + length;
        }
        return parsed;
    }

    private void onCall(
            List<ShardRequest> call, Socket connection, long received, Set<String> cancelled)
            throws IOException {
        for (ShardRequest request : call) {
            ledger.attempt(
                    request.requestName(),
                    request.shard(),
                    request.toldMs(),
                    name,
                    new RequestLedger.Received(connection.getPort(), received));
            if (request.key() != null) {
                ledger.runOnce(request.key(), request.shard());
            }
        }
        countSlowStart(call.size());
        Mode now = mode;
        if (now == Mode.RESETTING) {
            connection.setSoLinger(true, 0);
            connection.close();
        } else if (now != Mode.HANGING) {
            TIMER.schedule(
                    () -> answer(call, connection, cancelled, now),
                    serviceMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void countSlowStart(int units) {
        long startNanos = startedNanos;
        long now = System.nanoTime();
        double ageMs = (now - startNanos) / 1e6;
        synchronized (recent) {
            recent.add(new Arrival(now, units));
            while (recent.peek().atNanos() < now - budget.windowMs() * 1_000_000L) {
                recent.poll();
            }
            int sum = recent.stream().mapToInt(Arrival::units).sum();
            if (startNanos == 0 || ageMs >= budget.slowStartMs()) {
                budget.warm().observe(sum, budget.windowMs());
            } else if (!overloaded && sum > budget.limit(ageMs)) {
                overloaded = true;
                ledger.violation(
                        "slow start",
                        String.format(
                                "%s got %d in the window, allowed %.1f, %.0f ms after its start",
                                name, sum, budget.limit(ageMs), ageMs));
            }
        }
    }

    private void answer(
            List<ShardRequest> call, Socket connection, Set<String> cancelled, Mode answerMode) {
        for (ShardRequest request : call) {
            if (cancelled.contains(request.id())) {
                continue;
            }
            String answer =
                    answerMode == Mode.FAILING
                            ? "A " + request.id() + " err - -\n"
                            : "A "
                                    + request.id()
                                    + " ok 1 -\n"
                                    + value(request.text(), request.shard());
            try {
                write(connection, answer);
            } catch (IOException e) {
                return; // the broker has closed the connection
            }
        }
    }

    private static void write(Socket connection, String frame) throws IOException {
        synchronized (connection) {
            OutputStream out = connection.getOutputStream();
            out.write(TextCodec.frame(frame));
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
