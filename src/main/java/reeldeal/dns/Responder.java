package reeldeal.dns;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import reeldeal.dns.Zone.OwnedRrSet;

/**
 * Builds the responses to one request. A response repeats the id and question of the request, stays
 * within its size limit and is signed if the request was signed.
 */
public final class Responder {
    /**
     * The size limit of UDP messages that this server advertises, in bytes (RFC 9715 advises at
     * most about 1,400). A transport with a higher limit is TCP.
     */
    private static final int MAX_UDP_BYTES = 1_232;

    private static final int UDP_BYTES_WITHOUT_EDNS = 512;
    private static final int EDNS_BYTES = 11;

    private final Message request;
    private final int limit;
    private final long nowS;
    private Tsig.CheckResult signature;
    private String signatureError = "";

    /**
     * Creates a responder for a request; {@code limit} is the size limit of the transport in bytes,
     * {@code nowS} Unix time in seconds.
     */
    public Responder(Message request, int limit, long nowS) {
        this.request = request;
        this.nowS = nowS;
        // RFC 6891, section 6.2.3: the size that the client accepts, 512 bytes without EDNS.
        this.limit =
                limit > MAX_UDP_BYTES
                        ? limit
                        : request.edns() == null
                                ? UDP_BYTES_WITHOUT_EDNS
                                : Math.max(
                                        UDP_BYTES_WITHOUT_EDNS,
                                        Math.min(limit, request.edns().udpSize()));
    }

    /** Returns a FORMERR response to bytes that have a header but are not a valid message. */
    public static byte[] malformed(byte[] bytes) {
        byte[] answer = new byte[Message.HEADER_BYTES];
        System.arraycopy(bytes, 0, answer, 0, 2);
        answer[2] = (byte) ((bytes[2] & 0x79) | 0x80);
        answer[3] = Rcode.FORMERR;
        return answer;
    }

    /**
     * Checks the signature of the request. Returns null if it is valid, otherwise the error
     * response to send.
     */
    public byte[] check(Map<String, Tsig.Key> keys) {
        signature = Tsig.check(request, keys, nowS, null, new byte[0], false);
        if (signature == null) {
            signatureError = "malformed TSIG";
            return newAnswer(Rcode.FORMERR).toBytes();
        }
        if (signature.isValid()) {
            return null;
        }
        Tsig.CheckResult failed = signature;
        signature = null;
        signatureError = Rcode.name(failed.error()) + ", key " + request.tsig().name();
        return Tsig.refuse(newAnswer(Rcode.NOTAUTH).toBytes(), request, failed, nowS);
    }

    /** Returns why {@link #check} rejected the signature, empty if it did not. */
    public String signatureError() {
        return signatureError;
    }

    /** Returns the key that signed the request, or null if no valid signature was checked. */
    public Tsig.Key key() {
        return signature == null ? null : signature.key();
    }

    /** Returns the name of the key that signed the request, or null. */
    public String signer() {
        return signature == null ? null : signature.key().name();
    }

    /** Returns the MAC of the request, or null. */
    public byte[] mac() {
        return signature == null ? null : signature.mac();
    }

    private MessageWriter newAnswer(int rcode) {
        MessageWriter writer = MessageWriter.answer(request, rcode, limit);
        writer.reserve(
                (request.edns() == null ? 0 : EDNS_BYTES)
                        + (signature == null ? 0 : key().signatureBytes()));
        return writer;
    }

    private byte[] finish(MessageWriter writer, int rcode) {
        if (request.edns() != null) {
            writer.edns(MAX_UDP_BYTES, rcode, request.edns().dnssecOk());
        }
        byte[] bytes = writer.toBytes();
        return signature == null ? bytes : Tsig.sign(bytes, key(), nowS, mac(), false).bytes();
    }

    /** Returns a response with a response code and no records. */
    public byte[] code(int rcode) {
        return finish(newAnswer(rcode), rcode);
    }

    /**
     * Returns an authoritative response with these answer records, truncated if they do not fit.
     */
    public byte[] records(List<Rr> records) {
        MessageWriter writer = newAnswer(Rcode.NOERROR);
        writer.setFlag(Message.AA);
        for (Rr r : records) {
            if (!writer.add(1, r)) {
                writer.setFlag(Message.TC);
                break;
            }
        }
        return finish(writer, Rcode.NOERROR);
    }

    /**
     * Answers a question from the zones; sets the TC bit if required records do not fit (RFC 2181,
     * section 9).
     */
    public byte[] answer(Message.Question question, Function<String, Zone> zones) {
        Answerer.Answer answer = Answerer.answer(question.name(), question.type(), zones);
        MessageWriter writer = newAnswer(answer.rcode());
        if (answer.authoritative() && answer.rcode() != Rcode.REFUSED) {
            writer.setFlag(Message.AA);
        }
        boolean complete = true;
        for (int section = 1; section <= 3; section++) {
            List<OwnedRrSet> sets =
                    section == 1
                            ? answer.answers()
                            : section == 2 ? answer.authority() : answer.additional();
            for (OwnedRrSet p : sets) {
                complete = complete && writer.add(section, p.name(), p.type(), Rr.IN, p.set());
                // Additional records that do not fit are omitted without the TC bit, except for
                // glue.
                if (!complete && (section < 3 || !answer.authoritative())) {
                    writer.setFlag(Message.TC);
                }
            }
        }
        return finish(writer, answer.rcode());
    }
}
