package reeldeal.dns;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import reeldeal.dns.ZoneSuccession.Verdict;

/** Tests transfers from primaries that follow the protocol and from primaries that violate it. */
public class TransferInTest {
    private static final String ORIGIN = "z.test.";
    private static final Tsig.Key KEY = new Tsig.Key("k.", "hmac-sha256.", new byte[32]);

    private static Rr soa(long serial) {
        byte[] names = Names.wire("ns.z.test.");
        java.nio.ByteBuffer data = java.nio.ByteBuffer.allocate(2 * names.length + 20);
        data.put(names)
                .put(names)
                .putInt((int) serial)
                .putInt(3_600)
                .putInt(600)
                .putInt(86_400)
                .putInt(60);
        return new Rr(ORIGIN, Rr.SOA, Rr.IN, 60, data.array());
    }

    private static Rr aRecord(String name, int lastOctet) {
        return new Rr(
                name + "." + ORIGIN, Rr.A, Rr.IN, 60, new byte[] {10, 0, 0, (byte) lastOctet});
    }

    private static byte[] message(int id, int rcode, Rr... records) {
        MessageWriter writer =
                new MessageWriter(id, Message.QR | Message.AA | rcode, 65_535)
                        .question(ORIGIN, 252, 1);
        for (Rr r : records) {
            assertTrue(writer.add(1, r));
        }
        return writer.toBytes();
    }

    private static Zone zone(long serial, Rr... records) {
        Zone zone = Zone.empty(ORIGIN).plus(soa(serial));
        for (Rr r : records) {
            zone = zone.plus(r);
        }
        return zone;
    }

    private static TransferIn startTransfer(Zone before, boolean incremental) {
        return new TransferIn(9, before, incremental, null, null, 1_000, 100);
    }

    private static void assertFails(
            String reason, Zone before, boolean incremental, byte[]... messages) {
        TransferIn transfer = startTransfer(before, incremental);
        TransferIn.State state = TransferIn.State.MORE;
        for (byte[] m : messages) {
            assertEquals(TransferIn.State.MORE, state);
            state = transfer.accept(m);
        }
        assertEquals(TransferIn.State.FAILED, state);
        assertTrue(
                transfer.failureReason() + ", expected " + reason,
                transfer.failureReason().contains(reason));
    }

    @Test
    public void fullTransferCompletesWithItsLastSoa() {
        TransferIn transfer = startTransfer(Zone.empty(ORIGIN), false);
        assertEquals(TransferIn.State.MORE, transfer.accept(message(9, 0, soa(5))));
        assertEquals(
                TransferIn.State.MORE,
                transfer.accept(message(9, 0, aRecord("x", 1), aRecord("y", 2))));
        assertEquals(TransferIn.State.FULL_TRANSFER, transfer.accept(message(9, 0, soa(5))));
        assertEquals(3, transfer.zone().size());
        assertEquals(5, transfer.zone().serial());
    }

    @Test
    public void incrementalTransferAppliesEachChangeInOrder() {
        Zone before = zone(5, aRecord("x", 1));
        TransferIn transfer = startTransfer(before, true);
        assertEquals(
                TransferIn.State.MORE,
                transfer.accept(
                        message(9, 0, soa(7), soa(5), aRecord("x", 1), soa(6), aRecord("x", 2))));
        assertEquals(
                TransferIn.State.INCREMENTAL_TRANSFER,
                transfer.accept(message(9, 0, soa(6), soa(7), aRecord("y", 3), soa(7))));
        assertEquals(2, transfer.diffs().size());
        assertEquals(7, transfer.zone().serial());
        assertTrue(transfer.zone().get("x.z.test.", Rr.A).contains(new byte[] {10, 0, 0, 2}));
        assertEquals("the current zone is unchanged", 5, before.serial());
        TransferIn wrapped = startTransfer(zone(0xffffffffL), true);
        assertEquals(
                TransferIn.State.INCREMENTAL_TRANSFER,
                wrapped.accept(
                        message(9, 0, soa(2), soa(0xffffffffL), soa(2), aRecord("y", 1), soa(2))));
        assertEquals(
                TransferIn.State.UP_TO_DATE,
                startTransfer(zone(5), true).accept(message(9, 0, soa(5))));
        TransferIn whole = startTransfer(before, true);
        assertEquals(
                "the primary may answer with a full transfer",
                TransferIn.State.FULL_TRANSFER,
                whole.accept(message(9, 0, soa(9), aRecord("q", 1), soa(9))));
    }

