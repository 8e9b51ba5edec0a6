package reeldeal.zones;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import reeldeal.dns.Message;
import reeldeal.dns.Rcode;
import reeldeal.dns.Responder;
import reeldeal.dns.Rr;
import reeldeal.dns.TransferOut;
import reeldeal.dns.Tsig;
import reeldeal.dns.Types;
import reeldeal.dns.Zone;
import reeldeal.store.StoreNode;

/**
 * Answers DNS messages: queries, transfers, updates and notifications, each under its zone's access
 * list. Runs on the state loop.
 */
final class MessageHandler {
    private static final int MAX_UDP_RESPONSE_BYTES = 1_232;
    private static final int MAX_TCP_RESPONSE_BYTES = 65_535;
    private static final int MAX_TRANSFERS = 16;

    /** Receives the accepted notifications from primaries. */
    interface NotificationListener {
        /**
         * Called when a primary reports a change of a zone.
         *
         * @param serial the serial in the notification, or -1 if it has none
         */
        void onNotify(HostedZone zone, long serial);
    }

    private final ZonesConfig config;
    private final HostedZones zones;
    private final StoreNode store;
    private final EndpointViewRecords endpoints;
    private final NotificationListener notifications;
    private final LongSupplier now;
    private final RateLimitedLog refusalLog;
    private UpdateForwarder forwarder;
    private int openTransfers;

    /**
     * Creates a handler, which cannot forward updates until {@link #setUpdateForwarder} is called.
     *
     * @param now Unix time in ms
     */
    MessageHandler(
            ZonesConfig config,
            HostedZones zones,
            StoreNode store,
            EndpointViewRecords endpoints,
            NotificationListener notifications,
            LongSupplier now,
            RateLimitedLog refusalLog) {
        this.config = config;
        this.zones = zones;
        this.store = store;
        this.endpoints = endpoints;
        this.notifications = notifications;
        this.now = now;
        this.refusalLog = refusalLog;
    }

    /** Sets the forwarder for updates that arrive while another node is the leader. */
    void setUpdateForwarder(UpdateForwarder updateForwarder) {
        forwarder = updateForwarder;
    }

    /** Handles a message from this address; the response, if any, goes to the reply channel. */
    void handle(byte[] bytes, InetSocketAddress from, boolean tcp, ReplyChannel reply) {
        if (bytes.length < Message.HEADER_BYTES || (bytes[2] & 0x80) != 0) {
            // No complete header to reply to, or a response. A reply to a response could start an
            // endless exchange.
            return;
        }
        Message message;
        try {
            message = Message.parse(bytes);
        } catch (Message.Malformed e) {
            reply.send(Responder.malformed(bytes));
            return;
        }
        Responder responder =
                new Responder(
                        message,
                        tcp ? MAX_TCP_RESPONSE_BYTES : MAX_UDP_RESPONSE_BYTES,
                        now.getAsLong() / 1_000);
        if (Tsig.isSigned(message)) {
            byte[] refusal = responder.check(config.keys());
            if (refusal != null) {
                refusalLog.log(
                        "dns: "
                                + from.getAddress().getHostAddress()
                                + ": "
                                + responder.signatureError());
                reply.send(refusal);
                return;
            }
        }
        if (message.edns() != null && message.edns().version() > 0) {
            reply.send(responder.code(Rcode.BADVERS)); // RFC 6891, section 6.1.3
            return;
        }
        if (store.isFrozen() && !isEndpointViewQuery(message)) {
            // The zones may have changed since, and an update could not be shown here.
            reply.send(responder.code(Rcode.SERVFAIL));
            return;
        }
        switch (message.opcode) {
            case Message.QUERY -> query(message, responder, from.getAddress(), tcp, reply);
            case Message.UPDATE -> update(message, responder, from, reply, bytes);
            case Message.NOTIFY -> onNotification(message, responder, from.getAddress(), reply);
            default -> reply.send(responder.code(Rcode.NOTIMP));
        }
    }

    private static boolean isEndpointViewQuery(Message message) {
        return message.opcode == Message.QUERY
                && message.questions.size() == 1
                && message.questions.get(0).recordClass() == Rr.CH;
    }

    private void query(
            Message message,
            Responder responder,
            InetAddress from,
            boolean tcp,
            ReplyChannel reply) {
        if (message.questions.size() != 1) {
            reply.send(responder.code(Rcode.FORMERR));
            return;
        }
        Message.Question question = message.questions.get(0);
        HostedZone zone = zones.closest(question.name());
        if (question.recordClass() == Rr.CH) {
            reply.send(
                    from.isLoopbackAddress()
                            ? endpoints.answer(question, responder)
                            : responder.code(Rcode.REFUSED));
        } else if (question.recordClass() == Rr.IN
                && (question.type() == Rr.AXFR || question.type() == Rr.IXFR)) {
            transfer(message, question, responder, from, tcp, reply);
        } else if (zone == null
                || (question.recordClass() != Rr.IN && question.recordClass() != Rr.ANY)) {
            reply.send(responder.code(Rcode.REFUSED));
        } else if (!zone.entry.queryAccess().allows(from, responder.signer())) {
            reply.send(responder.code(Rcode.REFUSED));
        } else if (!zone.serves()) {
            reply.send(responder.code(Rcode.SERVFAIL));
        } else {
            reply.send(
                    responder.answer(
                            question,
                            name -> {
                                HostedZone targetZone = zones.closest(name);
                                return targetZone == null
                                                || !targetZone.serves()
                                                || !targetZone
                                                        .entry
                                                        .queryAccess()
                                                        .allows(from, responder.signer())
                                        ? null
                                        : targetZone.zone();
                            }));
        }
    }

