package reeldeal.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import reeldeal.config.Config;
import reeldeal.config.StoreFile;
import reeldeal.drill.StandIn;
import reeldeal.drill.Wire;
import reeldeal.store.Store;
import reeldeal.zones.ZoneBed;

/**
 * Replays a script of zone updates against a running broker with stand-in searchers, under steady queries. A
 * line is a step: {@code searchers N}, {@code primary} (updates go to a primary that the daemon follows, instead
 * of to the daemon), {@code members "KEY":N,...}, {@code repeat N} up to {@code end} ({@code $i} is the round),
 * {@code update ACTION; ACTION} with {@code add NAME TTL TYPE DATA} and {@code del NAME [TYPE [DATA]]},
 * {@code drained NAME MS} (the last update drained it: from so long after its answer on no part may come until
 * it is back), {@code back NAME}, {@code wait MS}, {@code served NAME} (a part comes within 10 s).
 */
final class DrainReplay implements AutoCloseable {
    private static final String ORIGIN = "tartu.example.org.";
    private static final int CLIENTS = 4;
    private static final int CELLS = 4;

    private record Drain(String name, long answeredNs, long backNs, double limitMs) { }

    /** What came of a run. */
    record Result(int drains, double worstMs, int asked, int answered, int whole, int refused) { }

    private final List<StandIn> searchers = new ArrayList<>();
    private final Map<String, Drain> drained = new HashMap<>();
    private final List<Drain> drains = new ArrayList<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final List<String> faults = java.util.Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> clients = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("replay");
    private EventLoopGroup state;
    private EventLoopGroup group;
    private Store store;
    private ZoneBed primary;
    private Broker broker;
    private SimpleResolver resolver;
    private boolean throughPrimary;
    private String members = "\"flap_limit\":100000";
    private long lastAnswerNs;
    private volatile boolean stop;

    DrainReplay() throws IOException { }

    Result play(List<String> script) throws Exception {
        steps(script, 0, script.size(), "");
        stop = true;
        for (Thread t : clients) {
            t.join();
        }
        long end = System.nanoTime();
        drained.values().forEach(d -> drains.add(new Drain(d.name(), d.answeredNs(), end, d.limitMs())));
        double worst = -1;
        for (Drain d : drains) {
            double last = searchers.get(Integer.parseInt(d.name().substring(1)) - 1).lastAfterMs(d.answeredNs(), d.backNs());
            worst = Math.max(worst, last);
            assertTrue(d.name() + " got a part " + last + " ms after it was drained", last <= d.limitMs());
        }
        assertEquals(faults.toString(), 0, faults.size());
        assertEquals("one answer for each query", asked.get(), answered.get());
        return new Result(drains.size(), worst, asked.get(), answered.get(), whole.get(), refused.get());
    }

    private int steps(List<String> script, int from, int to, String round) throws Exception {
        for (int i = from; i < to; i++) {
            String line = script.get(i).trim().replace("$i", round);
            String[] words = line.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            switch (words[0]) {
                case "", "#" -> { }
                case "searchers" -> start(Integer.parseInt(rest));
                case "primary" -> throughPrimary = true;
                case "members" -> members = rest;
                case "repeat" -> {
                    int end = i + 1;
                    while (!script.get(end).trim().equals("end")) {
                        end++;
                    }
                    for (int n = 1; n <= Integer.parseInt(rest); n++) {
                        steps(script, i + 1, end, String.valueOf(1 + (n - 1) % searchers.size()));
                    }
                    i = end;
                }
                case "update" -> update(rest);
                case "drained" -> {
                    String[] what = rest.split(" ");
                    drained.put(what[0], new Drain(what[0], lastAnswerNs, 0, Double.parseDouble(what[1])));
                }
                case "back" -> {
                    Drain d = drained.remove(rest);
                    drains.add(new Drain(rest, d.answeredNs(), System.nanoTime(), d.limitMs()));
                }
                case "wait" -> Thread.sleep(Long.parseLong(rest));
                case "served" -> served(rest);
                default -> {
                    if (!line.startsWith("#")) {
                        throw new IllegalArgumentException("no such step: " + line);
                    }
                }
            }
        }
        return to;
    }

    private void served(String name) throws InterruptedException {
        StandIn s = searchers.get(Integer.parseInt(name.substring(1)) - 1);
        long from = System.nanoTime();
        while (s.lastAfterMs(from, Long.MAX_VALUE) < 0) {
            assertTrue(name + " is served nothing", System.nanoTime() - from < 10_000_000_000L);
            Thread.sleep(5);
        }
    }

