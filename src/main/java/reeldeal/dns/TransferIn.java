package reeldeal.dns;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reeldeal.dns.Journal.Diff;

/**
 * Receives a zone transfer from a primary, message by message: a full transfer (RFC 5936) or an
 * incremental one (RFC 1995). It yields a complete new zone or nothing: a transfer that ends early,
 * has inconsistent serial numbers or a bad signature leaves the current zone unchanged.
 */
public final class TransferIn {
    /**
     * The number of unsigned messages allowed between two signed ones (RFC 8945, section 5.3.1).
     */
    private static final int MAX_UNSIGNED = 99;

    /**
     * The state of a transfer: more messages are expected, the zone is up to date, a full transfer
     * or an incremental one is complete, or the transfer failed.
     */
    public enum State {
        MORE,
        UP_TO_DATE,
        FULL_TRANSFER,
        INCREMENTAL_TRANSFER,
        FAILED
    }

    private enum Expect {
        FIRST,
        SECOND,
        WHOLE,
        REMOVED,
        ADDED,
        NOTHING
    }

    private final int id;
    private final Zone currentZone;
    private final boolean incremental;
    private final Tsig.Key key;
    private final long now;
    private final int maxRecords;
    private byte[] mac;
    private byte[] unsignedBytes = new byte[0];
    private int unsignedCount;
    private Expect expected = Expect.FIRST;
    private Zone zone;
    private Rr targetSoa;
    private Rr oldSoa;
    private Rr newSoa;
    private List<Rr> removed = new ArrayList<>();
    private List<Rr> added = new ArrayList<>();
    private final List<Diff> diffs = new ArrayList<>();
    private String failureReason;
    private boolean firstMessage = true;
    private int recordCount;

    /**
     * Starts a transfer that replaces or updates {@code currentZone}, which may be empty. {@code
     * incremental} says whether the request was an IXFR; {@code mac} is the MAC of the request and
     * {@code now} is Unix time in seconds.
     */
    public TransferIn(
            int id,
            Zone currentZone,
            boolean incremental,
            Tsig.Key key,
            byte[] mac,
            long now,
            int maxRecords) {
        this.id = id;
        this.currentZone = currentZone;
        this.incremental = incremental;
        this.key = key;
        this.mac = mac;
        this.now = now;
        this.maxRecords = maxRecords;
    }

    /** Processes the next message of the stream. */
    public State accept(byte[] bytes) {
        Message message;
        try {
            message = Message.parse(bytes);
        } catch (Message.Malformed e) {
            return fail("not a message: " + e.getMessage());
        }
        if (message.id != id || !message.response || message.opcode != Message.QUERY) {
            return fail("not a response to the transfer request");
        }
        if (!message.questions.isEmpty()
                && !message.questions.get(0).name().equals(currentZone.origin)) {
            return fail(
                    "expected a response about the requested zone, found "
                            + message.questions.get(0).name());
        }
        if (key != null && !verifySignature(message)) {
            return State.FAILED;
        }
        if (message.rcode() != Rcode.NOERROR) {
            return fail(Rcode.name(message.rcode()));
        }
        for (Rr rr : message.answers()) {
            if (++recordCount > maxRecords) {
                return fail("more than " + maxRecords + " records");
            }
            if (!acceptRecord(rr)) {
                return State.FAILED;
            }
        }
        return finishMessage(message);
    }

    private State finishMessage(Message message) {
        firstMessage = false;
        if (expected == Expect.NOTHING) {
            if (unsignedCount > 0) {
                return fail("the last message of a signed transfer is unsigned");
            }
            return diffs.isEmpty() ? State.FULL_TRANSFER : State.INCREMENTAL_TRANSFER;
        }
        if (expected == Expect.SECOND && message.answers().size() == 1) {
            // A single SOA: the zone is up to date, or (over UDP only) a full transfer is needed.
            return acceptSingleSoa(Zone.serial(targetSoa.data()));
        }
        return message.answers().isEmpty()
                ? fail("a message without records before the transfer was complete")
                : State.MORE;
    }

    private State acceptSingleSoa(long serial) {
        long current = currentZone.serial();
        return switch (ZoneSuccession.judge(ZoneSuccession.Arrival.TRANSFER, current, serial)) {
            case NEWER -> State.MORE;
            case SAME -> State.UP_TO_DATE;
            case OLDER -> fail("serial " + serial + " is not later than " + current);
        };
    }

    private boolean verifySignature(Message message) {
        if (!Tsig.isSigned(message)) {
            if (firstMessage || ++unsignedCount > MAX_UNSIGNED) {
                return reject("an unsigned message in a signed transfer");
            }
            byte[] extended =
                    java.util.Arrays.copyOf(
                            unsignedBytes, unsignedBytes.length + message.bytes().length);
            System.arraycopy(
                    message.bytes(), 0, extended, unsignedBytes.length, message.bytes().length);
            unsignedBytes = extended;
            return true;
        }
        Tsig.CheckResult checked =
                Tsig.check(
                        message, Map.of(key.name(), key), now, mac, unsignedBytes, !firstMessage);
        if (checked == null || !checked.isValid()) {
            return reject(
                    "a bad signature: "
                            + (checked == null ? "malformed" : Rcode.name(checked.error())));
        }
        mac = checked.mac();
        unsignedBytes = new byte[0];
        unsignedCount = 0;
        return true;
    }

