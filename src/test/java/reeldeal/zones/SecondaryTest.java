package reeldeal.zones;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Rr;
import reeldeal.dns.Tsig;

/**
 * Tests a secondary zone that follows primaries: the program's own zone service, and scripted
 * servers that misbehave.
 */
public class SecondaryTest {
    private static final String ORIGIN = "fleet.test.";
    private static final Tsig.Key KEY = new Tsig.Key("xfer.", "hmac-sha256.", new byte[32]);

    private static String zone(int serial, int expire, String furtherRecords) {
        return "$TTL 60\n@ SOA ns ops "
                + serial
                + " 3600 1 "
                + expire
                + " 30\n@ NS ns\n_searcher._tcp SRV 0 0 8001 s1\n"
                + "_searcher._tcp SRV 0 0 8002 s2\ns1 A 127.0.0.1\ns1 TXT cell=0\ns2 A 127.0.0.1\ns2 TXT cell=1\n"
                + furtherRecords;
    }

    /**
     * A primary that serves one connection after the other and passes each query to {@link
     * #respond}, which a test implements.
     */
    private abstract static class ScriptedPrimary implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 20, InetAddress.getLoopbackAddress());

        ScriptedPrimary() throws IOException {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket socket = server.accept();
                                        try (socket;
                                                DataInputStream in =
                                                        new DataInputStream(
                                                                socket.getInputStream());
                                                DataOutputStream out =
                                                        new DataOutputStream(
                                                                socket.getOutputStream())) {
                                            while (true) {
                                                byte[] query =
                                                        in.readNBytes(in.readUnsignedShort());
                                                respond(new Message(query), out);
                                            }
                                        } catch (IOException e) {
                                            // closed by the client, or by the script
                                        }
                                    }
                                } catch (IOException e) {
                                    return; // the server was closed
                                }
                            });
            thread.setDaemon(true);
            thread.start();
        }

        abstract void respond(Message query, DataOutputStream out) throws IOException;

        static void answer(Message query, DataOutputStream out, String... records)
                throws IOException {
            Message answer = new Message(query.getHeader().getID());
            answer.getHeader().setFlag(Flags.QR);
            answer.getHeader().setFlag(Flags.AA);
            answer.addRecord(query.getQuestion(), Section.QUESTION);
            Name origin = Name.fromString(ORIGIN);
            for (String record : records) {
                String[] fields = record.split(" ", 3);
                answer.addRecord(
                        Record.fromString(
                                Name.fromString(fields[0], origin),
                                Type.value(fields[1]),
                                DClass.IN,
                                60,
                                fields[2],
                                origin),
                        Section.ANSWER);
            }
            byte[] bytes = answer.toWire();
            out.writeShort(bytes.length);
            out.write(bytes);
        }

        static String soa(long serial) {
            return ORIGIN + " SOA ns ops " + serial + " 3600 1 86400 30";
        }

        ZonesConfig.Peer peer() {
            return new ZonesConfig.Peer((InetSocketAddress) server.getLocalSocketAddress(), null);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static ZoneFixture secondaryOf(
            Map<String, Tsig.Key> keys, ZonesConfig.Peer... primaries) throws Exception {
        return new ZoneFixture(
                Files.createTempDirectory("zones"),
                List.of(ZoneFixture.secondary(ORIGIN, List.of(primaries))),
                keys,
                64,
                10_000);
    }

    private static void update(ZoneFixture fixture, Update update) throws Exception {
        assertEquals(Rcode.NOERROR, fixture.resolver(true).send(update).getRcode());
    }

    @Test
    public void aSecondaryFollowsByNotifyAndIncrementalTransfers() throws Exception {
        // The secondary is started first, since the primary's configuration needs its address. It
        // retries until the primary is there as well.
        int port;
        try (ServerSocket portFinder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = portFinder.getLocalPort();
        }
        Map<String, Tsig.Key> keys = Map.of(KEY.name(), KEY);
        Path folder = Files.createTempDirectory("zones");
        AccessList signed = AccessList.parse(List.of("key:" + KEY.name()));
        ZonesConfig.Entry template =
                ZoneFixture.primary(
                        folder,
                        ORIGIN,
                        zone(0x7ffffffe, 86_400, ""),
                        List.of(),
                        ZoneFixture.ANY,
                        List.of());
        try (ZoneFixture secondary =
                secondaryOf(
                        keys,
                        new ZonesConfig.Peer(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                                KEY.name()))) {
            ZonesConfig.Entry primaryEntry =
                    new ZonesConfig.Entry(
                            ORIGIN,
                            template.file(),
                            List.of(),
                            List.of(new ZonesConfig.Peer(secondary.address, KEY.name())),
                            ZoneFixture.ANY,
                            signed,
                            ZoneFixture.ANY,
                            List.of(),
                            true,
                            1_000,
                            1_000);
            try (ZoneFixture primary =
                    new ZoneFixture(folder, List.of(primaryEntry), keys, 64, 10_000, port)) {
                secondary.awaitSerial(ORIGIN, 0x7ffffffe);
                assertEquals(2, secondary.endpointEvents.get(0).entries().size());
                for (int i = 1; i <= 3; i++) {
                    Update update = new Update(Name.fromString(ORIGIN));
                    update.delete(Name.fromString("s1." + ORIGIN), Type.TXT);
                    update.add(
                            Name.fromString("s1." + ORIGIN),
                            Type.TXT,
                            60,
                            "\"cell=0\" \"status=" + (i % 2 == 1 ? "draining" : "ready") + "\"");
                    update(primary, update);
                    secondary.awaitSerial(ORIGIN, 0x7ffffffeL + i);
                }
                secondary.awaitLog("1 changes");
                List<Searcher> last =
                        secondary.endpointEvents.get(secondary.endpointEvents.size() - 1).entries();
                assertEquals(EndpointState.DRAINING, last.get(0).state());
                assertEquals(
                        "a secondary zone refuses updates",
                        Rcode.REFUSED,
                        secondary
                                .resolver(true)
                                .send(new Update(Name.fromString(ORIGIN)))
                                .getRcode());
                assertTrue(
                        "the secondary answered the notifications",
                        primary.log.stream().noneMatch(l -> l.contains("did not answer")));
            }
        }
    }

    @Test
    public void anInterruptedTransferIsDiscardedAndTheNextPrimaryIsAsked() throws Exception {
        try (ScriptedPrimary disconnecting =
                        new ScriptedPrimary() {
                            @Override
                            void respond(Message query, DataOutputStream out) throws IOException {
                                answer(
                                        query,
                                        out,
                                        soa(500),
                                        "_searcher._tcp SRV 0 0 9000 evil",
                                        "evil A 127.0.0.1");
                                throw new IOException("connection dropped by the script");
                            }
                        };
                ZoneFixture primary = ZoneFixture.of(ORIGIN, zone(7, 86_400, ""));
                ZoneFixture secondary =
                        secondaryOf(
                                Map.of(),
                                disconnecting.peer(),
                                new ZonesConfig.Peer(primary.address, null))) {
            secondary.awaitSerial(ORIGIN, 7);
            secondary.awaitLog("the connection was closed");
            assertEquals(Rcode.NXDOMAIN, secondary.ask("evil." + ORIGIN, Type.A).getRcode());
            assertFalse(secondary.endpointEvents.isEmpty());
        }
    }

    @Test
    public void aBrokenSerialChainLeadsToAWholeTransferAndAnOlderSerialIsRefused()
            throws Exception {
        int[] serial = {5};
        try (ScriptedPrimary inconsistent =
                        new ScriptedPrimary() {
                            @Override
                            void respond(Message query, DataOutputStream out) throws IOException {
                                switch (query.getQuestion().getType()) {
                                    case Type.SOA -> answer(query, out, soa(serial[0]));
                                    case Type.IXFR ->
                                            answer(
                                                    query,
                                                    out,
                                                    soa(serial[0]),
                                                    soa(4),
                                                    "s1 A 127.0.0.1",
                                                    soa(serial[0]),
                                                    "s1 A 127.0.0.9",
                                                    soa(serial[0]));
                                    default ->
                                            answer(
                                                    query,
                                                    out,
                                                    soa(serial[0]),
                                                    ORIGIN + " NS ns",
                                                    "t" + serial[0] + " A 127.0.0.1",
                                                    soa(serial[0]));
                                }
                            }
                        };
                ZoneFixture secondary = secondaryOf(Map.of(), inconsistent.peer())) {
            secondary.awaitSerial(ORIGIN, 5);
            serial[0] = 6;
            notify(secondary, 6);
            secondary.awaitSerial(ORIGIN, 6);
            secondary.awaitLog("a change from serial 4 where 5 was reached");
            assertEquals(
                    1, secondary.ask("t6." + ORIGIN, Type.A).getSection(Section.ANSWER).size());
            serial[0] = 3;
            notify(secondary, 9);
            secondary.awaitLog("serial 3 is not later than 6");
            assertEquals(6, secondary.serial(ORIGIN));
        }
    }

    /** A primary with one serial, whose AXFR may have another one, and which can be cut off. */
    private static class SerialPrimary extends ScriptedPrimary {
        volatile long serial;
        volatile long transferredSerial;
        volatile boolean endsAtIxfr;
        private volatile boolean cutOff;

        SerialPrimary(long serial) throws IOException {
            this.serial = serial;
            this.transferredSerial = serial;
        }

        @Override
        void respond(Message query, DataOutputStream out) throws IOException {
            int type = query.getQuestion().getType();
            cutOff |= endsAtIxfr && type == Type.IXFR;
            if (cutOff) {
                throw new IOException("cut off by the script");
            }
            if (type == Type.SOA) {
                answer(query, out, soa(serial));
                return;
            }
            answer(
                    query,
                    out,
                    soa(transferredSerial),
                    ORIGIN + " NS ns",
                    "t" + transferredSerial + " A 127.0.0.1",
                    soa(transferredSerial));
        }
    }

    /** Guards against an old copy of another primary that is taken when an IXFR breaks off. */
    @Test
    public void aLaggingPrimarysCopyIsNotTakenAfterABrokenIncrementalTransfer() throws Exception {
        try (SerialPrimary current = new SerialPrimary(2);
                SerialPrimary lagging = new SerialPrimary(1);
                ZoneFixture secondary = secondaryOf(Map.of(), current.peer(), lagging.peer())) {
            secondary.awaitSerial(ORIGIN, 2);
            current.endsAtIxfr = true;
            current.serial = 3;
            notify(secondary, 3);
            secondary.awaitLog(lagging.peer().address() + ": serial 1 is not later than 2");
            assertEquals(2, secondary.serial(ORIGIN));
            assertEquals(Rcode.NXDOMAIN, secondary.ask("t1." + ORIGIN, Type.A).getRcode());
        }
    }

    /** Guards against a whole transfer that is older than the serial that its primary told. */
    @Test
    public void aWholeTransferOfAnOldCopyIsNotTaken() throws Exception {
        try (SerialPrimary primary = new SerialPrimary(2);
                ZoneFixture secondary = secondaryOf(Map.of(), primary.peer())) {
            secondary.awaitSerial(ORIGIN, 2);
            primary.transferredSerial = 1;
            primary.serial = 3;
            notify(secondary, 3);
            secondary.awaitLog(primary.peer().address() + ": serial 1 is not later than 2");
            assertEquals(2, secondary.serial(ORIGIN));
            assertEquals(Rcode.NXDOMAIN, secondary.ask("t1." + ORIGIN, Type.A).getRcode());
        }
    }

    private static void notify(ZoneFixture fixture, long serial) throws Exception {
        Message notify =
                Message.newQuery(Record.newRecord(Name.fromString(ORIGIN), Type.SOA, DClass.IN));
        notify.getHeader().setOpcode(org.xbill.DNS.Opcode.NOTIFY);
        notify.addRecord(
                Record.fromString(
                        Name.fromString(ORIGIN),
                        Type.SOA,
                        DClass.IN,
                        60,
                        "ns. ops. " + serial + " 3600 1 86400 30",
                        Name.root),
                Section.ANSWER);
        assertEquals(Rcode.NOERROR, fixture.resolver(false).send(notify).getRcode());
    }

    @Test
    public void aStalledPrimaryTimesOutAndAnExpiredZoneListsNoSearchers() throws Exception {
        boolean[] stalls = {false};
        try (ScriptedPrimary stalling =
                        new ScriptedPrimary() {
                            @Override
                            void respond(Message query, DataOutputStream out) throws IOException {
                                if (stalls[0]) {
                                    try {
                                        // Sends nothing and keeps the connection open.
                                        Thread.sleep(60_000);
                                    } catch (InterruptedException e) {
                                        throw new IOException(e);
                                    }
                                }
                                answer(
                                        query,
                                        out,
                                        ORIGIN + " SOA ns ops 5 1 1 3 30",
                                        ORIGIN + " NS ns",
                                        "_searcher._tcp SRV 0 0 8001 s1",
                                        "s1 A 127.0.0.1",
                                        "s1 TXT cell=0",
                                        ORIGIN + " SOA ns ops 5 1 1 3 30");
                                stalls[0] = true;
                            }
                        };
                ZoneFixture secondary = secondaryOf(Map.of(), stalling.peer())) {
            secondary.awaitSerial(ORIGIN, 5);
            secondary.awaitLog("expired: not confirmed by a primary since");
            secondary.awaitLog("no response for 5000 ms");
            secondary.awaitLog("expired; what only it lists leaves");
            assertEquals(Rcode.SERVFAIL, secondary.ask(ORIGIN, Type.SOA).getRcode());
            List<Searcher> last =
                    secondary.endpointEvents.get(secondary.endpointEvents.size() - 1).entries();
            assertEquals(EndpointState.DRAINING, last.get(0).state());
        }
    }

    @Test
    public void aZoneSurvivesARestartAndKeysOfVersion03AreParsed() throws Exception {
        Path folder = Files.createTempDirectory("zones");
        ZonesConfig.Entry entry =
                ZoneFixture.primary(
                        folder, ORIGIN, zone(7, 86_400, ""), List.of(), ZoneFixture.ANY, List.of());
        ZoneFixture fixture = new ZoneFixture(folder, List.of(entry), Map.of(), 64, 10_000);
        fixture.await(ORIGIN);
        Update update = new Update(Name.fromString(ORIGIN));
        update.add(Name.fromString("kept." + ORIGIN), Type.A, 60, "10.0.0.1");
        update(fixture, update);
        fixture.group
                .next()
                .submit(
                        () -> {
                            fixture.store.close();
                            return null;
                        })
                .sync();
        try (ZoneFixture restarted =
                new ZoneFixture(folder, List.of(entry), Map.of(), 64, 10_000)) {
            restarted.awaitSerial(ORIGIN, 8);
            assertEquals(
                    1, restarted.ask("kept." + ORIGIN, Type.A).getSection(Section.ANSWER).size());
            List<?> changes = restarted.ixfr(7);
            assertEquals("the journal is rebuilt from the store's log", 1, changes.size());
            // A key as version 0.3 stored it: one per record set, without generations.
            assertEquals(
                    new ZoneKeys.Parsed("old.test.", 0, "s0.old.test.", Rr.A),
                    ZoneKeys.parse("dns/old.test./s0.old.test./1"));
        }
        fixture.group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