    private void transfer(
            Message message,
            Message.Question question,
            Responder responder,
            InetAddress from,
            boolean tcp,
            ReplyChannel reply) {
        HostedZone zone = zones.get(question.name());
        if (zone == null) {
            reply.send(responder.code(Rcode.NOTAUTH)); // RFC 5936, section 2.2.1
        } else if (!zone.entry.transferAccess().allows(from, responder.signer())) {
            refusalLog.log(
                    "dns: "
                            + zone.entry.origin()
                            + ": transfer to "
                            + from.getHostAddress()
                            + " refused: neither its address nor its key is in allow_transfer");
            reply.send(responder.code(Rcode.REFUSED));
        } else if (!zone.serves()) {
            reply.send(responder.code(Rcode.SERVFAIL));
        } else if (!tcp) {
            // RFC 1995, section 2: a single SOA record tells the client to retry over TCP. RFC
            // 5936, section 4.2: AXFR over UDP is not defined.
            reply.send(
                    question.type() == Rr.AXFR
                            ? responder.code(Rcode.FORMERR)
                            : responder.answer(
                                    new Message.Question(question.name(), Rr.SOA, Rr.IN),
                                    name -> zone.zone()));
        } else if (openTransfers >= MAX_TRANSFERS) {
            reply.send(responder.code(Rcode.REFUSED));
        } else {
            openTransfers++;
            reply.stream(
                    question.type() == Rr.AXFR
                            ? TransferOut.full(
                                    message, zone.zone(), responder.key(), responder.mac())
                            : TransferOut.incremental(
                                    message,
                                    zone.zone(),
                                    zone.journal,
                                    responder.key(),
                                    responder.mac()),
                    () -> openTransfers--);
        }
    }

    private void update(
            Message message,
            Responder responder,
            InetSocketAddress sender,
            ReplyChannel reply,
            byte[] bytes) {
        InetAddress from = sender.getAddress();
        if (message.questions.size() != 1 || message.questions.get(0).type() != Rr.SOA) {
            reply.send(responder.code(Rcode.FORMERR));
            return;
        }
        HostedZone zone = zones.get(message.questions.get(0).name());
        if (zone == null || message.questions.get(0).recordClass() != Rr.IN) {
            reply.send(responder.code(Rcode.NOTAUTH));
            return;
        }
        String refusal =
                zone.entry.secondary()
                        ? "the zone is a secondary copy"
                        : refusalReason(zone, message, responder.signer(), from);
        if (refusal == null && !store.acceptsWrites()) {
            if (forwarder.forward(
                    bytes,
                    sender,
                    response ->
                            reply.send(
                                    response != null
                                            ? response
                                            : responder.code(Rcode.SERVFAIL)))) {
                return;
            }
            refusal = "this node is not the leader and could not forward it to the leader";
        }
        if (refusal != null) {
            refusalLog.log(
                    "dns: "
                            + zone.entry.origin()
                            + ": update from "
                            + from.getHostAddress()
                            + (responder.signer() == null ? "" : " signed by " + responder.signer())
                            + " refused: "
                            + refusal);
            reply.send(responder.code(Rcode.REFUSED));
            return;
        }
        zone.update(message, rcode -> reply.send(responder.code(rcode)));
    }

    /** Returns why the sender may not make this update, or null if it may. */
    private static String refusalReason(
            HostedZone zone, Message message, String signer, InetAddress from) {
        if (!zone.entry.updateAccess().allows(from, signer)) {
            return "neither its address nor its key is in allow_update";
        }
        if (signer != null && !zone.entry.grants().isEmpty()) {
            for (Rr change : message.sections.get(1)) {
                if (zone.entry.grants().stream()
                        .noneMatch(grant -> grant.allows(signer, change, zone.entry.origin()))) {
                    return "no grant of the key covers "
                            + change.name()
                            + " "
                            + Types.name(change.type());
                }
            }
        }
        return null;
    }

    private void onNotification(
            Message message, Responder responder, InetAddress from, ReplyChannel reply) {
        HostedZone zone =
                message.questions.size() != 1 ? null : zones.get(message.questions.get(0).name());
        if (zone == null || !zone.entry.secondary()) {
            reply.send(
                    responder.code(message.questions.size() != 1 ? Rcode.FORMERR : Rcode.NOTAUTH));
            return;
        }
        // RFC 1996, section 3.10: only notifications from a primary are accepted. A primary with a
        // key is recognized by its signature, any other by its address.
        boolean fromPrimary =
                zone.entry.primaries().stream()
                        .anyMatch(
                                primary ->
                                        primary.key() != null
                                                ? primary.key().equals(responder.signer())
                                                : primary.address().getAddress().equals(from));
        if (!fromPrimary) {
            refusalLog.log(
                    "dns: "
                            + zone.entry.origin()
                            + ": notification from "
                            + from.getHostAddress()
                            + " refused: the sender is not a primary of the zone");
            reply.send(responder.code(Rcode.REFUSED));
            return;
        }
        long serial =
                message.answers().stream()
                        .filter(record -> record.type() == Rr.SOA && record.data().length > 20)
                        .mapToLong(r -> Zone.soaField(r.data(), 0))
                        .findFirst()
                        .orElse(-1);
        notifications.onNotify(zone, serial);
        reply.send(responder.code(Rcode.NOERROR));
    }
}
