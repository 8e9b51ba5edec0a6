package reeldeal.zones;

import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.dns.Message;
import reeldeal.dns.MessageWriter;
import reeldeal.dns.Rcode;
import reeldeal.dns.Rr;
import reeldeal.dns.Secondary;
import reeldeal.dns.TransferIn;
import reeldeal.dns.Tsig;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneSuccession;
import reeldeal.dns.ZoneSuccession.Verdict;

/**
 * Keeps a secondary zone up to date from its primaries: carries out the steps that {@link
 * Secondary} schedules, each over a TCP connection of its own.
 */
final class SecondaryZoneClient implements PeerLink.Listener {
    /** How long a step waits for the next message from the primary. */
    private static final long RESPONSE_TIMEOUT_MS = 5_000;

    /** The shortest interval at which confirmations of an unchanged zone are stored. */
    private static final long STATE_INTERVAL_MS = 60_000;

    /** The size of the five numbers at the end of an SOA record's data. */
    private static final int SOA_NUMBERS_BYTES = 20;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final HostedZone zone;
    private final PeerLink.Connector connector;
    private final ScheduledExecutorService loop;
    private final LongSupplier now;
    private final Map<String, Tsig.Key> keys;
    private final BooleanSupplier acceptsWrites;
    private final Consumer<String> log;
    private final Secondary secondary;
    private Secondary.Step step = Secondary.Step.NOTHING;
    private PeerLink link;
    private TransferIn transfer;
    private int requestId;
    private byte[] requestMac;
    private long lastMessageAt;
    private long stateStoredAt;
    private ScheduledFuture<?> nextTick;
    private String lastLoggedProblem = "";
    private boolean stopped;

    SecondaryZoneClient(
            HostedZone zone,
            PeerLink.Connector connector,
            ScheduledExecutorService loop,
            LongSupplier now,
            Map<String, Tsig.Key> keys,
            BooleanSupplier acceptsWrites,
            Consumer<String> log) {
        this.zone = zone;
        this.connector = connector;
        this.loop = loop;
        this.now = now;
        this.keys = keys;
        this.acceptsWrites = acceptsWrites;
        this.log = log;
        this.secondary = new Secondary(zone.entry.primaries().size(), now.getAsLong());
    }

    HostedZone zone() {
        return zone;
    }

    void start() {
        if (zone.zone().soa() != null) {
            secondary.restored(zone.zone(), zone.confirmedAt());
        }
        tick();
    }

    /** Closes the connection and cancels the next step. */
    void stop() {
        stopped = true;
        if (link != null) {
            link.close();
            link = null;
        }
        if (nextTick != null) {
            nextTick.cancel(false);
        }
    }

    void onNotify(long serial) {
        if (secondary.notified(now.getAsLong(), serial)) {
            tick();
        }
    }

    private ZonesConfig.Peer primary() {
        return zone.entry.primaries().get(secondary.primary());
    }

    /** Returns the key of the current primary, or null if it has none. */
    private Tsig.Key key() {
        return primary().key() == null ? null : keys.get(primary().key());
    }

