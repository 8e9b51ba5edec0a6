package reeldeal.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.xbill.DNS.DClass;
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

/**
 * Three daemons with one zone, a proxy on each way between two of them, and clients that ask all three without a
 * pause. Daemons are cut off from one another and restarted in every order; a searcher that was drained must
 * get nothing whatever happens, and each query must have one answer.
 */
final class ThreeDaemons implements AutoCloseable {
    private static final String ORIGIN = "tartu.example.org.";
    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final List<List<String>> ORDERS = List.of(List.of("a", "b", "c"), List.of("c", "b", "a"),
            List.of("b", "a", "c"), List.of("a", "c", "b"), List.of("b", "c", "a"), List.of("c", "a", "b"));

    /** What came of a run. */
    record Result(int restarts, int cuts, int startsAlone, int asked, int answered, int whole, double worstDrainMs) { }

    /** Passes bytes on, unless it is cut. */
    private static final class Proxy {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private volatile boolean cut;

        Proxy(int to) throws IOException {
            StandIn.daemon(() -> {
                while (true) {
                    Socket in = server.accept();
                    if (cut) {
                        in.close();
                        continue;
                    }
                    try {
                        Socket out = new Socket(InetAddress.getLoopbackAddress(), to);
                        open.add(in);
                        open.add(out);
                        StandIn.daemon(() -> pass(in, out));
                        StandIn.daemon(() -> pass(out, in));
                    } catch (IOException e) {
                        in.close(); // the other side is down
                    }
                }
            });
        }

        private static void pass(Socket from, Socket to) throws IOException {
            try (from; to) {
                from.setTcpNoDelay(true);
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] bytes = new byte[65_536];
                for (int n = in.read(bytes); n > 0; n = in.read(bytes)) {
                    out.write(bytes, 0, n);
                }
            }
        }

