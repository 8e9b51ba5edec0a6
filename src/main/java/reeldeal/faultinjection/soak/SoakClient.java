package reeldeal.faultinjection.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reeldeal.faultinjection.TextCodec;
import reeldeal.faultinjection.soak.RequestLedger.Request;

/**
 * A client of one broker. It keeps its connection until the broker ends it, and at random leaves
 * early, sends ahead, writes slowly, stops in the middle of a request or rests. Runs on a thread of
 * its own.
 */
final class SoakClient implements Runnable {
    /**
     * The traffic of a client.
     *
     * @param classes the classes of requests
     * @param shards the number of shards
     * @param thinkMs the mean pause between two requests, ms
     */
    record Traffic(List<QueryClass> classes, int shards, int thinkMs) {}

    /** A class of requests, whose final answer comes within its deadline. */
    record QueryClass(String name, int deadlineMs, boolean keyed, boolean fetches) {}

    /** A connection, and what the broker had read from its port before. */
    private static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final int readBefore;
        long written;

        Connection(Socket socket, int readBefore) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.readBefore = readBefore;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private record Response(int status, boolean closes, String body) {}

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MIN_TIME_LEFT_MS = 200;
    private static final int RETRY_MS = 20;

    /** The time in which a client that stops in the middle gets an error or a close, ms. */
    private static final int BAD_CLIENT_MS = 3_050;

    private static final int REST_MS = 4_000;
    private static final int REST_SPREAD_MS = 60;
    private static final Pattern HIT =
            Pattern.compile("\\{\"shard\":([0-9]+),\"doc\":\"([^\"]*)\"\\}");
    private static final AtomicLong NUMBERS = new AtomicLong(System.nanoTime() & 0xffffffL);

    private final SoakBroker broker;
    private final RequestLedger ledger;
    private final Traffic traffic;
    private final SplittableRandom random;
    private volatile boolean stopped;

