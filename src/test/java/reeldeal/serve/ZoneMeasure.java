package reeldeal.serve;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import reeldeal.config.Config;
import reeldeal.config.StoreFile;
import reeldeal.store.Store;

/**
 * Measures the zone service by command, never in CI. {@code file N FILE} writes a zone of N records; {@code fill
 * HOST:PORT N} brings a zone to N records by updates; {@code client HOST:PORT N} asks a running daemon, of this
 * version or an earlier one; {@code stall N} runs a daemon in this process and times the loop that serves queries
 * while its zone of N records is loaded, transferred and updated.
 */
final class ZoneMeasure {
    private static final String ORIGIN = "big.test.";
    private static final int SEARCHERS = 12;

    private ZoneMeasure() { }

    public static void main(String[] args) throws Exception {
        switch (args[0]) {
            case "file" -> Files.writeString(Path.of(args[2]), zone(Integer.parseInt(args[1])));
            case "fill" -> fill(address(args[1]), Integer.parseInt(args[2]));
            case "client" -> client(address(args[1]), Integer.parseInt(args[2]));
            case "stall" -> stall(Integer.parseInt(args[1]));
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    private static InetSocketAddress address(String text) {
        return new InetSocketAddress(text.split(":")[0], Integer.parseInt(text.split(":")[1]));
    }

    /** Twelve searchers, and hosts with an address and a text each. */
    private static String zone(int records) {
        StringBuilder zone = new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 60 86400 30\n@ NS ns\n");
        for (int i = 1; i <= SEARCHERS; i++) {
            zone.append("_searcher._tcp SRV 0 0 ").append(8_000 + i).append(" s").append(i).append("\ns").append(i)
                    .append(" A 127.0.0.1\ns").append(i).append(" TXT cell=").append(i % 4).append('\n');
        }
        for (int i = 0; i < (records - 2 - 3 * SEARCHERS) / 2; i++) {
            zone.append("h").append(i).append(" A 10.").append(i >> 16 & 255).append('.').append(i >> 8 & 255).append('.')
                    .append(i & 255).append("\nh").append(i).append(" TXT \"host number ").append(i).append("\"\n");
        }
        return zone.toString();
    }

    private static Record a(int host, int last) throws Exception {
        return Record.fromString(Name.fromString("h" + host + "." + ORIGIN), Type.A, DClass.IN, 60, "10.9.9." + last % 256,
                Name.root);
    }

    private static byte[] update(int host, int last) throws Exception {
        Update update = new Update(Name.fromString(ORIGIN));
        update.replace(a(host, last));
        return update.toWire();
    }

    private static final class Line implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;
        final DataOutputStream out;

        Line(InetSocketAddress address) throws Exception {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(120_000);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            out = new DataOutputStream(new java.io.BufferedOutputStream(socket.getOutputStream()));
        }

        void send(byte[] message) throws Exception {
            out.writeShort(message.length);
            out.write(message);
            out.flush();
        }

        /** The answer's length; a code other than 0 ends the measurement. */
        int read() throws Exception {
            byte[] answer = in.readNBytes(in.readUnsignedShort());
            if ((answer[3] & 0xf) != 0) {
                throw new IllegalStateException("code " + (answer[3] & 0xf));
            }
            return answer.length;
        }

        @Override
        public void close() throws Exception {
            socket.close();
        }
    }

    private static void fill(InetSocketAddress address, int records) throws Exception {
        try (Line line = new Line(address)) {
            for (int i = 0; i < records; i += 200) {
                Update update = new Update(Name.fromString(ORIGIN));
                for (int j = i; j < Math.min(records, i + 200); j++) {
                    update.add(a(j, j));
                }
                line.send(update.toWire());
                line.read();
            }
        }
    }

    private static String ms(Histogram h) {
        return String.format(java.util.Locale.ROOT, "p50 %.2f p99 %.2f max %.2f ms", h.getValueAtPercentile(50) / 1e6,
                h.getValueAtPercentile(99) / 1e6, h.getMaxValue() / 1e6);
    }

    private static void client(InetSocketAddress address, int hosts) throws Exception {
        try (Line line = new Line(address)) {
            Histogram alone = new Histogram(3);
            long until = System.nanoTime() + 20_000_000_000L;
            for (int i = 0; i < 400 && System.nanoTime() < until; i++) {
                byte[] update = update(i * 7 % hosts, i + 1);
                long from = System.nanoTime();
                line.send(update);
                line.read();
                if (i >= 100 || System.nanoTime() - from > 20_000_000) {
                    alone.recordValue(System.nanoTime() - from);
                }
            }
            System.out.println("update alone over TCP: " + ms(alone) + " of " + alone.getTotalCount());
        }
        System.out.println("updates a second, 16 connections, 8 each out: " + rate(address, hosts));
        System.out.println("queries a second over UDP, 4 askers, 16 each out: " + queries(address, hosts));
        transfers(address, hosts);
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void together(int threads, Work work) throws Exception {
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread t = new Thread(() -> {
                try {
                    work.run();
                } catch (Exception e) {
                    System.out.println("stopped: " + e);
                }
            });
            t.start();
            all.add(t);
        }
        for (Thread t : all) {
            t.join();
        }
    }

    private static long rate(InetSocketAddress address, int hosts) throws Exception {
        AtomicLong next = new AtomicLong();
        AtomicLong done = new AtomicLong();
        long from = System.nanoTime();
        together(16, () -> {
            try (Line line = new Line(address)) {
                int out = 0;
                while (System.nanoTime() - from < 5_000_000_000L) {
                    while (out < 8) {
                        long n = next.getAndIncrement();
                        line.send(update((int) (n * 13 % hosts), (int) n));
                        out++;
                    }
                    line.read();
                    out--;
                    done.incrementAndGet();
                }
                for (; out > 0; out--) {
                    line.read();
                    done.incrementAndGet();
                }
            }
        });
        return done.get() * 1_000_000_000L / (System.nanoTime() - from);
    }

    private static String queries(InetSocketAddress address, int hosts) throws Exception {
        AtomicLong done = new AtomicLong();
        AtomicLong lost = new AtomicLong();
        long from = System.nanoTime();
        together(4, () -> {
            try (DatagramSocket socket = new DatagramSocket()) {
                socket.setSoTimeout(1_000);
                byte[][] asked = new byte[64][];
                for (int i = 0; i < asked.length; i++) {
                    asked[i] = Message.newQuery(Record.newRecord(Name.fromString("h" + i * 31 % hosts + "." + ORIGIN),
                            Type.A, DClass.IN)).toWire();
                }
                DatagramPacket got = new DatagramPacket(new byte[1_500], 1_500);
                int out = 0;
                for (int n = 0; System.nanoTime() - from < 5_000_000_000L; n++) {
                    for (; out < 16; out++) {
                        byte[] q = asked[(n + out) % asked.length];
                        socket.send(new DatagramPacket(q, q.length, address));
                    }
                    try {
                        socket.receive(got);
                        if ((got.getData()[3] & 0xf) != 0) {
                            throw new IllegalStateException("code " + (got.getData()[3] & 0xf));
                        }
                        out--;
                        done.incrementAndGet();
                    } catch (SocketTimeoutException e) {
                        lost.addAndGet(out);
                        out = 0;
                    }
                }
            }
        });
        return done.get() * 1_000_000_000L / (System.nanoTime() - from) + ", " + lost.get() + " lost";
    }

    /** Bytes and time of a whole transfer and of the last ten changes. */
    private static void transfers(InetSocketAddress address, int hosts) throws Exception {
        long serial = serial(address);
        try (Line line = new Line(address)) {
            for (int i = 0; i < 10; i++) {
                line.send(update(i, 200 + i));
                line.read();
            }
        }
        for (String kind : List.of("AXFR", "IXFR of 10 updates")) {
            try (Line line = new Line(address)) {
                Message ask = Message.newQuery(Record.newRecord(Name.fromString(ORIGIN), kind.startsWith("A") ? Type.AXFR
                        : Type.IXFR, DClass.IN));
                if (kind.startsWith("I")) {
                    ask.addRecord(Record.fromString(Name.fromString(ORIGIN), Type.SOA, DClass.IN, 0, "ns. ops. " + serial
                            + " 0 0 0 0", Name.root), org.xbill.DNS.Section.AUTHORITY);
                }
                long from = System.nanoTime();
                line.send(ask.toWire());
                long bytes = 0;
                line.socket.setSoTimeout(500); // the end is silence: only bytes are counted here
                long last = from;
                try {
                    while (true) {
                        bytes += 2 + line.read();
                        last = System.nanoTime();
                    }
                } catch (SocketTimeoutException e) {
                    System.out.println(kind + ": " + bytes + " bytes in " + (last - from) / 1_000_000 + " ms");
                }
            }
        }
    }

    private static long serial(InetSocketAddress address) throws Exception {
        org.xbill.DNS.SimpleResolver resolver = new org.xbill.DNS.SimpleResolver(address);
        Message answer = resolver.send(Message.newQuery(Record.newRecord(Name.fromString(ORIGIN), Type.SOA, DClass.IN)));
        return ((org.xbill.DNS.SOARecord) answer.getSection(1).get(0)).getSerial();
    }

    // ---- the loop that serves queries ----

    private static void stall(int records) throws Exception {
        Path folder = Files.createTempDirectory("measure");
        Path file = Files.writeString(folder.resolve("zone"), zone(records));
        StoreFile config = StoreFile.read(Map.of("REELDEAL_STORE", Files.writeString(folder.resolve("store.json"),
                "{\"node\":\"a\",\"folder\":\"" + folder.resolve("state")
                + "\",\"nodes\":{\"a\":\"127.0.0.1:0\"},\"dns\":{\"listen\":\"127.0.0.1:0\",\"members\":{\"flap_limit\":100000},"
                + "\"origin\":\"" + ORIGIN + "\",\"zone_file\":\"" + file + "\"}}").toString()));
        EventLoopGroup state = new NioEventLoopGroup(1);
        EventLoopGroup group = new NioEventLoopGroup(1);
        String text = Files.readString(Path.of("src/test/resources/config.json")).replace("$known",
                "{\"index\":1,\"endpoints\":[]}").replaceFirst("\"discovery\":\"[^\"]*\",", "");
        Store store = new Store(state, config.store(), line -> { });
        ZoneDaemon daemon = new ZoneDaemon(state, store, config.zones());
        Broker broker = new Broker(group, Config.parse(text.getBytes(StandardCharsets.UTF_8), Map.of(), true),
                daemon::discovery);
        broker.start();
        Histogram lag = new Histogram(3);
        ticks(group, lag);
        Thread.sleep(2_000);
        heap("before");
        System.out.println("idle, 2 s: " + ms(taken(group, lag)));
        long from = System.nanoTime();
        AtomicLong heard = new AtomicLong();
        store.start().sync();
        InetSocketAddress dns = daemon.start(event -> {
            broker.tell(event);
            group.next().execute(() -> heard.set(System.nanoTime()));
        });
        while (heard.get() == 0) {
            Thread.sleep(1);
        }
        System.out.println("zone of " + records + " records listed after " + (heard.get() - from) / 1_000_000
                + " ms; the loop meanwhile: " + ms(taken(group, lag)));
        heap("once it is loaded");
        taken(group, lag);
        for (int i = 0; i < 3; i++) {
            transferOnce(dns);
            System.out.println("transferred whole; the loop meanwhile: " + ms(taken(group, lag)));
        }
        Thread.sleep(500);
        taken(group, lag);
        System.out.println(rate(dns, (records - 40) / 2) + " updates a second for 5 s; the loop meanwhile: "
                + ms(taken(group, lag)));
        Histogram decision = new Histogram(3);
        try (Line line = new Line(dns)) {
            for (int i = 0; i < 1_000; i++) {
                Update update = new Update(Name.fromString(ORIGIN));
                Name host = Name.fromString("s" + (1 + i % SEARCHERS) + "." + ORIGIN);
                update.delete(host, Type.TXT);
                update.add(host, Type.TXT, 60, "\"cell=" + (1 + i % SEARCHERS) % 4 + "\" \"status=" + (i / SEARCHERS % 2 == 0
                        ? "draining" : "ready") + "\"");
                byte[] bytes = update.toWire();
                long before = heard.get();
                long sent = System.nanoTime();
                line.send(bytes);
                while (heard.get() == before) {
                    Thread.onSpinWait();
                }
                decision.recordValue(heard.get() - sent);
                line.read();
            }
        }
        System.out.println("from an update's sending to the broker's loop: " + ms(decision) + " of 1000; the loop meanwhile: "
                + ms(taken(group, lag)));
        heap("at the end");
    }

    private static void heap(String when) throws Exception {
        System.gc();
        Thread.sleep(200);
        Runtime r = Runtime.getRuntime();
        System.out.println("heap " + when + ": " + (r.totalMemory() - r.freeMemory()) / 1024 + " KiB");
    }

    private static void transferOnce(InetSocketAddress dns) throws Exception {
        org.xbill.DNS.ZoneTransferIn in = org.xbill.DNS.ZoneTransferIn.newAXFR(Name.fromString(ORIGIN), dns, null);
        in.run();
        in.getAXFR();
    }

    /** A tick each millisecond; what it comes late is recorded. */
    private static void ticks(EventLoopGroup group, Histogram lag) {
        long[] due = {System.nanoTime()};
        group.next().execute(new Runnable() {
            @Override
            public void run() {
                long now = System.nanoTime();
                lag.recordValue(Math.max(0, now - due[0]));
                due[0] = now + 1_000_000;
                group.next().schedule(this, 1_000_000, TimeUnit.NANOSECONDS);
            }
        });
    }

    private static Histogram taken(EventLoopGroup group, Histogram lag) throws Exception {
        return group.next().submit(() -> {
            Histogram copy = lag.copy();
            lag.reset();
            return copy;
        }).get();
    }
}
