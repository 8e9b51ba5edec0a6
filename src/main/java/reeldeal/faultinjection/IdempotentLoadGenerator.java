package reeldeal.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients whose requests have idempotency keys. Each sends its request to a healthy broker. If the
 * connection ends, no answer comes in time, or the request is refused or fails, it retries with the
 * same key at any healthy broker, sometimes with three attempts at once, until an answer reports
 * the outcome of the request or the timeout of the request has passed.
 */
final class IdempotentLoadGenerator implements AutoCloseable {
    private static final int DEADLINE_MS = 4_000;
    private static final int RESPONSE_TIMEOUT_MS =
            9_000; // long, since a broker that has just started may read a request late
    private static final int REQUEST_TIMEOUT_MS = 12_000;
    private static final int HEDGE_DELAY_MS =
            500; // after this a client that waits on a paused broker sends another attempt

    private static final Pattern RETRY_AFTER = Pattern.compile("retry-after=([0-9.]+)");

    private final Supplier<List<BrokerProcess>> healthy;
    private final int shards;
    private final boolean includeAudits;
    private final History history;
    private final SplittableRandom random;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;
    private int nextNumber;

    /**
     * Starts the clients. With {@code includeAudits} every fifth request is an audit report, which
     * has a second step.
     */
    IdempotentLoadGenerator(
            Supplier<List<BrokerProcess>> healthy,
            int shards,
            int perSecond,
            boolean includeAudits,
            long seed,
            History history) {
        this.includeAudits = includeAudits;
        this.healthy = healthy;
        this.shards = shards;
        this.history = history;
        random = new SplittableRandom(seed);
        Thread thread = new Thread(() -> startRequests(perSecond));
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    private synchronized int randomInt(int bound) {
        return random.nextInt(bound);
    }

    private void startRequests(int perSecond) {
        long startNanos = System.nanoTime();
        try {
            while (!stopped) {
                int number = nextNumber++;
                Thread request = new Thread(() -> runRequest("key" + number, number));
                request.setDaemon(true);
                request.start();
                synchronized (threads) {
                    threads.removeIf(t -> !t.isAlive());
                    threads.add(request);
                }
                long dueNanos = startNanos + (number + 1) * 1_000_000_000L / perSecond;
                Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runRequest(String key, int number) {
        long deadlineMs = history.elapsedMs() + REQUEST_TIMEOUT_MS;
        history.add(key, "want", "");
        try {
            for (int round = 0; history.elapsedMs() < deadlineMs; round++) {
                int copies = round > 0 && randomInt(4) == 0 ? 3 : 1;
                List<Thread> attempts = new ArrayList<>();
                boolean[] outcomeKnown = {false};
                // The Retry-After value of the latest answer, 0 if it had none.
                long[] retryMs = {0};
                for (int i = 0; i < copies; i++) {
                    String id = key + "-" + round + "-" + i;
                    List<BrokerProcess> healthyBrokers = healthy.get();
                    if (!healthyBrokers.isEmpty()) {
                        BrokerProcess broker = healthyBrokers.get(randomInt(healthyBrokers.size()));
                        Thread attempt =
                                new Thread(
                                        () -> {
                                            if (send(key, id, number, broker, retryMs)) {
                                                synchronized (outcomeKnown) {
                                                    outcomeKnown[0] = true;
                                                }
                                            }
                                        });
                        attempt.setDaemon(true);
                        attempt.start();
                        attempts.add(attempt);
                    }
                }
                for (Thread attempt : attempts) {
                    attempt.join(
                            round == 0 && randomInt(2) == 0
                                    ? HEDGE_DELAY_MS
                                    : DEADLINE_MS + HEDGE_DELAY_MS);
                }
                synchronized (outcomeKnown) {
                    if (outcomeKnown[0]) {
                        return;
                    }
                }
                Thread.sleep(50 + randomInt(250) + retryMs[0]);
            }
            history.add(key, "givesup", "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one attempt. Returns whether its answer reported the outcome of the request. */
    private boolean send(String key, String id, int number, BrokerProcess to, long[] retryMs) {
        boolean audit = includeAudits && number % 5 == 0;
        boolean twoShards = audit || number % 3 == 0;
        int shard = number % shards;
        String shardsJson =
                twoShards
                        ? "{\"shard\":"
                                + shard
                                + ",\"weight\":0.5},{\"shard\":"
                                + (shard + 5) % shards
                                + ",\"weight\":0.5}"
                        : "{\"shard\":" + shard + ",\"weight\":1}";
        String attributes = "id=" + id + " key=" + key + " to=" + to.name;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), to.port), 1_000);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            history.add(key, "ask", attributes);
            try {
                socket.getOutputStream()
                        .write(
                                TextCodec.request(
                                        "POST",
                                        audit ? "/audit-report" : "/bid-mark",
                                        "X-Correlation-Id: "
                                                + id
                                                + "\r\nX-Time-Left-Ms: "
                                                + DEADLINE_MS
                                                + "\r\nIdempotency-Key: "
                                                + key
                                                + "\r\n",
                                        "{\"shards\":[" + shardsJson + "],\"q\":\"x\"}"));
                String answer = TextCodec.readHttp(socket.getInputStream());
                if (answer.equals("EOF")) {
                    throw new IOException("ended");
                }
                String status = answer.split(" ")[0];
                history.add(
                        key,
                        "answer",
                        attributes
                                + " status="
                                + status
                                + " whole="
                                + answer.contains("\"complete\":true")
                                + " body="
                                + answer.substring(answer.indexOf(' ') + 1)
                                        .trim()
                                        .replace(' ', '_')
                                        .replace('=', '_'));
                Matcher retry = RETRY_AFTER.matcher(answer);
                retryMs[0] = retry.find() ? (long) (1_000 * Double.parseDouble(retry.group(1))) : 0;
                return status.equals("200") || status.equals("409");
            } catch (IOException e) {
                history.add(key, "noanswer", attributes + " why=" + e.getMessage());
            }
        } catch (IOException e) {
            history.add(key, "nobody", "to=" + to.name);
        }
        return false;
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        List<Thread> running;
        synchronized (threads) {
            running = List.copyOf(threads);
        }
        for (Thread t : running) {
            t.join(REQUEST_TIMEOUT_MS + 2 * RESPONSE_TIMEOUT_MS);
        }
    }
}