    @Test
    public void rejectsTransfersThatBreakTheProtocol() {
        Zone zoneAtFive = zone(5, aRecord("x", 1));
        assertFails(
                "where 5 was reached",
                zoneAtFive,
                true,
                message(9, 0, soa(7), soa(6), soa(7), aRecord("y", 1), soa(7)));
        assertFails(
                "where 6 was reached",
                zoneAtFive,
                true,
                message(9, 0, soa(9), soa(5), soa(6), aRecord("y", 1), soa(8), soa(9), soa(9)));
        assertFails(
                "does not increase",
                zoneAtFive,
                true,
                message(9, 0, soa(7), soa(5), soa(4), aRecord("y", 1), soa(7)));
        assertFails(
                "removes a record that does not exist",
                zoneAtFive,
                true,
                message(9, 0, soa(7), soa(5), aRecord("nope", 1), soa(7), soa(7)));
        assertFails(
                "different serial",
                zoneAtFive,
                false,
                message(9, 0, soa(7), aRecord("y", 1), soa(8)));
        assertFails(
                "after the final SOA",
                zoneAtFive,
                false,
                message(9, 0, soa(7), aRecord("y", 1), soa(7), aRecord("w", 1)));
        assertFails(
                "not valid in zone",
                zoneAtFive,
                false,
                message(9, 0, soa(7), new Rr("other.", Rr.A, 1, 1, new byte[4])));
        assertFails("begin with a SOA", zoneAtFive, false, message(9, 0, aRecord("y", 1)));
        assertFails("REFUSED", zoneAtFive, false, message(9, 5));
        assertFails(
                "not a response to the transfer request", zoneAtFive, false, message(8, 0, soa(7)));
        assertFails("without records", zoneAtFive, false, message(9, 0, soa(7)), message(9, 0));
        List<Rr> many = new ArrayList<>(List.of(soa(7)));
        for (int i = 0; i < 120; i++) {
            many.add(aRecord("n" + i, i));
        }
        assertFails(
                "more than 100 records", zoneAtFive, false, message(9, 0, many.toArray(Rr[]::new)));
        assertFails("not a message", zoneAtFive, false, new byte[20]);
    }

    @Test
    public void rejectsStreamsWithMissingOrBadSignatures() {
        byte[] request = new byte[32];
        Tsig.Signed first = Tsig.sign(message(9, 0, soa(5)), KEY, 1_000, request, false);
        byte[] unsignedMessage = message(9, 0, aRecord("x", 1));
        byte[] unsignedLastMessage = message(9, 0, soa(5));
        TransferIn transfer =
                new TransferIn(9, Zone.empty(ORIGIN), false, KEY, request, 1_000, 100);
        assertEquals(TransferIn.State.MORE, transfer.accept(first.bytes()));
        assertEquals(TransferIn.State.MORE, transfer.accept(unsignedMessage));
        assertEquals(
                "the last must be signed",
                TransferIn.State.FAILED,
                transfer.accept(unsignedLastMessage));
        // The next signature must also cover the unsigned messages before it.
        byte[] both = new byte[unsignedMessage.length + unsignedLastMessage.length];
        System.arraycopy(unsignedMessage, 0, both, 0, unsignedMessage.length);
        System.arraycopy(
                unsignedLastMessage, 0, both, unsignedMessage.length, unsignedLastMessage.length);
        TransferIn tampered =
                new TransferIn(9, Zone.empty(ORIGIN), false, KEY, request, 1_000, 100);
        tampered.accept(first.bytes());
        tampered.accept(unsignedMessage);
        assertEquals(
                TransferIn.State.FAILED,
                tampered.accept(
                        Tsig.sign(unsignedLastMessage, KEY, 1_000, first.mac(), true).bytes()));
        assertTrue(tampered.failureReason().contains("BADSIG"));
        TransferIn unsigned =
                new TransferIn(9, Zone.empty(ORIGIN), false, KEY, request, 1_000, 100);
        assertEquals(TransferIn.State.FAILED, unsigned.accept(message(9, 0, soa(5))));
    }

