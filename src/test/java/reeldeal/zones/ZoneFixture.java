package reeldeal.zones;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.Type;
import reeldeal.core.Event;
import reeldeal.dns.Tsig;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.endpoints.EndpointView;
import reeldeal.store.StoreConfig;
import reeldeal.store.StoreNode;

/** Runs a zone service on loopback in this process, with a store of one node. */
public final class ZoneFixture implements AutoCloseable {
    static final AccessList ANY = AccessList.parse(List.of("any"));

    public final EventLoopGroup group = new NioEventLoopGroup(1);
    public final List<String> log = new CopyOnWriteArrayList<>();
    public final List<Event.EndpointsChanged> endpointEvents = new CopyOnWriteArrayList<>();
    public final Path folder;
    public final StoreNode store;
    public final InetSocketAddress address;
    public final EndpointFeed feed;

    /**
     * Starts a service of these zones; {@link #primary} creates a zone with a file of a given text.
     */
    ZoneFixture(
            Path folder,
            List<ZonesConfig.Entry> zones,
            Map<String, Tsig.Key> keys,
            int maxConnections,
            long idleMs)
            throws Exception {
        this(folder, zones, keys, maxConnections, idleMs, 0);
    }

    ZoneFixture(
            Path folder,
            List<ZonesConfig.Entry> zones,
            Map<String, Tsig.Key> keys,
            int maxConnections,
            long idleMs,
            int port)
            throws Exception {
        this.folder = folder;
        store =
                new StoreNode(
                        group,
                        new StoreConfig(
                                "g",
                                "a",
                                Map.of(
                                        "a",
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
                                java.util.Set.of(),
                                false,
                                folder.resolve("state"),
                                null,
                                1),
                        log::add);
        ZonesConfig config =
                new ZonesConfig(
                        null,
                        zones,
                        keys,
                        maxConnections,
                        idleMs,
                        EndpointView.Rules.DEFAULT,
                        null);
        List<String> sources =
                new ArrayList<>(
                        zones.stream()
                                .filter(ZonesConfig.Entry::searchers)
                                .map(ZonesConfig.Entry::origin)
                                .toList());
        DepartureStore departures = new DepartureStore(store, group.next(), log::add);
        Set<String> awaited = new LinkedHashSet<>(sources);
        sources.add(EndpointFeed.DISCOVERY);
        feed =
                new EndpointFeed(
                        group.next(),
                        new EndpointView(EndpointView.Rules.DEFAULT, sources),
                        awaited,
                        System::currentTimeMillis,
                        endpointEvents::add,
                        log::add,
                        departures::save);
        Notifier notifier =
                new Notifier(group, group.next(), keys, System::currentTimeMillis, log::add);
        ZoneService service =
                new ZoneService(
                        config,
                        store,
                        group.next(),
                        PeerLink.connector(group),
                        notifier,
                        System::currentTimeMillis,
                        feed,
                        departures,
                        log::add);
        store.start().sync();
        address =
                new DnsServer(group, service, maxConnections, idleMs, log::add)
                        .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /**
     * Starts a service of one primary zone with this text, which permits every operation to all.
     */
    public static ZoneFixture of(String origin, String text) throws Exception {
        Path folder = Files.createTempDirectory("zones");
        ZoneFixture fixture =
                new ZoneFixture(
                        folder,
                        List.of(primary(folder, origin, text, List.of(), ANY, List.of())),
                        Map.of(),
                        64,
                        10_000);
        fixture.await(origin);
        return fixture;
    }

    /** Starts a service as {@link #of} does, with a secondary that is notified of changes. */
    public static ZoneFixture notifying(String origin, String text, InetSocketAddress secondary)
            throws Exception {
        Path folder = Files.createTempDirectory("zones");
        ZoneFixture fixture =
                new ZoneFixture(
                        folder,
                        List.of(
                                primary(
                                        folder,
                                        origin,
                                        text,
                                        List.of(new ZonesConfig.Peer(secondary, null)),
                                        ANY,
                                        List.of())),
                        Map.of(),
                        64,
                        10_000);
        fixture.await(origin);
        return fixture;
    }

    static ZonesConfig.Entry primary(
            Path folder,
            String origin,
            String text,
            List<ZonesConfig.Peer> secondaries,
            AccessList update,
            List<UpdateGrant> grants)
            throws Exception {
        Path file = Files.writeString(folder.resolve(origin + "zone"), text);
        return new ZonesConfig.Entry(
                origin,
                file,
                List.of(),
                secondaries,
                ANY,
                ANY,
                update,
                grants,
                true,
                100_000,
                1_000_000);
    }

    static ZonesConfig.Entry secondary(String origin, List<ZonesConfig.Peer> primaries) {
        return new ZonesConfig.Entry(
                origin,
                null,
                primaries,
                List.of(),
                ANY,
                ANY,
                AccessList.NOBODY,
                List.of(),
                true,
                100_000,
                1_000_000);
    }

    SimpleResolver resolver(boolean tcp) throws Exception {
        SimpleResolver resolver = new SimpleResolver(address);
        resolver.setTCP(tcp);
        resolver.setTimeout(java.time.Duration.ofSeconds(5));
        resolver.setEDNS(-1);
        return resolver;
    }

    Message ask(String name, int type) throws Exception {
        return resolver(false)
                .send(Message.newQuery(Record.newRecord(Name.fromString(name), type, 1)));
    }

    /** Returns the serial that the service answers with, or -1 if it has no SOA record. */
    long serial(String origin) throws Exception {
        Message answer = ask(origin, Type.SOA);
        List<Record> records = answer.getSection(1);
        return records.isEmpty() ? -1 : ((org.xbill.DNS.SOARecord) records.get(0)).getSerial();
    }

    /** Returns the changes since a serial, as an independent client receives them by IXFR. */
    List<?> ixfr(long serial) throws Exception {
        org.xbill.DNS.ZoneTransferIn in =
                org.xbill.DNS.ZoneTransferIn.newIXFR(
                        Name.fromString("fleet.test."), serial, false, address, null);
        in.run();
        return in.getIXFR();
    }

    /** Waits until queries for the zone are answered. */
    void await(String origin) throws Exception {
        awaitSerial(origin, 0);
    }

    void awaitSerial(String origin, long minSerial) throws Exception {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        while (serial(origin) < minSerial) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(
                        origin
                                + " has serial "
                                + serial(origin)
                                + ", not "
                                + minSerial
                                + ": "
                                + log);
            }
            Thread.sleep(10);
        }
    }

    void awaitLog(String text) throws Exception {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        while (log.stream().noneMatch(l -> l.contains(text))) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("not logged: " + text + ": " + log);
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() throws Exception {
        group.next()
                .submit(
                        () -> {
                            store.close();
                            return null;
                        })
                .sync();
        group.shutdownGracefully(0, 1_000, java.util.concurrent.TimeUnit.MILLISECONDS).sync();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
