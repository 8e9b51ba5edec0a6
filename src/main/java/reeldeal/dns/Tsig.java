package reeldeal.dns;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs messages and checks their signatures with a shared key (RFC 8945). The caller supplies the
 * Unix time in seconds.
 */
public final class Tsig {
    /** The allowed clock difference in seconds (RFC 8945, section 10, recommends 300). */
    public static final int FUDGE_S = 300;

    private static final int MIN_MAC = 10;
    private static final Map<String, String> ALGORITHMS =
            Map.of("hmac-sha256.", "HmacSHA256", "hmac-sha512.", "HmacSHA512");

    /**
     * A shared key: its name and its algorithm, both absolute and in lower case, and its secret.
     */
    public record Key(String name, String algorithm, byte[] secret) {
        /** Creates a key; throws IllegalArgumentException if the algorithm is not supported. */
        public Key {
            if (!ALGORITHMS.containsKey(algorithm)) {
                throw new IllegalArgumentException(
                        "expected hmac-sha256 or hmac-sha512, found " + algorithm);
            }
        }

        Mac mac() {
            try {
                Mac mac = Mac.getInstance(ALGORITHMS.get(algorithm));
                mac.init(new SecretKeySpec(secret, mac.getAlgorithm()));
                return mac;
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e); // every JDK supports both algorithms
            }
        }

