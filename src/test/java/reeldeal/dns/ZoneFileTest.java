package reeldeal.dns;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.Test;
import reeldeal.dns.ZoneSuccession.Verdict;

/** Tests parsing and writing zone files, and the errors for invalid ones. */
public class ZoneFileTest {
    private static final String HEAD =
            "$TTL 300\n@ SOA ns.example. ops 1 2 3 4 5\n@ NS ns.example.\n";
    private static final Map<String, String> FILES =
            Map.of(
                    "sub",
                    "inner A 10.0.0.7\n$ORIGIN deep\nx A 10.0.0.8\n",
                    "loop",
                    "$INCLUDE loop\n",
                    "bad",
                    "\nh A 1.2.3\n");

    private static Zone parse(String text) throws ZoneFile.Malformed {
        return ZoneFile.parse(
                "z",
                HEAD + text,
                "z.test.",
                name -> {
                    if (!FILES.containsKey(name)) {
                        throw new IOException(name + " is not in the zone file's folder");
                    }
                    return FILES.get(name);
                });
    }

    private static String hex(Zone zone, String name, int type) {
        RrSet set = zone.get(name, type);
        StringBuilder text = new StringBuilder().append(set.ttl());
        set.data().forEach(d -> text.append(' ').append(HexFormat.of().formatHex(d)));
        return text.toString();
    }

    @Test
    public void parsesRecordsIntoTheirWireForm() throws Exception {
        Zone zone =
                parse(
                        """
                        $ORIGIN Sub.z.test.
                        h 1h30m IN A 10.0.0.255
                        \tAAAA 2001:db8::1
                          TXT "a;b" c\\100 ( "two words" ) ; comment
                        alias CNAME h
                        mx MX 5 mail.z.test.
                        u TYPE65280 \\# 3 ab cd ef
                        g TYPE1 \\# 4 0a000001
                        w WKS 10.0.0.1 tcp 25 80
                        """);
        assertEquals("5400 0a0000ff", hex(zone, "h.sub.z.test.", Rr.A));
        assertEquals("300 20010db8000000000000000000000001", hex(zone, "h.sub.z.test.", Rr.AAAA));
        assertEquals("300 03613b620263640974776f20776f726473", hex(zone, "h.sub.z.test.", Rr.TXT));
        assertEquals(
                "300 " + HexFormat.of().formatHex(Names.wire("h.sub.z.test.")),
                hex(zone, "alias.sub.z.test.", Rr.CNAME));
        assertEquals(
                "300 0005" + HexFormat.of().formatHex(Names.wire("mail.z.test.")),
                hex(zone, "mx.sub.z.test.", Rr.MX));
        assertEquals("300 abcdef", hex(zone, "u.sub.z.test.", 65_280));
        assertEquals("300 0a000001", hex(zone, "g.sub.z.test.", Rr.A));
        assertEquals("300 0a000001060000004000000000000080", hex(zone, "w.sub.z.test.", 11));
    }

    @Test
    public void expandsIncludeAndGenerate() throws Exception {
        Zone zone =
                parse(
                        """
                        $INCLUDE sub in.z.test.
                        after A 10.0.0.9
                        $GENERATE 8-12/2 s${0,3,d} A 10.1.0.$
                        $GENERATE 1-2 r$ PTR h${9,0,x}
                        """);
        assertEquals("300 0a000007", hex(zone, "inner.in.z.test.", Rr.A));
        assertEquals("300 0a000008", hex(zone, "x.deep.in.z.test.", Rr.A));
        assertEquals(
                "the origin is restored after an include",
                "300 0a000009",
                hex(zone, "after.z.test.", Rr.A));
        assertEquals("300 0a010008", hex(zone, "s008.z.test.", Rr.A));
        assertEquals("300 0a01000c", hex(zone, "s012.z.test.", Rr.A));
        assertEquals(
                "300 " + HexFormat.of().formatHex(Names.wire("hb.z.test.")),
                hex(zone, "r2.z.test.", Rr.PTR));
        assertEquals(10, zone.size());
    }