    SoakClient(SoakBroker broker, RequestLedger ledger, Traffic traffic, SplittableRandom random) {
        this.broker = broker;
        this.ledger = ledger;
        this.traffic = traffic;
        this.random = random;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            if (!broker.takesNewConnections()) {
                sleep(RETRY_MS);
                continue;
            }
            try (Connection connection = connect()) {
                use(connection);
            } catch (IOException e) {
                sleep(RETRY_MS); // refused or reset: the broker is not there
            }
        }
    }

    private Connection connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), broker.port),
                CONNECT_TIMEOUT_MS);
        return new Connection(socket, broker.faults.bytesRead(socket.getLocalPort()));
    }

    private void use(Connection connection) throws IOException {
        boolean open = true;
        while (open && !stopped) {
            sleep(random.nextInt(2 * traffic.thinkMs()));
            int behaviour = random.nextInt(100);
            if (behaviour < 12) {
                leave(connection);
                open = false;
            } else if (behaviour < 18) {
                open = sendAhead(connection);
            } else if (behaviour < 24) {
                open = ask(connection, true);
            } else if (behaviour < 26) {
                stopInTheMiddle(connection);
                open = false;
            } else if (behaviour < 29) {
                sleep(REST_MS - REST_SPREAD_MS + random.nextInt(2 * REST_SPREAD_MS));
                open = ask(connection, false);
            } else {
                open = ask(connection, false);
            }
        }
    }

    // ---- behaviours; each returns whether the connection stays open ----

    private boolean ask(Connection connection, boolean slowly) throws IOException {
        Request request = newRequest();
        byte[] bytes = encode(request);
        if (slowly) {
            int half = 1 + random.nextInt(bytes.length - 1);
            try {
                write(connection, bytes, 0, half);
                sleep(random.nextInt(60));
            } catch (IOException e) {
                return false; // the broker ended the connection before the request was whole
            }
            ledger.begin(request);
            return send(connection, request, bytes, half) && await(connection, request);
        }
        ledger.begin(request);
        return send(connection, request, bytes, 0) && await(connection, request);
    }

    private boolean sendAhead(Connection connection) throws IOException {
        List<Request> requests = new ArrayList<>();
        int timeLeftMs = 0;
        for (int i = 2 + random.nextInt(2); i > 0; i--) {
            // Answers come in order, so that no request may have less time than one before it.
            Request request = newRequest(timeLeftMs);
            timeLeftMs = request.timeLeftMs;
            ledger.begin(request);
            requests.add(request);
            if (!send(connection, request, encode(request), 0)) {
                requests.forEach(sent -> noAnswer(connection, sent, "not written whole"));
                return false;
            }
        }
        boolean open = true;
        for (Request request : requests) {
            if (open) {
                open = await(connection, request);
            } else if (request.endedAt == 0) {
                noAnswer(connection, request, "connection ended before its answer");
            }
        }
        return open;
    }

    private void leave(Connection connection) throws IOException {
        Request request = newRequest();
        ledger.begin(request);
        if (!send(connection, request, encode(request), 0)) {
            return;
        }
        sleep(random.nextInt(150));
        if (random.nextBoolean()) {
            connection.socket.setSoLinger(true, 0);
        }
        connection.close();
        ledger.left(request);
    }

    private void stopInTheMiddle(Connection connection) throws IOException {
        byte[] bytes = encode(newRequest());
        long startedAt = System.nanoTime();
        write(connection, bytes, 0, 1 + random.nextInt(bytes.length - 1));
        try {
            read(connection, startedAt + BAD_CLIENT_MS * 1_000_000L);
        } catch (SocketTimeoutException e) {
            if (broker.isServing()) {
                ledger.violation(
                        "bad client", broker.name + ": half a request, no error, no close");
            }
        }
        ledger.count("stopped in the middle");
    }

    // ---- one request ----

    private Request newRequest() {
        return newRequest(0);
    }

    private Request newRequest(int minTimeLeftMs) {
        QueryClass queryClass = traffic.classes().get(random.nextInt(traffic.classes().size()));
        int first = random.nextInt(traffic.shards());
        int count = 1 + random.nextInt(4);
        List<Integer> shards = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            shards.add((first + i) % traffic.shards());
        }
        String name = String.format("%016x", NUMBERS.incrementAndGet());
        int spread = Math.max(1, queryClass.deadlineMs() - MIN_TIME_LEFT_MS);
        return new Request(
                name,
                broker.name,
                queryClass.name(),
                "q" + name,
                queryClass.keyed() ? String.format("%032x", random.nextLong() >>> 1) : null,
                shards,
                Math.max(minTimeLeftMs, MIN_TIME_LEFT_MS + random.nextInt(spread)));
    }

    private static byte[] encode(Request request) {
        StringBuilder shards = new StringBuilder();
        for (int i = 0; i < request.shards.size(); i++) {
            shards.append(i == 0 ? "" : ",")
                    .append("{\"shard\":")
                    .append(request.shards.get(i))
                    .append(",\"weight\":")
                    .append(1.0 / request.shards.size())
                    .append('}');
        }
        return TextCodec.request(
                "POST",
                "/" + request.queryClass,
                "X-Correlation-Id: "
                        + request.name
                        + "\r\nX-Time-Left-Ms: "
                        + request.timeLeftMs
                        + "\r\n"
                        + (request.key == null ? "" : "Idempotency-Key: " + request.key + "\r\n"),
                "{\"shards\":[" + shards + "],\"q\":\"" + request.text + "\"}");
    }

    private void write(Connection connection, byte[] bytes, int from, int to) throws IOException {
        connection.socket.getOutputStream().write(bytes, from, to - from);
        connection.written += to - from;
    }

    /** Writes the rest of a request; if that fails, the broker cannot have read it whole. */
    private boolean send(Connection connection, Request request, byte[] bytes, int from) {
        try {
            write(connection, bytes, from, bytes.length);
            ledger.written(request);
            return true;
        } catch (IOException e) {
            ledger.excused(request, "not written");
            return false;
        }
    }

    private boolean await(Connection connection, Request request) throws IOException {
        Response response;
        try {
            response = read(connection, request.lostAt(System.nanoTime()));
        } catch (SocketTimeoutException e) {
            if (broker.excusesUnanswered(request.sentAt, request.timeLeftMs)) {
                ledger.excused(request, RequestLedger.KILLED);
            } else {
                ledger.lost(request, "no answer in time, " + readState(connection));
            }
            return false;
        } catch (IOException e) {
            response = null;
        }
        if (response == null) {
            noAnswer(connection, request, "connection ended");
            return false;
        }
        ledger.answered(request, response.status());
        check(request, response);
        return !response.closes();
    }

    private void noAnswer(Connection connection, Request request, String how) {
        if (request.endedAt != 0) {
            return;
        }
        if (broker.excusesUnanswered(request.sentAt, request.timeLeftMs)) {
            ledger.excused(request, RequestLedger.KILLED);
        } else if (unreadBytes(connection) > 0 && request.attempts.get() == 0) {
            ledger.excused(request, "unread");
        } else {
            ledger.lost(request, how + " after it was read");
        }
    }

    private int unreadBytes(Connection connection) {
        int read =
                broker.faults.bytesRead(connection.socket.getLocalPort()) - connection.readBefore;
        return (int) connection.written - read;
    }

    private String readState(Connection connection) {
        return unreadBytes(connection) > 0 ? "unread" : "read";
    }

    private void check(Request request, Response response) {
        if (response.status() != 200) {
            return;
        }
        boolean complete = response.body().startsWith("{\"complete\":true");
        List<Integer> answered = new ArrayList<>();
        Matcher hit = HIT.matcher(response.body());
        while (hit.find()) {
            int shard = Integer.parseInt(hit.group(1));
            answered.add(shard);
            if (!hit.group(2).equals(SoakSearcher.value(request.text, shard))) {
                ledger.violation("lost", ledger.describe(request) + ": foreign value");
            }
        }
        boolean fetches =
                traffic.classes().stream()
                        .anyMatch(c -> c.name().equals(request.queryClass) && c.fetches());
        boolean whole = fetches || answered.containsAll(request.shards);
        if (!request.shards.containsAll(answered) || (complete && !whole)) {
            ledger.violation("partial", ledger.describe(request) + ": " + response.body());
        }
    }

    // ---- HTTP ----

    /** Reads a response, or returns null at the end of the connection. */
    private static Response read(Connection connection, long untilNanos) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = readByte(connection, untilNanos);
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
        int at = lower.indexOf("content-length:");
        int length = Integer.parseInt(lower.substring(at + 15, lower.indexOf("\r\n", at)).trim());
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            int next = readByte(connection, untilNanos);
            if (next < 0) {
                return null;
            }
            body[i] = (byte) next;
        }
        return new Response(
                Integer.parseInt(head.substring(9, 12)),
                lower.contains("connection: close"),
                new String(body, StandardCharsets.UTF_8));
    }

    private static int readByte(Connection connection, long untilNanos) throws IOException {
        if (connection.in.available() == 0) {
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                throw new SocketTimeoutException();
            }
            connection.socket.setSoTimeout((int) leftMs);
        }
        return connection.in.read();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
