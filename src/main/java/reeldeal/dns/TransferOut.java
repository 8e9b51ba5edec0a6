package reeldeal.dns;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import reeldeal.dns.Journal.Diff;

/**
 * Produces the messages of a zone transfer to a client, one at a time as the client reads them: a
 * full transfer (RFC 5936) or an incremental one (RFC 1995). It sends the zone as it was when the
 * transfer began.
 */
public final class TransferOut {
    private static final int TARGET_MESSAGE_BYTES = 16_000;
    private static final int MAX_MESSAGE_BYTES = 65_535;

    private final Message request;
    private final Iterator<Rr> records;
    private final Tsig.Key key;
    private byte[] mac;
    private Rr nextRecord;
    private boolean firstMessage = true;

    private TransferOut(Message request, Iterator<Rr> records, Tsig.Key key, byte[] mac) {
        this.request = request;
        this.records = records;
        this.key = key;
        this.mac = mac;
        this.nextRecord = records.hasNext() ? records.next() : null;
    }

    /**
     * Starts a full transfer; {@code key} and {@code mac} are the signing key and the MAC of the
     * request, or null.
     */
    public static TransferOut full(Message request, Zone zone, Tsig.Key key, byte[] mac) {
        return new TransferOut(request, wholeRecords(zone), key, mac);
    }

    /**
     * Starts the answer to an IXFR request (RFC 1995, sections 2 to 4): the changes since the
     * client's version, a full transfer if the journal lacks them or they would be larger than the
     * zone, or a single SOA if the client is up to date.
     */
    public static TransferOut incremental(
            Message request, Zone zone, Journal journal, Tsig.Key key, byte[] mac) {
        long clientSerial =
                request.sections.get(1).stream()
                        .filter(r -> r.type() == Rr.SOA && r.data().length > 20)
                        .mapToLong(r -> Zone.serial(r.data()))
                        .findFirst()
                        .orElse(ZoneSuccession.NO_SERIAL);
        if (!ZoneSuccession.isNewer(ZoneSuccession.Arrival.TRANSFER, clientSerial, zone.serial())) {
            return new TransferOut(request, List.of(zone.soa()).iterator(), key, mac);
        }
        List<Diff> diffs = clientSerial < 0 ? null : journal.since(clientSerial);
        if (diffs == null || diffs.stream().mapToInt(Diff::recordCount).sum() > zone.size()) {
            return full(request, zone, key, mac);
        }
        ArrayDeque<Rr> sequence = new ArrayDeque<>();
        sequence.add(zone.soa());
        for (Diff diff : diffs) {
            sequence.add(diff.oldSoa());
            sequence.addAll(diff.removed());
            sequence.add(diff.newSoa());
            sequence.addAll(diff.added());
        }
        sequence.add(zone.soa());
        return new TransferOut(request, sequence.iterator(), key, mac);
    }

    /**
     * Iterates over the records of a full transfer: the SOA, all other records, the SOA again (RFC
     * 5936, section 2.2).
     */
    private static Iterator<Rr> wholeRecords(Zone zone) {
        Iterator<Zone.OwnedRrSet> sets = zone.sets();
        return new Iterator<>() {
            private boolean firstSoaSent;
            private boolean lastSoaSent;
            private Zone.OwnedRrSet set;
            private int dataIndex;
            private Rr pending;

            private Rr advance() {
                while (pending == null
                        && ((set != null && dataIndex < set.set().data().size())
                                || sets.hasNext())) {
                    if (set == null || dataIndex >= set.set().data().size()) {
                        set = sets.next();
                        dataIndex = 0;
                    }
                    byte[] data = set.set().data().get(dataIndex++);
                    if (set.type() != Rr.SOA || !set.name().equals(zone.origin)) {
                        pending = new Rr(set.name(), set.type(), Rr.IN, set.set().ttl(), data);
                    }
                }
                return pending;
            }

            @Override
            public boolean hasNext() {
                return !lastSoaSent;
            }

            @Override
            public Rr next() {
                if (!firstSoaSent) {
                    firstSoaSent = true;
                    return zone.soa();
                }
                Rr record = advance();
                pending = null;
                lastSoaSent = record == null;
                return lastSoaSent ? zone.soa() : record;
            }
        };
    }

    /** Returns whether there is another message. */
    public boolean hasNext() {
        return nextRecord != null;
    }

    /** Returns the next message; {@code now} is Unix time in seconds, for its signature. */
    public byte[] next(long now) {
        MessageWriter writer = MessageWriter.answer(request, Rcode.NOERROR, MAX_MESSAGE_BYTES);
        writer.setFlag(Message.AA);
        writer.reserve(key == null ? 0 : key.signatureBytes());
        while (nextRecord != null
                && writer.size() < TARGET_MESSAGE_BYTES
                && writer.add(1, nextRecord)) {
            nextRecord = records.hasNext() ? records.next() : null;
        }
        byte[] bytes = writer.toBytes();
        if (key != null) {
            Tsig.Signed signed = Tsig.sign(bytes, key, now, mac, !firstMessage);
            bytes = signed.bytes();
            mac = signed.mac();
        }
        firstMessage = false;
        return bytes;
    }
}