    @Test
    public void reportsErrorsWithTheirPosition() {
        Map<String, String> expectedErrors = new LinkedHashMap<>();
        expectedErrors.put("h A 1.2.3\n", "z:4:5: expected an IPv4 address, found 1.2.3");
        expectedErrors.put("h A 1.2.3.256\n", "z:4:5: expected an IPv4 address");
        expectedErrors.put("h NOSUCH 1\n", "z:4:3: expected a record type, found NOSUCH");
        expectedErrors.put("h TXT \"open\n", "z:4:7: expected a closing quotation mark");
        expectedErrors.put("h TXT ( a\n", "z:4:1: expected a closing parenthesis");
        expectedErrors.put("x.other. A 1.2.3.4\n", "z:4:1: expected a name within z.test.");
        expectedErrors.put(
                "h CNAME a\nh A 1.2.3.4\n", "z:5:3: expected no other data beside a CNAME");
        expectedErrors.put(
                "$INCLUDE ../f\n",
                "z:4:10: expected a file that can be included: ../f is not in the zone");
        expectedErrors.put(
                "$INCLUDE loop\n", "loop:1:10: expected no include cycle and at most 8 nested");
        expectedErrors.put("$INCLUDE bad\n", "bad:2:5: expected an IPv4 address");
        expectedErrors.put(
                "l" + "o".repeat(63) + "ng A 1.2.3.4\n", "z:4:1: expected a domain name");
        expectedErrors.put("h AAAA 1::2::3\n", "z:4:8: expected an IPv6 address");
        expectedErrors.put("h MX 5\n", "z:4:1: expected a domain name (field 2 of MX)");
        expectedErrors.put("h MX 5 a b\n", "z:4:10: expected the end of the MX record");
        expectedErrors.put("h A \\# 3 010203\n", "z:4:8: expected data that is valid for type A");
        expectedErrors.put("h TYPE700 x\n", "z:4:11: expected \\#");
        expectedErrors.put(
                "$GENERATE 5-1 a$ A 1.2.3.$\n", "z:4:11: expected an ascending range of at most");
        expectedErrors.put("h 99999999999 A 1.2.3.4\n", "z:4:3: expected a time");
        expectedErrors.put("h CH A 1.2.3.4\n", "z:4:3: expected class IN");
        expectedErrors.put("@ SOA a b 1 2 3 4 5\n", "z:4:3: expected one SOA record");
        expectedErrors.forEach(
                (text, expected) -> {
                    String message =
                            assertThrows(text, ZoneFile.Malformed.class, () -> parse(text))
                                    .getMessage();
                    assertTrue(message + ", expected " + expected, message.startsWith(expected));
                });
    }

    @Test
    public void writtenZoneParsesToTheSameZone() throws Exception {
        Zone zone =
                parse(
                        """
                        h A 10.0.0.1
                         AAAA ::1
                         TXT "a \\"b\\\\" \\200
                        w\\.x\\032y MX 1 \\@.test.
                        u TYPE65280 \\# 2 abcd
                        v TYPE65281 \\# 0
                        * SRV 1 2 3 h
                        c CAA 0 issue "ca.test"
                        w WKS 10.0.0.1 17 53
                        i HINFO a "b c"
                        ds TYPE43 \\# 4 00000000
                        k DNSKEY 256 3 13 AQIDBA==
                        """);
        StringBuilder text = new StringBuilder();
        ZoneFile.write(zone, text);
        Zone reparsed = ZoneFile.parse("again", text.toString(), "z.test.", null);
        StringBuilder rewritten = new StringBuilder();
        ZoneFile.write(reparsed, rewritten);
        assertEquals(text.toString(), rewritten.toString());
        assertEquals(zone.size(), reparsed.size());
        zone.sets()
                .forEachRemaining(
                        p ->
                                assertTrue(
                                        p.toString(),
                                        p.set().sameRecords(reparsed.get(p.name(), p.type()))));
    }

    private static Verdict judgeUpdate(long currentSerial, long serial) {
        return ZoneSuccession.judge(ZoneSuccession.Arrival.UPDATE, currentSerial, serial);
    }

    @Test
    public void serialNumbersWrapAround() throws Exception {
        Zone zone = parse("");
        assertEquals(2, zone.incrementSerial().serial());
        assertEquals(1, zone.withSerial(0xffffffffL).incrementSerial().serial());
        assertEquals("a zone is immutable", 1, zone.serial());
        assertEquals(Verdict.NEWER, judgeUpdate(0xffffffffL, 0));
        assertEquals(Verdict.OLDER, judgeUpdate(0, 0xffffffffL));
        assertEquals(Verdict.SAME, judgeUpdate(5, 5));
        assertArrayEquals(zone.soa().data(), parse("").soa().data());
    }
}
