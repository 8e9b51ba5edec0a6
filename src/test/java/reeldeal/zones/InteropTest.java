package reeldeal.zones;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import org.xbill.DNS.ZoneTransferException;
import org.xbill.DNS.ZoneTransferIn;
import reeldeal.dns.Rr;
import reeldeal.dns.Tsig;

/** Tests the zone service with the clients of an independent DNS library (dnsjava). */
public class InteropTest {
    private static final String ORIGIN = "example.test.";
    private static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);
    private static final String OLD_KEY = "old.keys.test.";
    private static final String NEW_KEY = "new.keys.test.";
    private static final String ZONE_FILE =
            """
            $TTL 300
            @ SOA ns ops 100 3600 600 86400 30
            @ NS ns
            ns A 127.0.0.1
            www A 10.0.0.1
            www A 10.0.0.2
            www AAAA 2001:db8::1
            alias CNAME hop
            hop CNAME www
            out CNAME x.other.
            loop1 CNAME loop2
            loop2 CNAME loop1
            *.wild TXT w
            host.wild A 10.0.0.3
            a.deep.ent A 10.0.0.4
            sub NS ns.sub
            ns.sub A 10.0.0.5
            _searcher._tcp SRV 0 0 8001 s1
            s1 A 127.0.0.1
            s1 TXT cell=0
            $GENERATE 1-60 big TXT "record number $ of a set that fits no datagram"
            """;

    private ZoneFixture fixture;

    @Before
    public void start() throws Exception {
        Path folder = Files.createTempDirectory("zones");
        Map<String, Tsig.Key> keys =
                Map.of(
                        OLD_KEY,
                        new Tsig.Key(OLD_KEY, "hmac-sha256.", SECRET),
                        NEW_KEY,
                        new Tsig.Key(NEW_KEY, "hmac-sha512.", SECRET));
        AccessList signed = AccessList.parse(List.of("key:" + OLD_KEY, "key:" + NEW_KEY));
        List<UpdateGrant> grants =
                List.of(
                        new UpdateGrant(OLD_KEY, List.of("*." + ORIGIN), java.util.Set.of()),
                        new UpdateGrant(
                                NEW_KEY, List.of("s1." + ORIGIN), java.util.Set.of(Rr.TXT)));
        ZonesConfig.Entry lockedZone =
                ZoneFixture.primary(
                        folder,
                        "locked.test.",
                        "@ 60 SOA ns ops 1 2 3 4 5\n@ 60 NS ns\n@ 60 TXT 1\n",
                        List.of(),
                        signed,
                        grants);
        fixture =
                new ZoneFixture(
                        folder,
                        List.of(
                                ZoneFixture.primary(
                                        folder,
                                        ORIGIN,
                                        ZONE_FILE,
                                        List.of(),
                                        ZoneFixture.ANY,
                                        List.of()),
                                new ZonesConfig.Entry(
                                        lockedZone.origin(),
                                        lockedZone.file(),
                                        List.of(),
                                        List.of(),
                                        ZoneFixture.ANY,
                                        signed,
                                        signed,
                                        List.of(
                                                new UpdateGrant(
                                                        OLD_KEY,
                                                        List.of("*.locked.test."),
                                                        java.util.Set.of()),
                                                new UpdateGrant(
                                                        NEW_KEY,
                                                        List.of("s1.locked.test."),
                                                        java.util.Set.of(Rr.TXT))),
                                        false,
                                        1_000,
                                        1_000)),
                        keys,
                        8,
                        600);
        fixture.await(ORIGIN);
        fixture.await("locked.test.");
    }

    @After
    public void stop() throws Exception {
        fixture.close();
    }

    private static TSIG key(String name) throws Exception {
        return new TSIG(
                name.equals(OLD_KEY) ? TSIG.HMAC_SHA256 : TSIG.HMAC_SHA512,
                Name.fromString(name),
                SECRET);
    }

    private void assertAnswer(
            String name, int type, int rcode, boolean authoritative, int answers, int authority)
            throws Exception {
        Message response = fixture.ask(name, type);
        String description = name + " " + Type.string(type) + ": " + response;
        assertEquals(description, rcode, response.getRcode());
        assertEquals(description, authoritative, response.getHeader().getFlag(Flags.AA));
        assertEquals(description, answers, response.getSection(Section.ANSWER).size());
        assertEquals(description, authority, response.getSection(Section.AUTHORITY).size());
        assertEquals(description, name, response.getQuestion().getName().toString());
    }

    @Test
    public void queriesAreAnsweredAsTheRfcsRequire() throws Exception {
        assertAnswer("www.example.test.", Type.A, Rcode.NOERROR, true, 2, 0);
        assertAnswer("WWW.exAmple.test.", Type.AAAA, Rcode.NOERROR, true, 1, 0);
        assertAnswer("alias.example.test.", Type.A, Rcode.NOERROR, true, 4, 0);
        assertAnswer("alias.example.test.", Type.CNAME, Rcode.NOERROR, true, 1, 0);
        assertAnswer("out.example.test.", Type.A, Rcode.NOERROR, true, 1, 0);
        assertAnswer("loop1.example.test.", Type.A, Rcode.NOERROR, true, 2, 0);
        assertAnswer("x.y.wild.example.test.", Type.TXT, Rcode.NOERROR, true, 1, 0);
        assertAnswer("x.wild.example.test.", Type.A, Rcode.NOERROR, true, 0, 1);
        assertAnswer("host.wild.example.test.", Type.TXT, Rcode.NOERROR, true, 0, 1);
        assertAnswer("deep.ent.example.test.", Type.A, Rcode.NOERROR, true, 0, 1);
        assertAnswer("none.example.test.", Type.A, Rcode.NXDOMAIN, true, 0, 1);
        assertAnswer("a.b.sub.example.test.", Type.A, Rcode.NOERROR, false, 0, 1);
        assertAnswer("sub.example.test.", Type.NS, Rcode.NOERROR, false, 0, 1);
        assertAnswer("elsewhere.test.", Type.A, Rcode.REFUSED, false, 0, 0);
        SOARecord soa =
                (SOARecord)
                        fixture.ask("none.example.test.", Type.A)
                                .getSection(Section.AUTHORITY)
                                .get(0);
        assertEquals("RFC 2308: the lesser of TTL and minimum", 30, soa.getTTL());
        Message srv = fixture.ask("_searcher._tcp.example.test.", Type.SRV);
        assertEquals(
                "s1.example.test.", srv.getSection(Section.ADDITIONAL).get(0).getName().toString());
        Message referral = fixture.ask("a.sub.example.test.", Type.A);
        assertEquals(
                "ns.sub.example.test.",
                referral.getSection(Section.ADDITIONAL).get(0).getName().toString());
    }

    @Test
    public void responsesFitTheSizeThatTheClientAccepts() throws Exception {
        Message plain =
                Message.newQuery(
                        Record.newRecord(Name.fromString("big." + ORIGIN), Type.TXT, DClass.IN));
        SimpleResolver udp = fixture.resolver(false);
        udp.setIgnoreTruncation(true);
        Message truncated = udp.send(plain);
        assertTrue(truncated.getHeader().getFlag(Flags.TC));
        assertNull(truncated.getOPT());
        assertTrue(truncated.numBytes() <= 512);
        Message whole = fixture.resolver(false).send(plain);
        assertEquals("fell back to TCP", 60, whole.getSection(Section.ANSWER).size());
        SimpleResolver withEdns = fixture.resolver(false);
        withEdns.setEDNS(0, 4_096, 0, List.of());
        Message ednsResponse =
                withEdns.send(
                        Message.newQuery(
                                Record.newRecord(
                                        Name.fromString("www." + ORIGIN), Type.A, DClass.IN)));
        assertNotNull(ednsResponse.getOPT());
        Message unknownEdnsVersion =
                Message.newQuery(
                        Record.newRecord(Name.fromString("www." + ORIGIN), Type.A, DClass.IN));
        unknownEdnsVersion.addRecord(new org.xbill.DNS.OPTRecord(4_096, 0, 1), Section.ADDITIONAL);
        assertEquals(Rcode.BADVERS, fixture.resolver(false).send(unknownEdnsVersion).getRcode());
        Message statusRequest =
                Message.newQuery(Record.newRecord(Name.fromString(ORIGIN), Type.SOA, DClass.IN));
        statusRequest.getHeader().setOpcode(Opcode.STATUS);
        assertEquals(Rcode.NOTIMP, fixture.resolver(true).send(statusRequest).getRcode());
    }

    private int update(Update update) throws Exception {
        return fixture.resolver(true).send(update).getRcode();
    }

    private static Update update() throws Exception {
        return new Update(Name.fromString(ORIGIN));
    }

    private static Name name(String relative) throws Exception {
        return Name.fromString(relative, Name.fromString(ORIGIN));
    }

    @Test
    public void updatesCheckPrerequisitesAndAreAppliedWholeOrNotAtAll() throws Exception {
        Update addition = update();
        addition.absent(name("fresh"));
        addition.add(name("fresh"), Type.A, 60, "10.1.1.1");
        assertEquals(Rcode.NOERROR, update(addition));
        assertEquals(101, fixture.serial(ORIGIN));
        assertEquals(Rcode.YXDOMAIN, update(addition));
        Update incompletePrerequisite = update();
        incompletePrerequisite.present(name("www"), Type.A, "10.0.0.1");
        incompletePrerequisite.add(name("never"), Type.A, 60, "10.1.1.2");
        assertEquals(
                "the prerequisite lists one record of a set of two",
                Rcode.NXRRSET,
                update(incompletePrerequisite));
        assertEquals(Rcode.NXDOMAIN, fixture.ask("never." + ORIGIN, Type.A).getRcode());
        Update completePrerequisite = update();
        completePrerequisite.present(name("www"), Type.A, "10.0.0.1");
        completePrerequisite.present(name("www"), Type.A, "10.0.0.2");
        completePrerequisite.delete(name("www"), Type.A, "10.0.0.1");
        completePrerequisite.add(name("alias"), Type.A, 60, "10.1.1.3");
        assertEquals(Rcode.NOERROR, update(completePrerequisite));
        assertEquals(
                "an A record is not added beside a CNAME",
                2,
                fixture.ask("alias." + ORIGIN, Type.AAAA).getSection(Section.ANSWER).stream()
                        .filter(r -> r.getType() == Type.CNAME)
                        .count());
        Update apex = update();
        apex.delete(Name.fromString(ORIGIN));
        assertEquals(Rcode.NOERROR, update(apex));
        assertEquals(
                "deleting the apex keeps SOA and NS records",
                1,
                fixture.ask(ORIGIN, Type.NS).getSection(Section.ANSWER).size());
        Update outside = update();
        outside.add(Name.fromString("x.other."), Type.A, 60, "10.1.1.4");
        assertEquals(Rcode.NOTZONE, update(outside));
        assertEquals(Rcode.NOTAUTH, update(new Update(Name.fromString("other."))));
    }

    @Test
    public void signaturesAndGrantsAreEnforced() throws Exception {
        Update update = new Update(Name.fromString("locked.test."));
        update.add(Name.fromString("s1.locked.test."), Type.TXT, 60, "x");
        assertEquals("unsigned update", Rcode.REFUSED, update(update));
        SimpleResolver oldKeyResolver = fixture.resolver(true);
        oldKeyResolver.setTSIGKey(key(OLD_KEY));
        Message signedResponse = oldKeyResolver.send(update);
        assertEquals(Rcode.NOERROR, signedResponse.getRcode());
        assertTrue("the response has a valid signature", signedResponse.isVerified());
        SimpleResolver newKeyResolver = fixture.resolver(false);
        newKeyResolver.setTSIGKey(key(NEW_KEY));
        Update allowed = new Update(Name.fromString("locked.test."));
        allowed.add(Name.fromString("s1.locked.test."), Type.TXT, 60, "y");
        assertEquals(
                "the new key is accepted beside the old one",
                Rcode.NOERROR,
                newKeyResolver.send(allowed).getRcode());
        Update otherType = new Update(Name.fromString("locked.test."));
        otherType.add(Name.fromString("s1.locked.test."), Type.A, 60, "10.0.0.1");
        assertEquals(
                "the grant does not cover type A",
                Rcode.REFUSED,
                newKeyResolver.send(otherType).getRcode());
        SimpleResolver wrongKeyResolver = fixture.resolver(true);
        wrongKeyResolver.setTSIGKey(
                new TSIG(
                        TSIG.HMAC_SHA256,
                        Name.fromString(OLD_KEY),
                        Base64.getDecoder().decode("AAAABBBBCCCCDDDD")));
        assertEquals(Rcode.NOTAUTH, wrongKeyResolver.send(update).getRcode());
        wrongKeyResolver.setTSIGKey(
                new TSIG(TSIG.HMAC_SHA256, Name.fromString("no.such.key."), SECRET));
        assertEquals(Rcode.NOTAUTH, wrongKeyResolver.send(update).getRcode());
        Message skewed =
                Message.newQuery(
                        Record.newRecord(Name.fromString("locked.test."), Type.SOA, DClass.IN));
        TSIG lateSignature =
                new TSIG(
                        TSIG.HMAC_SHA256,
                        Name.fromString(OLD_KEY),
                        new javax.crypto.spec.SecretKeySpec(SECRET, "HmacSHA256"),
                        java.time.Clock.offset(
                                java.time.Clock.systemUTC(), java.time.Duration.ofHours(-2)));
        lateSignature.apply(skewed, null);
        Message refused = fixture.resolver(true).send(skewed);
        assertEquals(Rcode.NOTAUTH, refused.getRcode());
        assertEquals(Rcode.BADTIME, refused.getTSIG().getError());
    }

    private static List<?> transfer(ZoneTransferIn in) throws Exception {
        in.run();
        return in.isCurrent() ? List.of() : in.isAXFR() ? in.getAXFR() : in.getIXFR();
    }

    @Test
    public void zonesAreTransferredWholeAndIncrementally() throws Exception {
        Name origin = Name.fromString(ORIGIN);
        List<?> whole = transfer(ZoneTransferIn.newAXFR(origin, fixture.address, null));
        assertEquals("all records, and the SOA record a second time", 80, whole.size());
        for (int i = 0; i < 3; i++) {
            Update update = update();
            update.add(name("n" + i), Type.A, 60, "10.2.0." + i);
            update.delete(name("n" + (i - 1)));
            assertEquals(Rcode.NOERROR, update(update));
        }
        List<?> changes =
                transfer(ZoneTransferIn.newIXFR(origin, 101, false, fixture.address, null));
        assertEquals(2, changes.size());
        ZoneTransferIn.Delta last = (ZoneTransferIn.Delta) changes.get(1);
        assertEquals(103, last.end);
        assertEquals("the SOA record and one other record, deleted and added", 2, last.adds.size());
        assertEquals(2, last.deletes.size());
        assertEquals(
                "up to date",
                List.of(),
                transfer(ZoneTransferIn.newIXFR(origin, 103, false, fixture.address, null)));
        assertTrue(
                "serial older than the journal: the whole zone is sent",
                transfer(ZoneTransferIn.newIXFR(origin, 7, false, fixture.address, null)).get(0)
                        instanceof SOARecord);
        assertThrows(
                ZoneTransferException.class,
                () ->
                        transfer(
                                ZoneTransferIn.newAXFR(
                                        Name.fromString("locked.test."), fixture.address, null)));
        assertEquals(
                4,
                transfer(
                                ZoneTransferIn.newAXFR(
                                        Name.fromString("locked.test."),
                                        fixture.address,
                                        key(OLD_KEY)))
                        .size());
    }

    @Test
    public void idleConnectionsAreClosedToAdmitNewOnes() throws Exception {
        List<Socket> idleSockets = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            idleSockets.add(new Socket(fixture.address.getAddress(), fixture.address.getPort()));
        }
        Message query =
                Message.newQuery(
                        Record.newRecord(Name.fromString("www." + ORIGIN), Type.A, DClass.IN));
        assertEquals(2, fixture.resolver(true).send(query).getSection(Section.ANSWER).size());
        for (Socket socket : idleSockets) {
            socket.setSoTimeout(20_000);
            assertEquals("closed", -1, socket.getInputStream().read());
            socket.close();
        }
    }

    @Test
    public void malformedMessagesDoNotStopTheServer() throws Exception {
        java.util.Random random = new java.util.Random(7);
        byte[] validQuery =
                Message.newQuery(
                                Record.newRecord(
                                        Name.fromString("www." + ORIGIN), Type.A, DClass.IN))
                        .toWire();
        try (java.net.DatagramSocket socket = new java.net.DatagramSocket()) {
            for (int i = 0; i < 2_000; i++) {
                byte[] noise = i % 2 == 0 ? validQuery.clone() : new byte[random.nextInt(1_000)];
                for (int j = 0; j < (i % 2 == 0 ? 3 : noise.length); j++) {
                    noise[random.nextInt(noise.length)] = (byte) random.nextInt();
                }
                socket.send(new java.net.DatagramPacket(noise, noise.length, fixture.address));
            }
        }
        try (Socket socket = new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            byte[] noise = new byte[65_537];
            random.nextBytes(noise);
            noise[0] = (byte) 0xff;
            noise[1] = (byte) 0xff;
            noise[4] = 0;
            socket.getOutputStream().write(noise);
            socket.setSoTimeout(20_000);
            byte[] answer = socket.getInputStream().readNBytes(14);
            assertTrue(
                    "an error code, or the connection was closed",
                    answer.length == 0
                            || (answer[5] & 0xf) == Rcode.FORMERR
                            || (answer[5] & 0xf) == Rcode.NOTIMP);
        }
        // The malformed datagrams may still fill the UDP socket's receive buffer. A query over
        // TCP is answered regardless of them.
        Message query =
                Message.newQuery(
                        Record.newRecord(Name.fromString("www." + ORIGIN), Type.A, DClass.IN));
        assertEquals(2, fixture.resolver(true).send(query).getSection(Section.ANSWER).size());
        assertTrue(
                fixture.log.toString(),
                fixture.log.stream().noneMatch(l -> l.contains("Exception")));
        assertAnswer("www.example.test.", Type.A, Rcode.NOERROR, true, 2, 0);
    }
}