    private void tick() {
        if (stopped || !acceptsWrites.getAsBoolean()) {
            return; // the node that accepts writes follows the primaries
        }
        Secondary.Step due = secondary.tick(now.getAsLong());
        if (due == Secondary.Step.EXPIRE) {
            log.accept(
                    "dns: "
                            + zone.entry.origin()
                            + ": expired: not confirmed by a primary since "
                            + java.time.Instant.ofEpochMilli(secondary.confirmedAt()));
            zone.storeState(secondary.confirmedAt(), true);
            due = secondary.tick(now.getAsLong());
        }
        if (due != Secondary.Step.NOTHING) {
            step = due;
            lastMessageAt = now.getAsLong();
            link = connector.connect(primary().address(), this);
            loop.schedule(this::checkResponseTimeout, RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        scheduleTick();
    }

    private void scheduleTick() {
        if (stopped) {
            return;
        }
        if (nextTick != null) {
            nextTick.cancel(false);
        }
        long delayMs = Math.max(1, Math.min(3_600_000, secondary.nextAt() - now.getAsLong()));
        nextTick = loop.schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
    }

    private void checkResponseTimeout() {
        if (link == null) {
            return;
        }
        long remainingMs = lastMessageAt + RESPONSE_TIMEOUT_MS - now.getAsLong();
        if (remainingMs > 0) {
            loop.schedule(this::checkResponseTimeout, remainingMs, TimeUnit.MILLISECONDS);
        } else {
            link.close();
            ended("no response for " + RESPONSE_TIMEOUT_MS + " ms");
        }
    }

    @Override
    public void connected(PeerLink opened) {
        sendRequest();
    }

    private void sendRequest() {
        requestId = RANDOM.nextInt(65_536);
        int type =
                step == Secondary.Step.QUERY_SOA
                        ? Rr.SOA
                        : step == Secondary.Step.REQUEST_IXFR ? Rr.IXFR : Rr.AXFR;
        MessageWriter writer =
                new MessageWriter(requestId, 0, 512).question(zone.entry.origin(), type, Rr.IN);
        if (type == Rr.IXFR) {
            writer.add(2, zone.zone().soa());
        }
        byte[] bytes = writer.toBytes();
        Tsig.Key key = key();
        if (key != null) {
            Tsig.Signed signed = Tsig.sign(bytes, key, now.getAsLong() / 1_000, null, false);
            bytes = signed.bytes();
            requestMac = signed.mac();
        }
        transfer =
                new TransferIn(
                        requestId,
                        zone.zone().isEmpty() ? Zone.empty(zone.entry.origin()) : zone.zone(),
                        type == Rr.IXFR,
                        key,
                        requestMac,
                        now.getAsLong() / 1_000,
                        zone.entry.maxRecords());
        link.send(bytes);
    }

    @Override
    public void message(PeerLink from, byte[] message) {
        lastMessageAt = now.getAsLong();
        if (step == Secondary.Step.QUERY_SOA) {
            handleSoaResponse(message);
            return;
        }
        switch (transfer.accept(message)) {
            case MORE -> {}
            case UP_TO_DATE -> {
                closeLink();
                secondary.confirmed(now.getAsLong());
                onConfirmed();
            }
            case FULL_TRANSFER -> installWholeZone(from, transfer.zone());
            case INCREMENTAL_TRANSFER -> {
                closeLink();
                zone.applyTransferredChanges(
                        transfer.zone(),
                        transfer.diffs(),
                        committed ->
                                onTransferStored(committed, transfer.diffs().size() + " changes"));
            }
            case FAILED -> {
                from.close();
                ended(transfer.failureReason());
            }
            default -> throw new IllegalStateException();
        }
    }

    private void installWholeZone(PeerLink from, Zone transferred) {
        switch (secondary.judge(transferred.serial())) {
            case NEWER -> {
                closeLink();
                // The connection is closed, but the step ends only once the zone is committed.
                zone.replace(
                        ZoneSuccession.Arrival.TRANSFER,
                        transferred,
                        committed -> onTransferStored(committed, "whole"));
            }
            case SAME -> {
                closeLink();
                secondary.confirmed(now.getAsLong());
                onConfirmed();
            }
            case OLDER -> {
                from.close();
                ended(notLater(transferred.serial()));
            }
            default -> throw new IllegalStateException();
        }
    }

    private String notLater(long serial) {
        return "serial " + serial + " is not later than " + zone.zone().serial();
    }

    private void handleSoaResponse(byte[] bytes) {
        Message message;
        try {
            message = Message.parse(bytes);
        } catch (Message.Malformed e) {
            link.close();
            ended("malformed response: " + e.getMessage());
            return;
        }
        Rr soa = soaIn(message);
        String problem = problemOf(message, soa);
        if (problem != null) {
            link.close();
            ended(problem);
            return;
        }
        onPrimarySerial(Zone.soaField(soa.data(), 0));
    }

    /** Returns the zone's SOA record in a response, or null. */
    private Rr soaIn(Message message) {
        return message.answers().stream()
                .filter(record -> record.type() == Rr.SOA)
                .filter(record -> record.name().equals(zone.entry.origin()))
                .filter(record -> record.data().length > SOA_NUMBERS_BYTES)
                .findFirst()
                .orElse(null);
    }

    /** Returns why a response with this SOA record cannot be used, or null if it can. */
    private String problemOf(Message message, Rr soa) {
        if (!isSignedAsExpected(message)) {
            return "the response has no valid signature";
        }
        if (message.rcode() != Rcode.NOERROR) {
            return Rcode.name(message.rcode());
        }
        boolean matches = message.id == requestId && message.response && soa != null;
        return matches ? null : "no matching response with an SOA record";
    }

    private boolean isSignedAsExpected(Message message) {
        Tsig.Key key = key();
        if (key == null) {
            return true;
        }
        if (!Tsig.isSigned(message)) {
            return false;
        }
        Tsig.CheckResult signature =
                Tsig.check(
                        message,
                        Map.of(key.name(), key),
                        now.getAsLong() / 1_000,
                        requestMac,
                        new byte[0],
                        false);
        return signature != null && signature.isValid();
    }

    private void onPrimarySerial(long serial) {
        Verdict verdict = secondary.judge(serial);
        if (verdict == Verdict.OLDER) {
            logIfNew(notLater(serial));
        }
        Secondary.Step next = secondary.soaReceived(now.getAsLong(), serial);
        if (next != Secondary.Step.NOTHING) {
            step = next;
            sendRequest();
            return;
        }
        closeLink();
        if (verdict == Verdict.SAME) {
            onConfirmed();
        }
        scheduleTick();
    }

    private void closeLink() {
        link.close();
        link = null;
    }

    private void onTransferStored(boolean committed, String extent) {
        if (committed) {
            secondary.installed(now.getAsLong(), zone.zone());
            log.accept(
                    "dns: "
                            + zone.entry.origin()
                            + ": serial "
                            + zone.zone().serial()
                            + " from "
                            + primary().address()
                            + ", "
                            + extent
                            + ", "
                            + zone.zone().size()
                            + " records");
            lastLoggedProblem = "";
            zone.storeState(now.getAsLong(), false);
            stateStoredAt = now.getAsLong();
        } else {
            secondary.failed(now.getAsLong());
        }
        scheduleTick();
    }

    /**
     * Records that a primary confirmed the zone's serial. The time is stored if the zone had
     * expired, otherwise at most once per {@link #STATE_INTERVAL_MS} and not at every refresh.
     */
    private void onConfirmed() {
        lastLoggedProblem = "";
        if (zone.expired() || now.getAsLong() - stateStoredAt >= STATE_INTERVAL_MS) {
            stateStoredAt = now.getAsLong();
            zone.storeState(now.getAsLong(), false);
        }
        scheduleTick();
    }

    @Override
    public void ended(String reason) {
        link = null;
        logIfNew(reason);
        if (step == Secondary.Step.REQUEST_IXFR) {
            secondary.incrementalTransferFailed(now.getAsLong());
        } else {
            secondary.failed(now.getAsLong());
        }
        scheduleTick();
    }

    /** Logs a problem unless it is the same as the last one: each retry would repeat it. */
    private void logIfNew(String problem) {
        String line =
                "dns: " + zone.entry.origin() + ": primary " + primary().address() + ": " + problem;
        if (!line.equals(lastLoggedProblem)) {
            lastLoggedProblem = line;
            log.accept(line);
        }
    }
}