    private void start(int count) throws Exception {
        StringBuilder zone = new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 1 86400 30\n@ NS ns\n");
        for (int i = 1; i <= count; i++) {
            StandIn s = new StandIn(2);
            searchers.add(s);
            zone.append("_searcher._tcp SRV 0 0 ").append(s.port()).append(" s").append(i).append("\ns").append(i)
                    .append(" A 127.0.0.1\ns").append(i).append(" TXT cell=").append((i - 1) % CELLS).append(" zone=a\n");
        }
        String zones;
        if (throughPrimary) {
            int port;
            try (java.net.ServerSocket free = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            primary = ZoneBed.notifying(ORIGIN, zone.toString(), new InetSocketAddress("127.0.0.1", port));
            zones = "\"listen\":\"127.0.0.1:" + port + "\",\"zones\":[{\"origin\":\"" + ORIGIN + "\",\"searchers\":true,"
                    + "\"primaries\":[{\"address\":\"127.0.0.1:" + primary.address.getPort() + "\"}]}]";
        } else {
            Path file = Files.writeString(folder.resolve("zone"), zone.toString());
            zones = "\"listen\":\"127.0.0.1:0\",\"origin\":\"" + ORIGIN + "\",\"zone_file\":\"" + file + "\"";
        }
        Path file = Files.writeString(folder.resolve("store.json"), "{\"node\":\"a\","
                + "\"folder\":\"" + folder.resolve("state") + "\",\"nodes\":{\"a\":\"127.0.0.1:0\"},\"dns\":{" + zones
                + ",\"members\":{" + members + "}}}");
        StoreFile config = StoreFile.read(Map.of("REELDEAL_STORE", file.toString()));
        state = new NioEventLoopGroup(1);
        group = new NioEventLoopGroup(1);
        store = new Store(state, config.store(), Broker::log);
        ZoneDaemon daemon = new ZoneDaemon(state, store, config.zones());
        store.start().sync();
        String text = Files.readString(Path.of("src/test/resources/config.json")).replace("$known", "{\"index\":1,\"endpoints\":[]}")
                .replaceFirst("\"discovery\":\"[^\"]*\",", "");
        broker = new Broker(group, Config.parse(text.getBytes(StandardCharsets.UTF_8), Map.of(), true), daemon::discovery);
        InetSocketAddress dns = daemon.start(broker::tell);
        broker.start();
        resolver = new SimpleResolver(throughPrimary ? primary.address : dns);
        resolver.setTCP(true);
        resolver.setTimeout(java.time.Duration.ofSeconds(10));
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Thread thread = new Thread(() -> ask(client));
            thread.start();
            clients.add(thread);
        }
        long from = System.nanoTime();
        while (whole.get() < 50) {
            assertTrue("answers come " + faults, System.nanoTime() - from < 20_000_000_000L);
            Thread.sleep(5);
        }
    }

    /** Asks one query after the other on one connection; what comes between two answers is a fault. */
    private void ask(int client) {
        int[] shards = {client, client + 4, client + 8};
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), broker.port())) {
            socket.setSoTimeout(15_000);
            InputStream in = socket.getInputStream();
            for (int n = 0; !stop; n++) {
                if (in.available() > 0) {
                    faults.add("bytes after an answer");
                }
                asked.incrementAndGet();
                socket.getOutputStream().write(Wire.request("POST", "/notice-search", "X-Correlation-Id: c" + client + "-" + n
                        + "\r\nX-Time-Left-Ms: 5000\r\n", "{\"shards\":[{\"shard\":" + shards[n % 3]
                        + ",\"weight\":0.5},{\"shard\":" + (shards[n % 3] + 1) % 12 + ",\"weight\":0.5}],\"q\":\"x\"}"));
                String answer = Wire.http(in);
                if (answer.startsWith("200 ") || answer.startsWith("429") || answer.startsWith("50")) {
                    answered.incrementAndGet();
                    whole.addAndGet(answer.startsWith("200 {\"complete\":true") ? 1 : 0);
                    refused.addAndGet(answer.startsWith("200") ? 0 : 1);
                } else {
                    faults.add(answer);
                }
                Thread.sleep(3);
            }
            Thread.sleep(50);
            if (in.available() > 0) {
                faults.add("bytes after the last answer");
            }
        } catch (IOException | InterruptedException e) {
            faults.add(String.valueOf(e));
        }
    }

    private void update(String actions) throws Exception {
        Name origin = Name.fromString(ORIGIN);
        Update update = new Update(origin);
        for (String action : actions.split(";")) {
            String[] w = action.trim().split(" ", 5);
            Name name = Name.fromString(w[1], origin);
            if (w[0].equals("add")) {
                update.add(Record.fromString(name, Type.value(w[3]), DClass.IN, Long.parseLong(w[2]), port(w[4]), origin));
            } else if (w.length == 2) {
                update.delete(name);
            } else if (w.length == 3) {
                update.delete(name, Type.value(w[2]));
            } else {
                update.delete(name, Type.value(w[2]), port(action.trim().split(" ", 4)[3]));
            }
        }
        Message answer = resolver.send(update);
        lastAnswerNs = System.nanoTime();
        assertEquals(actions, Rcode.NOERROR, answer.getRcode());
    }

    /** {@code PORT:3} stands for the third searcher's port. */
    private String port(String data) {
        String filled = data;
        for (int i = searchers.size(); i > 0; i--) {
            filled = filled.replace("PORT:" + i + " ", searchers.get(i - 1).port() + " ");
        }
        return filled;
    }

    @Override
    public void close() throws Exception {
        stop = true;
        for (Thread t : clients) {
            t.join();
        }
        state.next().submit(() -> {
            store.close();
            return null;
        }).sync();
        state.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
        if (primary != null) {
            primary.close();
        }
        for (StandIn s : searchers) {
            s.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(f);
            }
        }
    }

    /** Plays scripts by command, each so many times over: FILE... */
    public static void main(String[] args) throws Exception {
        for (String file : args) {
            try (DrainReplay replay = new DrainReplay()) {
                System.out.println(Path.of(file).getFileName() + " " + replay.play(Files.readAllLines(Path.of(file))));
            }
        }
        System.exit(0);
    }
}
