package reeldeal.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import reeldeal.faultinjection.DaemonThreads;
import reeldeal.faultinjection.TextCodec;

/**
 * Soaks a broker with clients that write slowly, send without end, or leave with much unread. A
 * long run is started by hand with the system properties below.
 */
public class ClientPressureTest {
    private static final int SECONDS = Integer.getInteger("reeldeal.pressure.seconds", 6);
    private static final long SEED = Long.getLong("reeldeal.pressure.seed", 1);

    /** Half of the limit of a deployment: on days of an upgrade two processes share it. */
    private static final long MAX_RESIDENT_KB = 192 * 1024 / 2;

    private static final int SLOW_CLIENTS = 600;
    private static final int LEAVING_CLIENTS = 8;
    private static final int SENT_AHEAD_BYTES = 3_000_000;

    /** How long after the end of its client an attempt may begin, ms. */
    private static final long MAX_AFTER_END_MS = 100;

    private static final int SERVICE_MS = 20;
    private static final int TIME_LEFT_MS = 2_000;
    private static final int PAUSE_MS = 50;
    private static final int RECONNECT_MS = 100;

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final AtomicInteger names = new AtomicInteger();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private RecordingSearcher searcher;
    private FaultyBroker broker;
    private volatile boolean ended;

    @Before
    public void start() throws Exception {
        searcher = new RecordingSearcher(SERVICE_MS);
        broker = FaultyBroker.withFlagsOfRun(List.of(searcher.port()));
    }

    @After
    public void stop() throws Exception {
        ended = true;
        broker.close();
        searcher.close();
    }

    private byte[] request(String prefix) {
        return FaultyBroker.request(prefix + names.incrementAndGet(), TIME_LEFT_MS);
    }

    /**
     * A client that expects each of its requests, now and then on a new connection, to be served.
     */
    private void requestInTurn() throws Exception {
        Socket client = broker.connect();
        for (int request = 0; !ended; request++) {
            if (request % 4 == 3) {
                client.close();
                client = broker.connect();
            }
            long sentAt = System.nanoTime();
            client.getOutputStream().write(request("sound"));
            String answer = TextCodec.readHttp(client.getInputStream());
            long elapsedMs = (System.nanoTime() - sentAt) / 1_000_000;
            if (!ended && (!answer.startsWith("200 ") || elapsedMs > TIME_LEFT_MS)) {
                faults.add(answer.strip() + " after " + elapsedMs + " ms");
            }
            answered.incrementAndGet();
            Thread.sleep(PAUSE_MS);
        }
    }

    private long peakResidentKb() throws IOException {
        Path status = Path.of("/proc/" + broker.pid() + "/status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no VmHWM in " + status);
    }

    private String slowRequest(SplittableRandom choice) {
        StringBuilder head = new StringBuilder("POST /notice-search HTTP/1.1\r\n");
        boolean shortFields = choice.nextInt(3) == 0;
        int valueBytes = shortFields ? 0 : choice.nextInt(160);
        for (int field = 0; field < 90; field++) {
            head.append("f")
                    .append(field)
                    .append(":")
                    .append("v".repeat(valueBytes))
                    .append("\r\n");
        }
        if (shortFields && choice.nextBoolean()) {
            return head + "f:\r\n".repeat(choice.nextInt(3_000));
        }
        head.append("Content-Length: 64000\r\n\r\n");
        return head + "x".repeat(choice.nextInt(63_000));
    }

    /** A client that stops half way through each of its requests until it is rejected. */
    private void writeSlowly(SplittableRandom choice) throws Exception {
        while (!ended) {
            try (Socket client = broker.connect()) {
                byte[] bytes = slowRequest(choice).getBytes(StandardCharsets.US_ASCII);
                int cut = choice.nextInt(bytes.length);
                client.getOutputStream().write(bytes, 0, cut);
                Thread.sleep(choice.nextInt(PAUSE_MS));
                client.getOutputStream().write(bytes, cut, bytes.length - cut);
                client.getInputStream().readAllBytes();
            } catch (IOException e) {
                Thread.sleep(RECONNECT_MS); // the broker has no place for this client
            }
        }
    }

