package reeldeal.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import reeldeal.dns.Rr;

/**
 * Measures the zone service; run by command, never in CI. The broker runs in a process of its own,
 * with a zone of a given number of records. Stalls of the event loop that serves queries are
 * measured from outside, as the latency of a client that polls the broker's health endpoint.
 */
public final class ZoneBenchmark implements AutoCloseable {
    private static final String ORIGIN = "big.test.";
    private static final int SEARCHERS = 12;
    private static final int START_TIMEOUT_MS = 120_000;
    private static final long MEASURED_NS = 5_000_000_000L;

    private final Path folder = Files.createTempDirectory("measure");
    private final History history = new History(folder.resolve("history.txt"));
    private final PortRange ports = new PortRange(3);
    private final BrokerProcess broker;
    private final Consumer<String> out;
    private final int hosts;
    private final int dnsPort;
    private final Histogram healthLatency = new Histogram(3);
    private volatile boolean stopped;

    /**
     * Prepares a broker, and writes its files.
     *
     * @param records approximate number of records of the zone
     * @param jar the program, or null for this JVM's own class path
     * @param out receives the lines of results
     */
    public ZoneBenchmark(int records, Path jar, Consumer<String> out) throws Exception {
        this.out = out;
        hosts = Math.max(1, (records - 2 - 3 * SEARCHERS) / 2);
        dnsPort = ports.ports().get(1);
        Path zone = Files.writeString(folder.resolve("zone"), zoneText());
        Path store =
                Files.writeString(
                        folder.resolve("store.json"),
                        "{\"node\":\"a\",\"folder\":\""
                                + folder.resolve("a")
                                + "\",\"nodes\":{\"a\":\"127.0.0.1:"
                                + ports.ports().get(2)
                                + "\"},\"dns\":{\"listen\":\"127.0.0.1:"
                                + dnsPort
                                + "\",\"idle_ms\":600000,\"members\":{\"flap_limit\":100000},\"origin\":\""
                                + ORIGIN
                                + "\",\"zone_file\":\""
                                + zone
                                + "\"}}");
        Path config = folder.resolve("broker.json");
        try (InputStream in = ZoneBenchmark.class.getResourceAsStream("broker.json")) {
            Files.write(config, in.readAllBytes());
        }
        List<String> program = new ArrayList<>(BrokerProcess.commandFor(jar));
        program.replaceAll(word -> word.equals("-Xmx96m") ? "-Xmx512m" : word);
        broker =
                new BrokerProcess(
                        "a",
                        ports.ports().get(0),
                        ports.ports().get(2),
                        dnsPort,
                        program,
                        Map.of(
                                "LB_CONFIG",
                                config.toString(),
                                "LB_NAME",
                                "a",
                                "LB_LISTEN",
                                "127.0.0.1:" + ports.ports().get(0),
                                "REELDEAL_STORE",
                                store.toString()),
                        history);
    }

    /** Returns the zone file: twelve searchers, and hosts with an A and a TXT record each. */
    private String zoneText() {
        StringBuilder zone =
                new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 60 86400 30\n@ NS ns\n");
        for (int i = 1; i <= SEARCHERS; i++) {
            zone.append("_searcher._tcp SRV 0 0 ")
                    .append(8_000 + i)
                    .append(" s")
                    .append(i)
                    .append("\ns")
                    .append(i)
                    .append(" A 127.0.0.1\ns")
                    .append(i)
                    .append(" TXT cell=")
                    .append(i % 4)
                    .append('\n');
        }
        for (int i = 0; i < hosts; i++) {
            zone.append("h")
                    .append(i)
                    .append(" A 10.")
                    .append(i >> 16 & 255)
                    .append('.')
                    .append(i >> 8 & 255)
                    .append('.')
                    .append(i & 255)
                    .append("\nh")
                    .append(i)
                    .append(" TXT \"host number ")
                    .append(i)
                    .append("\"\n");
        }
        return zone.toString();
    }

    private byte[] update(long count) {
        String host = "h" + count * 13 % hosts;
        return ZoneClient.update(
                ORIGIN,
                List.of("del " + host + " A", "add " + host + " 60 A 10.9.9." + count % 256));
    }