    @Test
    public void transferOutIsAcceptedByTransferIn() throws Exception {
        Zone zone = zone(5);
        Journal journal = new Journal(1_000);
        Map<Long, Zone> versions = new HashMap<>(Map.of(5L, zone));
        java.util.Random random = new java.util.Random(3);
        for (int i = 0; i < 40; i++) {
            Zone next =
                    zone.plus(aRecord("n" + random.nextInt(9), random.nextInt(99)))
                            .with("n" + random.nextInt(9) + "." + ORIGIN, Rr.A, null)
                            .withSerial(6 + i);
            List<String[]> places = new ArrayList<>();
            for (int n = 0; n < 9; n++) {
                places.add(new String[] {"n" + n + "." + ORIGIN, "1"});
            }
            journal.add(Journal.Diff.between(zone, next, places));
            zone = next;
            versions.put(zone.serial(), zone);
        }
        for (long from = 5; from <= zone.serial(); from++) {
            MessageWriter request = new MessageWriter(9, 0, 512).question(ORIGIN, Rr.IXFR, Rr.IN);
            request.add(2, versions.get(from).soa());
            TransferOut out =
                    TransferOut.incremental(
                            Message.parse(request.toBytes()), zone, journal, KEY, new byte[32]);
            TransferIn transfer =
                    new TransferIn(9, versions.get(from), true, KEY, new byte[32], 1_000, 1_000);
            TransferIn.State state = null;
            while (out.hasNext()) {
                state = transfer.accept(out.next(1_000));
            }
            if (from == zone.serial()) {
                assertEquals(TransferIn.State.UP_TO_DATE, state);
                continue;
            }
            assertTrue(
                    from + ": " + state + " " + transfer.failureReason(),
                    state == TransferIn.State.INCREMENTAL_TRANSFER
                            || state == TransferIn.State.FULL_TRANSFER);
            StringBuilder receivedText = new StringBuilder();
            StringBuilder expectedText = new StringBuilder();
            ZoneFile.write(transfer.zone(), receivedText);
            ZoneFile.write(zone, expectedText);
            assertEquals(
                    expectedText.toString().lines().sorted().toList(),
                    receivedText.toString().lines().sorted().toList());
        }
        assertNull(journal.since(1));
    }

    @Test
    public void secondaryFollowsTheTimersOfItsSoa() {
        Secondary secondary = new Secondary(2, 0);
        assertEquals(Secondary.Step.REQUEST_AXFR, secondary.tick(0));
        secondary.failed(0);
        assertEquals("a failure selects the next primary", 1, secondary.primary());
        assertEquals(Secondary.Step.NOTHING, secondary.tick(999));
        assertEquals(Secondary.Step.REQUEST_AXFR, secondary.tick(1_000));
        assertEquals(Verdict.NEWER, secondary.judge(5));
        secondary.installed(1_000, zone(5));
        assertEquals("the refresh interval", 3_601_000, secondary.nextAt());
        assertTrue(
                "only a NOTIFY with a newer serial triggers a check",
                !secondary.notified(2_000, 5) && secondary.notified(2_000, 6));
        assertEquals(Secondary.Step.QUERY_SOA, secondary.tick(2_000));
        assertTrue("a NOTIFY during a step triggers another check", secondary.notified(2_001, 8));
        assertEquals(Secondary.Step.REQUEST_IXFR, secondary.soaReceived(2_010, 7));
        secondary.incrementalTransferFailed(2_020);
        assertEquals(Secondary.Step.QUERY_SOA, secondary.tick(2_020));
        assertEquals(Secondary.Step.REQUEST_AXFR, secondary.soaReceived(2_025, 7));
        assertEquals(Verdict.NEWER, secondary.judge(7));
        secondary.installed(2_030, zone(7));
        assertEquals(
                "the SOA is queried after the refresh interval",
                Secondary.Step.QUERY_SOA,
                secondary.tick(3_700_000));
        assertEquals(Secondary.Step.NOTHING, secondary.soaReceived(3_700_000, 6));
        long now = 3_700_000;
        Secondary.Step step = Secondary.Step.NOTHING;
        while (step != Secondary.Step.EXPIRE) {
            now = secondary.nextAt();
            step = secondary.tick(now);
            if (step == Secondary.Step.QUERY_SOA) {
                secondary.failed(now);
            }
        }
        assertEquals("expires exactly at the expire interval", 2_030 + 86_400_000, now);
        assertTrue(secondary.expired());
        assertEquals(Secondary.Step.QUERY_SOA, secondary.tick(secondary.nextAt()));
        assertEquals(
                "an old copy does not replace an expired zone either",
                Secondary.Step.NOTHING,
                secondary.soaReceived(now + 60_000, 3));
        assertEquals(Verdict.OLDER, secondary.judge(3));
        assertTrue(secondary.expired());
        assertEquals(Secondary.Step.QUERY_SOA, secondary.tick(secondary.nextAt()));
        assertEquals(Secondary.Step.NOTHING, secondary.soaReceived(now + 120_000, 7));
        assertTrue("the same serial confirms it", !secondary.expired());
    }
}
