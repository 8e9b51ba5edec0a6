package reeldeal.dns;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;

/**
 * Feeds random bytes and text to the parsers: each must terminate with a result or a described
 * error.
 */
public class MessageFuzzTest {
    /** Seeds on which a parser once failed; they run in addition to the others. */
    private static final List<Long> REGRESSION_SEEDS = List.of();

    private static final int SEED_COUNT = 400;

    private static byte[] sample() {
        MessageWriter writer =
                new MessageWriter(1, 0, 65_535).question("www.example.test.", Rr.A, Rr.IN);
        writer.add(1, new Rr("www.example.test.", Rr.A, Rr.IN, 60, new byte[4]));
        writer.add(
                1,
                new Rr(
                        "example.test.",
                        Rr.MX,
                        Rr.IN,
                        60,
                        Message.canonicalData(
                                Rr.MX,
                                concat(new byte[] {0, 1}, Names.wire("mail.example.test.")))));
        writer.add(2, new Rr("example.test.", Rr.TXT, Rr.IN, 60, new byte[] {1, 'x'}));
        writer.edns(1_232, 0, false);
        return writer.toBytes();
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    /**
     * Parses the bytes and, if they are a message, checks its signature and builds a response. Only
     * Malformed may be thrown. Returns whether the bytes were a message.
     */
    private static boolean read(byte[] bytes) {
        try {
            Message message = Message.parse(bytes);
            Responder responder = new Responder(message, 512, 0);
            if (Tsig.isSigned(message)) {
                responder.check(Map.of("k.", new Tsig.Key("k.", "hmac-sha256.", new byte[16])));
            }
            assertNotNull(responder.code(Rcode.REFUSED));
            return true;
        } catch (Message.Malformed e) {
            assertNotNull(e.getMessage());
            return false;
        }
    }

    private static void readMutated(long seed) {
        java.util.Random random = new java.util.Random(seed);
        byte[] bytes = seed % 3 == 0 ? new byte[random.nextInt(65_536)] : sample();
        int changes = seed % 3 == 0 ? bytes.length : 1 + random.nextInt(6);
        for (int i = 0; i < changes && bytes.length > 0; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        read(seed % 5 == 0 ? Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)) : bytes);
    }

    @Test
    public void randomBytesAreReadOrRejectedAsMalformed() {
        REGRESSION_SEEDS.forEach(MessageFuzzTest::readMutated);
        for (long seed = 0; seed < SEED_COUNT; seed++) {
            readMutated(seed);
        }
        assertTrue(read(sample()));
    }

    @Test
    public void rejectsForwardPointersAndCountsBeyondTheBytes() {
        byte[] loop = sample();
        loop[12] = (byte) 0xc0;
        loop[13] = 12;
        assertTrue(!read(loop));
        byte[] counts = sample();
        counts[6] = (byte) 0xff;
        counts[7] = (byte) 0xff;
        assertTrue(!read(counts));
        // A chain of pointers, each to the one before it, followed by bytes beyond the message.
        byte[] chain = new byte[12 + 1 + 2 * 3_000 + 4];
        chain[5] = 1;
        for (int i = 0; i < 3_000; i++) {
            int target = i == 0 ? 12 : 13 + 2 * (i - 1);
            chain[13 + 2 * i] = (byte) (0xc0 | target >> 8);
            chain[14 + 2 * i] = (byte) target;
        }
        assertTrue("a root name followed by unexpected bytes", !read(chain));
        byte[] selfReference = {
            0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1, 'a', (byte) 0xc0, 12, 0, 1, 0, 1
        };
        assertTrue("a pointer into the name itself", !read(selfReference));
    }

    @Property(tries = 300, seed = "11")
    void anyBytesAreReadOrRejectedAsMalformed(@ForAll @Size(max = 600) byte[] bytes) {
        read(bytes);
    }

    @Property(tries = 300, seed = "12")
    void recordDataSurvivesARoundTripThroughText(
            @ForAll @Size(max = 200) byte[] data, @ForAll @IntRange(min = 1, max = 65_279) int type)
            throws Exception {
        int usedType = Rr.isMeta(type) || type == Rr.SOA ? 65_400 : type;
        String text = Rdata.format(usedType, data);
        byte[] canonical =
                Types.fields(usedType) == null ? data : Message.canonicalData(usedType, data);
        if (canonical == null) {
            assertTrue(
                    "data that is not valid for its type has the form of RFC 3597",
                    text.startsWith("\\# " + data.length));
            return;
        }
        Zone zone =
                ZoneFile.parse(
                        "p",
                        "@ 1 SOA a b 1 2 3 4 5\n@ 1 NS a\nx 1 "
                                + Types.name(usedType)
                                + " "
                                + text
                                + "\n",
                        "z.",
                        null);
        assertTrue(text, zone.get("x.z.", usedType).contains(canonical));
    }

    @Test
    public void anyTextParsesAsAZoneOrReportsTheErrorPosition() {
        String alphabet = " \t\n\r;()\"\\$@.0123456789aAxIN*-SOATXTMX#{},";
        int faults = 0;
        for (long seed = 0; seed < SEED_COUNT; seed++) {
            java.util.Random random = new java.util.Random(seed);
            StringBuilder text =
                    new StringBuilder(
                            """
                            $TTL 5
                            @ SOA a b 1 2 3 4 5
                            @ NS a
                            x A 10.0.0.1
                            y TXT "a b" c
                            $GENERATE 1-3 g$ A 10.0.0.$
                            """);
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int offset = random.nextInt(text.length());
                text.replace(
                        offset,
                        Math.min(text.length(), offset + random.nextInt(3)),
                        String.valueOf(alphabet.charAt(random.nextInt(alphabet.length()))));
            }
            try {
                assertNotNull(
                        ZoneFile.parse(
                                        "f",
                                        text.toString(),
                                        "z.",
                                        name -> {
                                            throw new java.io.IOException("none");
                                        })
                                .soa());
            } catch (ZoneFile.Malformed e) {
                faults++;
                assertTrue(
                        e.getMessage(), e.getMessage().matches("(?s)f:[0-9]+:[0-9]+: expected .*"));
            }
        }
        assertTrue(
                "both valid and invalid texts occur: " + faults,
                faults > 20 && faults < SEED_COUNT - 20);
    }
}