    /**
     * Measures the start, updates, queries and zone transfers one after the other, each with the
     * health latency during it.
     */
    public void run() throws Exception {
        broker.start();
        long startNanos = System.nanoTime();
        while (!answersQueries() || !broker.isServing()) {
            if ((System.nanoTime() - startNanos) / 1_000_000 > START_TIMEOUT_MS) {
                throw new IllegalStateException(
                        "broker does not serve after " + START_TIMEOUT_MS + " ms; see " + folder);
            }
            Thread.sleep(20);
        }
        out.accept(
                "zone of "
                        + (2 + 3 * SEARCHERS + 2 * hosts)
                        + " records served after "
                        + (System.nanoTime() - startNanos) / 1_000_000
                        + " ms, "
                        + broker.resourceUsage());
        DaemonThreads.start(this::pollHealth);
        Thread.sleep(2_000);
        report("idle, 2 s");
        try (ZoneClient client = new ZoneClient(dnsPort)) {
            Histogram updateLatency = new Histogram(3);
            for (int i = 0; i < 400; i++) {
                byte[] update = update(i);
                long sent = System.nanoTime();
                client.send(update);
                client.read();
                if (i >= 100) {
                    updateLatency.recordValue(System.nanoTime() - sent);
                }
            }
            report("update alone over TCP: " + percentiles(updateLatency));
            report("updates a second, 16 connections, 8 each out: " + updatesPerSecond());
            report("queries a second over UDP, 4 askers, 16 each out: " + queriesPerSecond());
            long serial = client.querySerial(ORIGIN);
            for (int i = 0; i < 10; i++) {
                client.send(update(i));
                client.read();
            }
            long[] axfr = client.measureTransfer(ZoneClient.question(ORIGIN, Rr.AXFR));
            report("AXFR: " + axfr[0] + " bytes in " + axfr[1] + " ms");
            var ixfr = ZoneClient.question(ORIGIN, Rr.IXFR);
            ixfr.add(2, ZoneClient.soaWithSerial(ORIGIN, serial));
            long[] changes = client.measureTransfer(ixfr);
            report("IXFR of 10 updates: " + changes[0] + " bytes in " + changes[1] + " ms");
        }
        out.accept("at the end " + broker.resourceUsage());
    }

    private boolean answersQueries() {
        try (ZoneClient client = new ZoneClient(dnsPort)) {
            return client.querySerial(ORIGIN) > 0;
        } catch (java.io.IOException e) {
            return false; // The DNS port is not open yet, or the zone is not loaded.
        }
    }

    private void pollHealth() throws Exception {
        while (!stopped) {
            try (Socket socket =
                    new Socket(InetAddress.getLoopbackAddress(), ports.ports().get(0))) {
                socket.setTcpNoDelay(true);
                OutputStream output = socket.getOutputStream();
                while (!stopped) {
                    long sentNanos = System.nanoTime();
                    output.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
                    TextCodec.readHttp(socket.getInputStream());
                    synchronized (healthLatency) {
                        healthLatency.recordValue(System.nanoTime() - sentNanos);
                    }
                    Thread.sleep(1);
                }
            }
        }
    }

    private static String percentiles(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "p50 %.2f p99 %.2f max %.2f ms",
                histogram.getValueAtPercentile(50) / 1e6,
                histogram.getValueAtPercentile(99) / 1e6,
                histogram.getMaxValue() / 1e6);
    }

    private void report(String result) {
        synchronized (healthLatency) {
            out.accept(result + "; health meanwhile: " + percentiles(healthLatency));
            healthLatency.reset();
        }
    }

    private static void runInParallel(int threads, DaemonThreads.Task work)
            throws InterruptedException {
        List<Thread> started = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    work.run();
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            thread.start();
            started.add(thread);
        }
        for (Thread thread : started) {
            thread.join();
        }
    }

    private long updatesPerSecond() throws Exception {
        AtomicLong next = new AtomicLong();
        AtomicLong done = new AtomicLong();
        long startNanos = System.nanoTime();
        runInParallel(
                16,
                () -> {
                    try (ZoneClient client = new ZoneClient(dnsPort)) {
                        int outstanding = 0;
                        while (System.nanoTime() - startNanos < MEASURED_NS || outstanding > 0) {
                            for (;
                                    outstanding < 8 && System.nanoTime() - startNanos < MEASURED_NS;
                                    outstanding++) {
                                client.send(update(next.getAndIncrement()));
                            }
                            client.read();
                            outstanding--;
                            done.incrementAndGet();
                        }
                    }
                });
        return done.get() * 1_000_000_000L / (System.nanoTime() - startNanos);
    }

    private String queriesPerSecond() throws Exception {
        AtomicLong done = new AtomicLong();
        AtomicLong lost = new AtomicLong();
        long startNanos = System.nanoTime();
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), dnsPort);
        runInParallel(
                4,
                () -> {
                    try (DatagramSocket socket = new DatagramSocket()) {
                        socket.setSoTimeout(1_000);
                        DatagramPacket response = new DatagramPacket(new byte[1_500], 1_500);
                        int outstanding = 0;
                        for (int count = 0; System.nanoTime() - startNanos < MEASURED_NS; count++) {
                            for (; outstanding < 16; outstanding++) {
                                byte[] question =
                                        ZoneClient.question(
                                                        "h"
                                                                + (count + outstanding)
                                                                        * 31L
                                                                        % hosts
                                                                + "."
                                                                + ORIGIN,
                                                        Rr.A)
                                                .toBytes();
                                socket.send(new DatagramPacket(question, question.length, address));
                            }
                            try {
                                socket.receive(response);
                                outstanding--;
                                done.incrementAndGet();
                            } catch (SocketTimeoutException e) {
                                lost.addAndGet(outstanding);
                                outstanding = 0;
                            }
                        }
                    }
                });
        return done.get() * 1_000_000_000L / (System.nanoTime() - startNanos)
                + ", "
                + lost.get()
                + " lost";
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        broker.close();
        ports.close();
        history.close();
    }
}