    @Test
    public void hundredsOfSlowClientsLeaveTwoProcessesWithinTheMemoryLimit() throws Exception {
        for (int client = 0; client < SLOW_CLIENTS; client++) {
            SplittableRandom choice = random.split();
            DaemonThreads.start(() -> writeSlowly(choice));
        }
        Thread.sleep(SECONDS * 1_000L);
        long peakKb = peakResidentKb();
        assertTrue("peak " + peakKb + " KB, seed " + SEED, peakKb <= MAX_RESIDENT_KB);
    }

    /** Sends blocks of requests without a pause, and discards the answers. */
    private void flood(boolean toHealth) throws Exception {
        while (!ended) {
            try (Socket client = broker.connect()) {
                InputStream in = client.getInputStream();
                DaemonThreads.start(() -> in.transferTo(OutputStream.nullOutputStream()));
                while (!ended) {
                    StringBuilder block = new StringBuilder();
                    for (int request = 0; request < 1_000; request++) {
                        block.append(
                                toHealth
                                        ? "GET /_health HTTP/1.1\r\n\r\n"
                                        : new String(request("n"), StandardCharsets.US_ASCII));
                    }
                    byte[] bytes = block.toString().getBytes(StandardCharsets.US_ASCII);
                    client.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                Thread.sleep(1); // the broker has ended the connection
            }
        }
    }

    private void assertOthersAreServedBesideAFlood(boolean toHealth) throws Exception {
        DaemonThreads.start(this::requestInTurn);
        DaemonThreads.start(this::requestInTurn);
        DaemonThreads.start(() -> flood(toHealth));
        Thread.sleep(SECONDS * 1_000L);
        assertEquals(faults.stream().limit(5).toList().toString(), 0, faults.size());
        int fewest = SECONDS * 1_000 / TIME_LEFT_MS;
        assertTrue(answered + " answered, seed " + SEED, answered.get() >= fewest);
        long peakKb = peakResidentKb();
        assertTrue("peak " + peakKb + " KB", peakKb <= MAX_RESIDENT_KB);
    }

    @Test
    public void otherClientsAreServedInTimeBesideAFloodOfSmallRequests() throws Exception {
        assertOthersAreServedBesideAFlood(true);
    }

    @Test
    public void otherClientsAreServedInTimeBesideAFloodUnderEverNewNames() throws Exception {
        assertOthersAreServedBesideAFlood(false);
    }

    /** Sends far more than the broker has read when the client leaves; returns its end. */
    private long sendMuchAndLeave(String prefix) throws Exception {
        StringBuilder requests = new StringBuilder();
        while (requests.length() < SENT_AHEAD_BYTES) {
            requests.append(new String(request(prefix), StandardCharsets.US_ASCII));
        }
        byte[] bytes = requests.toString().getBytes(StandardCharsets.US_ASCII);
        Socket client = broker.connect();
        DaemonThreads.start(() -> client.getOutputStream().write(bytes));
        Thread.sleep(PAUSE_MS);
        client.close();
        return System.nanoTime();
    }

    @Test
    public void nothingIsSentForClientsThatLeftWithMuchUnread() throws Exception {
        Map<String, Long> endedAtNanos = new ConcurrentHashMap<>();
        for (int round = 0; round < SECONDS / 2; round++) {
            for (int client = 0; client < LEAVING_CLIENTS; client++) {
                String prefix = "left" + round + "x" + client + "-";
                DaemonThreads.start(() -> endedAtNanos.put(prefix, sendMuchAndLeave(prefix)));
            }
            Thread.sleep(2_000);
        }
        List<String> late = new ArrayList<>();
        for (RecordingSearcher.Attempt attempt : searcher.attempts) {
            String prefix = attempt.name().substring(0, attempt.name().indexOf('-') + 1);
            long afterMs = (attempt.atNanos() - endedAtNanos.get(prefix)) / 1_000_000;
            if (afterMs > MAX_AFTER_END_MS) {
                late.add(attempt.name() + " after " + afterMs + " ms");
            }
        }
        assertTrue("no attempt at all", searcher.attempts.size() > 0);
        assertEquals(late.stream().limit(5).toList().toString(), 0, late.size());
    }
}
