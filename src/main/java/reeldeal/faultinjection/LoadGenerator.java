package reeldeal.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send queries at a steady rate. Like clients behind a load balancer they send only to
 * brokers that passed their latest health check. Each query is sent once, without retries, so that
 * every query without an answer is visible in the history.
 */
final class LoadGenerator {
    private static final int RESPONSE_TIMEOUT_MS = 9_000;
    private static final int HEALTH_CHECK_INTERVAL_MS = 200;

    /** How long a connection may have been idle to be used again, ms. */
    private static final int MAX_IDLE_MS = 1_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** An open connection to a broker and the time of its last use. */
    private record PooledConnection(Socket socket, long usedNanos) {}

    private final List<BrokerProcess> brokers;
    private final int shards;
    private final History history;
    private final Map<String, Boolean> healthByBroker =
            new java.util.concurrent.ConcurrentHashMap<>();
    private final AtomicInteger lastQueryNumber = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;
    private volatile int rateFactor = 1;
    private final boolean mixedClasses;

    LoadGenerator(
            List<BrokerProcess> brokers, int shards, int perSecond, int clients, History history) {
        this(brokers, shards, perSecond, clients, false, history);
    }

    /**
     * Starts the clients. With {@code mixedClasses} one of eight queries is an audit report and two
     * are bid marks.
     */
    LoadGenerator(
            List<BrokerProcess> brokers,
            int shards,
            int perSecond,
            int clients,
            boolean mixedClasses,
            History history) {
        this.mixedClasses = mixedClasses;
        this.brokers = brokers;
        this.shards = shards;
        this.history = history;
        startThread(this::pollHealth);
        for (int i = 0; i < clients; i++) {
            String client = "c" + i;
            startThread(() -> runClient(client, 1_000L * clients / perSecond));
        }
    }

    private void startThread(DaemonThreads.Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                history.add("load", "error", String.valueOf(e));
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    /** Multiplies the rate of the clients by a factor from now on. */
    void setRateFactor(int factor) {
        rateFactor = factor;
    }

    private void pollHealth() throws InterruptedException {
        while (!stopped) {
            for (BrokerProcess broker : brokers) {
                healthByBroker.put(broker.name, broker.isServing() && isHealthy(broker));
            }
            Thread.sleep(HEALTH_CHECK_INTERVAL_MS);
        }
    }

    private static boolean isHealthy(BrokerProcess broker) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), broker.port), 200);
            socket.setSoTimeout(200);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
            return TextCodec.readHttp(socket.getInputStream()).startsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the brokers that passed their latest health check. */
    List<BrokerProcess> healthy() {
        return brokers.stream()
                .filter(broker -> healthByBroker.getOrDefault(broker.name, false))
                .toList();
    }

    private void runClient(String client, long intervalMs) throws InterruptedException {
        Map<String, PooledConnection> pool = new HashMap<>();
        while (!stopped) {
            long startNanos = System.nanoTime();
            int number = lastQueryNumber.incrementAndGet();
            List<BrokerProcess> targets = healthy();
            if (targets.isEmpty()) {
                history.add(client, "nobody", "");
            } else {
                sendQuery(createQuery(client, number), targets.get(number % targets.size()), pool);
            }
            long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
            Thread.sleep(Math.max(1, intervalMs / rateFactor - elapsedMs));
        }
        pool.values().forEach(connection -> closeQuietly(connection.socket()));
    }

    /** A query of a client. */
    private record Query(String client, String id, String queryClass, int shard) {}

    private Query createQuery(String client, int number) {
        return new Query(client, client + "-" + number, queryClass(number), number % shards);
    }

    private String queryClass(int number) {
        if (!mixedClasses) {
            return "notice-search";
        }
        if (number % 8 == 0) {
            return "audit-report";
        }
        return number % 4 == 1 ? "bid-mark" : "notice-search";
    }

    private byte[] buildRequest(Query query) {
        boolean keyed = query.queryClass().equals("bid-mark");
        String key = keyed ? "Idempotency-Key: " + query.id() + "\r\n" : "";
        String headers =
                "X-Correlation-Id: " + query.id() + "\r\n" + key + "X-Time-Left-Ms: 2000\r\n";
        String body =
                "{\"shards\":[{\"shard\":"
                        + query.shard()
                        + ",\"weight\":0.5},{\"shard\":"
                        + (query.shard() + 1) % shards
                        + ",\"weight\":0.5}],\"q\":\"x\"}";
        return TextCodec.request("POST", "/" + query.queryClass(), headers, body);
    }

    private void sendQuery(Query query, BrokerProcess broker, Map<String, PooledConnection> pool) {
        String idAttributes = "id=" + query.id() + " to=" + broker.name;
        String classAttribute = mixedClasses ? " class=" + query.queryClass() : "";
        Socket socket;
        try {
            socket = connect(broker, pool.remove(broker.name));
        } catch (IOException e) {
            history.add(query.client(), "nobody", "to=" + broker.name);
            return;
        }
        history.add(query.client(), "ask", idAttributes + classAttribute);
        try {
            socket.getOutputStream().write(buildRequest(query));
            String answer = TextCodec.readHttp(socket.getInputStream());
            if (answer.equals("EOF")) {
                throw new IOException("ended");
            }
            history.add(
                    query.client(),
                    "answer",
                    idAttributes + describeAnswer(answer, classAttribute));
            pool.put(broker.name, new PooledConnection(socket, System.nanoTime()));
        } catch (IOException e) {
            history.add(query.client(), "noanswer", idAttributes + " why=" + e.getMessage());
            closeQuietly(socket);
        }
    }

    private static String describeAnswer(String answer, String classAttribute) {
        boolean complete = answer.contains("\"complete\":true");
        String body = answer.startsWith("200") ? "" : " body=" + answer.replace(' ', '_');
        return " status=" + answer.split(" ")[0] + " whole=" + complete + classAttribute + body;
    }

    /**
     * Returns the pooled connection if it can still be used, else a new one. A connection that was
     * idle for long is not used, since the broker may be closing it.
     */
    private static Socket connect(BrokerProcess broker, PooledConnection pooled)
            throws IOException {
        if (pooled != null) {
            Socket socket = pooled.socket();
            if (System.nanoTime() - pooled.usedNanos() > MAX_IDLE_MS * 1_000_000L) {
                socket.close();
            } else if (socket.getInputStream().available() == 0 && !isClosedByPeer(socket)) {
                return socket;
            }
        }
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), broker.port),
                CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return socket;
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // the socket was closed already
        }
    }

    /**
     * Returns whether the broker has closed an idle connection. A query sent on it would be lost by
     * this client, not by the broker.
     */
    private static boolean isClosedByPeer(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            try {
                socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                return false;
            } catch (IOException cannotSetTimeout) {
                return true;
            }
        } catch (IOException e) {
            return true;
        }
    }

    void close() throws InterruptedException {
        stopped = true;
        for (Thread t : threads) {
            t.join();
        }
    }
}