        /** Returns the number of bytes that a signature with this key adds to a message. */
        int signatureBytes() {
            return Names.wire(name).length
                    + 10
                    + Names.wire(algorithm).length
                    + 16
                    + mac().getMacLength()
                    + 6;
        }
    }

    /**
     * The result of a check: {@code error} is 0 or a TSIG error code; the key is null if it is
     * unknown.
     */
    public record CheckResult(int error, Key key, byte[] mac, long time) {
        /** Returns whether the message has a valid signature by a known key. */
        public boolean isValid() {
            return error == 0 && key != null;
        }
    }

    private record Fields(
            String algorithm,
            long time,
            int fudge,
            byte[] mac,
            int originalId,
            int error,
            byte[] otherData) {}

    private Tsig() {}

    private static Fields fields(byte[] data) {
        try {
            int offset = 0;
            while (data[offset] > 0) {
                offset += 1 + data[offset];
            }
            String algorithm = Names.text(data, 0);
            ByteBuffer buffer = ByteBuffer.wrap(data, offset + 1, data.length - offset - 1);
            long time = (long) (buffer.getShort() & 0xffff) << 32 | (buffer.getInt() & 0xffffffffL);
            int fudge = buffer.getShort() & 0xffff;
            byte[] mac = new byte[buffer.getShort() & 0xffff];
            buffer.get(mac);
            int id = buffer.getShort() & 0xffff;
            int error = buffer.getShort() & 0xffff;
            byte[] otherData = new byte[buffer.getShort() & 0xffff];
            buffer.get(otherData);
            return buffer.hasRemaining()
                    ? null
                    : new Fields(algorithm, time, fudge, mac, id, error, otherData);
        } catch (RuntimeException e) {
            return null; // the data is truncated
        }
    }

    /**
     * Checks a signed message. {@code priorMac} is the MAC of the request or of the previous signed
     * message if this is a response, or null; {@code unsignedBytes} holds the unsigned messages
     * received since then; {@code continuation} says whether this is a further message of a stream
     * (section 5.3.1). Returns null if the TSIG record itself is malformed, which calls for
     * FORMERR.
     */
    public static CheckResult check(
            Message message,
            Map<String, Key> keys,
            long now,
            byte[] priorMac,
            byte[] unsignedBytes,
            boolean continuation) {
        Rr record = message.tsig();
        Fields fields = fields(record.data());
        if (fields == null) {
            return null;
        }
        Key key = keys.get(record.name());
        if (key == null || !key.algorithm().equals(fields.algorithm())) {
            return new CheckResult(Rcode.BADKEY, null, fields.mac(), fields.time());
        }
        Mac mac = key.mac();
        int macLength = mac.getMacLength();
        // RFC 8945, section 5.2.2.1: a MAC shorter than this or longer than the hash is malformed.
        if (fields.mac().length > macLength
                || fields.mac().length < Math.max(MIN_MAC, macLength / 2)) {
            return null;
        }
        digestPrior(mac, priorMac);
        mac.update(unsignedBytes);
        byte[] bytes = Arrays.copyOf(message.bytes(), message.tsigOffset());
        bytes[0] = (byte) (fields.originalId() >> 8);
        bytes[1] = (byte) fields.originalId();
        int additional = ((bytes[10] & 0xff) << 8 | (bytes[11] & 0xff)) - 1;
        bytes[10] = (byte) (additional >> 8);
        bytes[11] = (byte) additional;
        mac.update(bytes);
        mac.update(
                continuation
                        ? timers(fields.time(), fields.fudge())
                        : variables(
                                key,
                                fields.time(),
                                fields.fudge(),
                                fields.error(),
                                fields.otherData()));
        byte[] expected = mac.doFinal();
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, fields.mac().length), fields.mac())) {
            return new CheckResult(Rcode.BADSIG, key, fields.mac(), fields.time());
        }
        // Section 5.2.3: the time is checked only after the MAC.
        if (Math.abs(now - fields.time()) > fields.fudge()) {
            return new CheckResult(Rcode.BADTIME, key, fields.mac(), fields.time());
        }
        // Section 5.2.4: by the policy of this server, truncated MACs are rejected.
        if (fields.mac().length < macLength) {
            return new CheckResult(Rcode.BADTRUNC, key, fields.mac(), fields.time());
        }
        return new CheckResult(fields.error(), key, fields.mac(), fields.time());
    }

    /** Returns whether a message has a TSIG record. */
    public static boolean isSigned(Message message) {
        return message.tsig() != null;
    }

    /**
     * A signed message and its MAC, which the signature of the next message of the stream covers.
     */
    public record Signed(byte[] bytes, byte[] mac) {}

    /** Signs a message; {@code priorMac} and {@code continuation} are as in {@link #check}. */
    public static Signed sign(
            byte[] message, Key key, long now, byte[] priorMac, boolean continuation) {
        return sign(message, key, now, priorMac, continuation, 0, new byte[0]);
    }

    private static Signed sign(
            byte[] message,
            Key key,
            long time,
            byte[] priorMac,
            boolean continuation,
            int error,
            byte[] otherData) {
        Mac mac = key.mac();
        digestPrior(mac, priorMac);
        mac.update(message);
        mac.update(
                continuation
                        ? timers(time, FUDGE_S)
                        : variables(key, time, FUDGE_S, error, otherData));
        byte[] computedMac = mac.doFinal();
        return new Signed(
                appendRecord(
                        message, key.name(), key.algorithm(), time, computedMac, error, otherData),
                computedMac);
    }

    /**
     * Completes the error response to a request whose check failed (section 5.3.2). Its TSIG record
     * has an empty MAC if the key is unknown or the MAC of the request is bad.
     */
    static byte[] refuse(byte[] answer, Message request, CheckResult failed, long now) {
        if (failed.error() == Rcode.BADKEY || failed.error() == Rcode.BADSIG) {
            Fields fields = fields(request.tsig().data());
            return appendRecord(
                    answer,
                    request.tsig().name(),
                    fields.algorithm(),
                    fields.time(),
                    new byte[0],
                    failed.error(),
                    new byte[0]);
        }
        // A BADTIME response carries the server's time and is signed with the time of the request
        // (section 5.2.3).
        byte[] otherData =
                failed.error() != Rcode.BADTIME
                        ? new byte[0]
                        : ByteBuffer.allocate(6)
                                .putShort((short) (now >> 32))
                                .putInt((int) now)
                                .array();
        return sign(
                        answer,
                        failed.key(),
                        failed.error() == Rcode.BADTIME ? failed.time() : now,
                        failed.mac(),
                        false,
                        failed.error(),
                        otherData)
                .bytes();
    }

    private static void digestPrior(Mac mac, byte[] priorMac) {
        if (priorMac != null) {
            mac.update((byte) (priorMac.length >> 8));
            mac.update((byte) priorMac.length);
            mac.update(priorMac);
        }
    }

    private static byte[] timers(long time, int fudge) {
        return ByteBuffer.allocate(8)
                .putShort((short) (time >> 32))
                .putInt((int) time)
                .putShort((short) fudge)
                .array();
    }

    private static byte[] variables(Key key, long time, int fudge, int error, byte[] otherData) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Names.wire(key.name()));
        out.writeBytes(new byte[] {0, (byte) Rr.ANY, 0, 0, 0, 0});
        out.writeBytes(Names.wire(key.algorithm()));
        out.writeBytes(timers(time, fudge));
        out.writeBytes(
                ByteBuffer.allocate(4)
                        .putShort((short) error)
                        .putShort((short) otherData.length)
                        .array());
        out.writeBytes(otherData);
        return out.toByteArray();
    }

    private static byte[] appendRecord(
            byte[] message,
            String keyName,
            String algorithm,
            long time,
            byte[] mac,
            int error,
            byte[] otherData) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(message.length + 160);
        out.writeBytes(message);
        out.writeBytes(Names.wire(keyName));
        byte[] algorithmWire = Names.wire(algorithm);
        int length = algorithmWire.length + 16 + mac.length + otherData.length;
        out.writeBytes(
                ByteBuffer.allocate(10)
                        .putShort((short) Rr.TSIG)
                        .putShort((short) Rr.ANY)
                        .putInt(0)
                        .putShort((short) length)
                        .array());
        out.writeBytes(algorithmWire);
        out.writeBytes(timers(time, FUDGE_S));
        out.writeBytes(ByteBuffer.allocate(2).putShort((short) mac.length).array());
        out.writeBytes(mac);
        out.write(message, 0, 2);
        out.writeBytes(
                ByteBuffer.allocate(4)
                        .putShort((short) error)
                        .putShort((short) otherData.length)
                        .array());
        out.writeBytes(otherData);
        byte[] signed = out.toByteArray();
        int additional = ((signed[10] & 0xff) << 8 | (signed[11] & 0xff)) + 1;
        signed[10] = (byte) (additional >> 8);
        signed[11] = (byte) additional;
        return signed;
    }
}