        void cut(boolean now) throws IOException {
            cut = now;
            if (now) {
                for (Socket s : open) {
                    s.close();
                }
                open.clear();
            }
        }
    }

    private static final class Daemon {
        EventLoopGroup state;
        EventLoopGroup group;
        Store store;
        Broker broker;
        InetSocketAddress dns;
    }

    private final Path folder = Files.createTempDirectory("three");
    private final List<StandIn> searchers = new ArrayList<>();
    private final Map<String, Integer> ports = new TreeMap<>();
    private final Map<String, Proxy> proxies = new HashMap<>();
    private final Map<String, Daemon> running = new java.util.concurrent.ConcurrentHashMap<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean stop;
    private int restarts;
    private int cuts;
    private int startsAlone;

    ThreeDaemons() throws Exception {
        StringBuilder zone = new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 1 86400 30\n@ NS ns\n");
        for (int i = 1; i <= 12; i++) {
            searchers.add(new StandIn(2));
            zone.append("_searcher._tcp SRV 0 0 ").append(searchers.get(i - 1).port()).append(" s").append(i).append("\ns")
                    .append(i).append(" A 127.0.0.1\ns").append(i).append(" TXT cell=").append(i % 4).append(" zone=a\n");
        }
        Files.writeString(folder.resolve("zone"), zone);
        for (String name : NAMES) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports.put(name, free.getLocalPort());
            }
        }
        for (String from : NAMES) {
            for (String to : NAMES) {
                if (!from.equals(to)) {
                    proxies.put(from + to, new Proxy(ports.get(to)));
                }
            }
        }
        for (String name : NAMES) {
            start(name);
        }
        for (String name : NAMES) {
            Thread thread = new Thread(() -> ask(name));
            thread.start();
            clients.add(thread);
        }
    }

    private void start(String name) throws Exception {
        StringBuilder nodes = new StringBuilder();
        for (String other : NAMES) {
            nodes.append(nodes.length() > 0 ? "," : "").append('"').append(other).append("\":\"127.0.0.1:")
                    .append(other.equals(name) ? ports.get(name) : proxies.get(name + other).server.getLocalPort()).append('"');
        }
        Path file = Files.writeString(folder.resolve(name + ".json"), "{\"group\":\"three\",\"node\":\"" + name + "\",\"folder\":\""
                + folder.resolve(name) + "\",\"nodes\":{" + nodes + "},\"dns\":{\"listen\":\"127.0.0.1:0\",\"origin\":\"" + ORIGIN
                + "\",\"zone_file\":\"" + folder.resolve("zone") + "\",\"members\":{\"flap_limit\":100000}}}");
        StoreFile config = StoreFile.read(Map.of("REELDEAL_STORE", file.toString()));
        Daemon d = new Daemon();
        d.state = new NioEventLoopGroup(1);
        d.group = new NioEventLoopGroup(1);
        d.store = new Store(d.state, config.store(), Broker::log);
        ZoneDaemon zones = new ZoneDaemon(d.state, d.store, config.zones());
        d.store.start().sync();
        String text = Files.readString(Path.of("src/test/resources/config.json")).replace("$known", "{\"index\":1,\"endpoints\":[]}")
                .replaceFirst("\"discovery\":\"[^\"]*\",", "").replace("\"name\":\"n0\"", "\"name\":\"" + name + "\"");
        d.broker = new Broker(d.group, Config.parse(text.getBytes(StandardCharsets.UTF_8), Map.of(), true), zones::discovery);
        d.dns = zones.start(d.broker::tell);
        d.broker.start();
        running.put(name, d);
    }

    private void stop(String name) throws Exception {
        Daemon d = running.remove(name);
        d.broker.drain();
        d.state.next().submit(() -> {
            d.store.close();
            return null;
        }).sync();
        d.state.shutdownGracefully(0, 50, TimeUnit.MILLISECONDS).sync();
        d.group.shutdownGracefully(0, 50, TimeUnit.MILLISECONDS).sync();
    }

    /** Asks one daemon, over and over, on connections that it may end between two queries but not within one. */
    private void ask(String name) {
        int n = 0;
        while (!stop) {
            Daemon d = running.get(name);
            if (d == null) {
                pause(5);
                continue;
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), d.broker.port())) {
                socket.setSoTimeout(15_000);
                InputStream in = socket.getInputStream();
                for (int i = 0; i < 20 && !stop && running.get(name) == d; i++) {
                    int shard = n % 12;
                    asked.incrementAndGet();
                    socket.getOutputStream().write(Wire.request("POST", "/notice-search", "X-Correlation-Id: " + name + n++
                            + "\r\nX-Time-Left-Ms: 3000\r\n", "{\"shards\":[{\"shard\":" + shard + ",\"weight\":0.5},{\"shard\":"
                            + (shard + 1) % 12 + ",\"weight\":0.5}],\"q\":\"x\"}"));
                    String answer = Wire.http(in);
                    if (answer.startsWith("200 ") || answer.startsWith("429") || answer.startsWith("50")) {
                        answered.incrementAndGet();
                        whole.addAndGet(answer.startsWith("200 {\"complete\":true") ? 1 : 0);
                    } else {
                        faults.add(name + ": " + answer);
                    }
                    pause(4);
                    if (in.available() > 0) {
                        faults.add(name + ": bytes after an answer");
                    }
                }
            } catch (IOException e) {
                if (running.get(name) == d) {
                    faults.add(name + ": " + e);
                } else {
                    asked.decrementAndGet(); // it stopped accepting before this one was read
                }
            }
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void cut(String name, boolean now) throws IOException {
        cuts += now ? 1 : 0;
        for (String other : NAMES) {
            if (!other.equals(name)) {
                proxies.get(name + other).cut(now);
                proxies.get(other + name).cut(now);
            }
        }
    }

    /** Sends an update to whoever writes, until it is taken. */
    private long update(int searcher, boolean add) throws Exception {
        Name origin = Name.fromString(ORIGIN);
        Record record = Record.fromString(Name.fromString("_searcher._tcp", origin), Type.SRV, DClass.IN, 60, "0 0 "
                + searchers.get(searcher - 1).port() + " s" + searcher, origin);
        long until = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < until) {
            for (Daemon d : running.values()) {
                if (d.state.next().submit(d.store::isWriter).get()) {
                    Update update = new Update(origin);
                    if (add) {
                        update.add(record);
                    } else {
                        update.delete(record);
                    }
                    SimpleResolver resolver = new SimpleResolver(d.dns);
                    resolver.setTCP(true);
                    resolver.setTimeout(java.time.Duration.ofSeconds(5));
                    if (resolver.send(update).getRcode() == Rcode.NOERROR) {
                        return System.nanoTime();
                    }
                }
            }
            Thread.sleep(20);
        }
        throw new AssertionError("no writer took the update");
    }

    private void awaitCurrent() throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        for (Daemon d : running.values()) {
            while (!d.state.next().submit(d.store::isCurrent).get()) {
                assertTrue("becomes current", System.nanoTime() < until);
                Thread.sleep(10);
            }
        }
    }

    /** Plays so many of the six orders. */
    Result play(int orders) throws Exception {
        double worst = -1;
        awaitCurrent();
        Thread.sleep(1_000);
        for (List<String> order : ORDERS.subList(0, orders)) {
            int drained = 1 + ORDERS.indexOf(order);
            update(drained, false);
            awaitCurrent();
            Thread.sleep(1_000); // a follower hears a heartbeat later; from then on nobody may send a part there
            long from = System.nanoTime();
            for (String name : order) {
                cut(name, true);
                Thread.sleep(700);
                cut(name, false);
                stop(name);
                start(name);
                restarts++;
                awaitCurrent();
            }
            // All apart: each starts with nobody in reach, and knows who was drained.
            for (String name : order) {
                cut(name, true);
            }
            for (String name : order) {
                stop(name);
                start(name);
                restarts++;
                startsAlone++;
            }
            Thread.sleep(Store.OLD_COPY_MS + 500);
            int before = whole.get();
            Thread.sleep(500);
            assertTrue("they serve from their old copies", whole.get() > before);
            for (String name : order) {
                cut(name, false);
            }
            awaitCurrent();
            worst = Math.max(worst, searchers.get(drained - 1).lastAfterMs(from, System.nanoTime()));
            assertTrue("s" + drained + " was drained and got a part after " + worst + " ms", worst < 0);
            update(drained, true);
            awaitCurrent();
        }
        stop = true;
        for (Thread t : clients) {
            t.join();
        }
        assertEquals(faults.toString(), 0, faults.size());
        assertEquals("one answer for each query", asked.get(), answered.get());
        return new Result(restarts, cuts, startsAlone, asked.get(), answered.get(), whole.get(), worst);
    }

    @Override
    public void close() throws Exception {
        stop = true;
        for (Thread t : clients) {
            t.join();
        }
        for (String name : List.copyOf(running.keySet())) {
            stop(name);
        }
        for (Proxy p : proxies.values()) {
            p.cut(true);
            p.server.close();
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

    /** By command: plays so many orders, 1 to 6. */
    public static void main(String[] args) throws Exception {
        try (ThreeDaemons three = new ThreeDaemons()) {
            System.out.println(three.play(Integer.parseInt(args[0])));
        }
        System.exit(0);
    }
}