    private boolean acceptRecord(Rr rr) {
        if (rr.recordClass() != Rr.IN
                || Rr.isMeta(rr.type())
                || !Names.within(rr.name(), currentZone.origin)
                || (rr.data().length == 0 && Types.fields(rr.type()) != null)) {
            return reject(
                    "a record that is not valid in zone " + currentZone.origin + ": " + rr.name());
        }
        boolean isSoa = rr.type() == Rr.SOA && rr.name().equals(currentZone.origin);
        if (rr.type() == Rr.SOA && !isSoa) {
            return reject("a SOA record below the origin, at " + rr.name());
        }
        switch (expected) {
            case FIRST -> {
                return acceptFirst(rr, isSoa);
            }
            case SECOND -> {
                return acceptSecond(rr, isSoa);
            }
            case WHOLE -> {
                return acceptZoneRecord(rr, isSoa);
            }
            case REMOVED -> {
                return acceptRemoved(rr, isSoa);
            }
            case ADDED -> {
                return acceptAdded(rr, isSoa);
            }
            default -> {
                return reject("records after the final SOA");
            }
        }
    }

    private boolean acceptFirst(Rr rr, boolean isSoa) {
        targetSoa = rr;
        expected = Expect.SECOND;
        return isSoa || reject("the transfer does not begin with a SOA record");
    }

    /**
     * Processes the second record: if it is a SOA with another serial, the transfer is incremental,
     * otherwise full (RFC 1995, section 4).
     */
    private boolean acceptSecond(Rr rr, boolean isSoa) {
        boolean isIncremental =
                isSoa
                        && incremental
                        && !currentZone.isEmpty()
                        && Zone.serial(rr.data()) != Zone.serial(targetSoa.data());
        if (isIncremental) {
            zone = currentZone;
            return beginDiff(rr);
        }
        RrSet soaSet = new RrSet(targetSoa.ttl(), List.of(targetSoa.data()));
        zone = Zone.empty(currentZone.origin).with(targetSoa.name(), Rr.SOA, soaSet);
        expected = Expect.WHOLE;
        return acceptZoneRecord(rr, isSoa);
    }

    private boolean acceptRemoved(Rr rr, boolean isSoa) {
        if (isSoa) {
            newSoa = rr;
            expected = Expect.ADDED;
            long from = Zone.serial(oldSoa.data());
            long to = Zone.serial(rr.data());
            return ZoneSuccession.isNewer(ZoneSuccession.Arrival.UPDATE, from, to)
                    || reject(
                            "a change from serial "
                                    + from
                                    + " to "
                                    + to
                                    + " does not increase the serial");
        }
        RrSet set = zone.get(rr.name(), rr.type());
        if (set == null || !set.contains(rr.data())) {
            return reject(
                    "the transfer removes a record that does not exist: "
                            + rr.name()
                            + " "
                            + Types.name(rr.type()));
        }
        zone = zone.minus(rr.name(), rr.type(), rr.data());
        removed.add(new Rr(rr.name(), rr.type(), Rr.IN, set.ttl(), rr.data()));
        return true;
    }

    private boolean acceptAdded(Rr rr, boolean isSoa) {
        if (!isSoa) {
            zone = zone.plus(rr);
            added.add(rr);
            return true;
        }
        endDiff();
        if (Zone.serial(newSoa.data()) == Zone.serial(targetSoa.data())) {
            expected = Expect.NOTHING;
            return Zone.serial(rr.data()) == Zone.serial(targetSoa.data())
                    || reject("the final SOA has a different serial than the first");
        }
        return beginDiff(rr);
    }

    private boolean acceptZoneRecord(Rr rr, boolean isSoa) {
        if (isSoa) {
            expected = Expect.NOTHING;
            return Zone.serial(rr.data()) == Zone.serial(targetSoa.data())
                    || reject("the final SOA has a different serial than the first");
        }
        zone = zone.plus(rr);
        return zone.get(rr.name(), rr.type()).messageBytes() <= RrSet.MAX_BYTES
                || reject(
                        "the record set is too large for a message: "
                                + rr.name()
                                + " "
                                + Types.name(rr.type()));
    }

    /**
     * Starts the next change, which must begin at the serial that the previous one reached (RFC
     * 1995, section 4).
     */
    private boolean beginDiff(Rr startSoa) {
        if (Zone.serial(startSoa.data()) != zone.serial()) {
            return reject(
                    "a change from serial "
                            + Zone.serial(startSoa.data())
                            + " where "
                            + zone.serial()
                            + " was reached");
        }
        oldSoa = startSoa;
        removed = new ArrayList<>();
        added = new ArrayList<>();
        expected = Expect.REMOVED;
        return true;
    }

    private void endDiff() {
        zone = zone.with(newSoa.name(), Rr.SOA, new RrSet(newSoa.ttl(), List.of(newSoa.data())));
        diffs.add(new Diff(oldSoa, newSoa, List.copyOf(removed), List.copyOf(added)));
    }

    private boolean reject(String reason) {
        failureReason = reason;
        return false;
    }

    private State fail(String reason) {
        failureReason = reason;
        return State.FAILED;
    }

    /** Returns the new zone once the transfer is complete. */
    public Zone zone() {
        return zone;
    }

    /** Returns the changes that led to the new zone, empty after a full transfer. */
    public List<Diff> diffs() {
        return diffs;
    }

    /** Returns why the transfer failed, or null. */
    public String failureReason() {
        return failureReason;
    }
}
