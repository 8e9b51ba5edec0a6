package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Clients of the platform's front: the site's mix of classes at a steady rate. */
final class Clients {
    private static final int SHARDS = 12;

    private final Lab lab;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(Executors.newCachedThreadPool(Clients::daemon))
                    .build();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(Clients::daemon);
    private volatile int port;
    private final Random random = new Random(7);

    Clients(Lab lab) {
        this.lab = lab;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    }

    /** Waits until a broker says that it is ready; returns whether it did in time. */
    boolean awaitReady(int brokerPort, int timeoutMs) {
        double until = lab.now() + timeoutMs;
        while (lab.now() < until) {
            try {
                HttpResponse<String> response =
                        http.send(
                                HttpRequest.newBuilder(
                                                URI.create(
                                                        "http://127.0.0.1:"
                                                                + brokerPort
                                                                + "/_health"))
                                        .timeout(Duration.ofSeconds(2))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() == 200) {
                    lab.note("ready: port " + brokerPort);
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            } catch (InterruptedException e) {
                return false;
            }
            Lab.sleep(100);
        }
        return false;
    }

    /** Sends queries at a rate until the run ends; 0 as port pauses them. */
    void start(int brokerPort, double perSecond) {
        port = brokerPort;
        timer.scheduleAtFixedRate(
                this::sendOne, 0, (long) (1e6 / perSecond), TimeUnit.MICROSECONDS);
    }

    /** Sets the port of the broker to which new queries go; 0 for none. */
    void setPort(int brokerPort) {
        port = brokerPort;
    }

    synchronized String outcomes() {
        return outcomes.toString();
    }

    synchronized int count(String outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    private void sendOne() {
        int brokerPort = port;
        if (brokerPort == 0) {
            return;
        }
        double draw = random.nextDouble();
        if (draw < 0.12) {
            send(brokerPort, "audit-report", 4, 12_000);
        } else if (draw < 0.75) {
            send(brokerPort, "notice-search", 3 + random.nextInt(3), 4_000);
        } else {
            send(brokerPort, "bid-mark", 1, 5_000);
        }
    }

    private void send(int brokerPort, String queryClass, int parts, int timeLeftMs) {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
        int first = random.nextInt(SHARDS);
        List<String> shards = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            shards.add(
                    "{\"shard\":" + (first + i) % SHARDS + ",\"weight\":" + 1.0 / parts + "}");
        }
        String body = "{\"shards\":[" + String.join(",", shards) + "],\"q\":\"" + id + "\"}";
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + brokerPort + "/" + queryClass))
                        .timeout(Duration.ofMillis(timeLeftMs + 1_000))
                        .header("X-Correlation-Id", id)
                        .header("X-Time-Left-Ms", String.valueOf(timeLeftMs))
                        .header("Idempotency-Key", UUID.randomUUID().toString().replace("-", ""))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete(
                        (response, error) -> {
                            String outcome =
                                    error != null ? "none" : String.valueOf(response.statusCode());
                            synchronized (this) {
                                outcomes.merge(outcome, 1, Integer::sum);
                            }
                            lab.note("client: " + queryClass + " " + id + " -> " + outcome);
                        });
    }
}
