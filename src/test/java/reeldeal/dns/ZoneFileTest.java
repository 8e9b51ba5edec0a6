package reeldeal.dns;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.HexFormat;
import java.util.Map;
import org.junit.Test;

/** Zone files, good and bad. */
public class ZoneFileTest {
    private static final String HEAD = "$TTL 300\n@ SOA ns.example. ops 1 2 3 4 5\n";

    private static Zone parse(String text) throws ZoneFile.Malformed {
        return ZoneFile.parse(HEAD + text, "z.test.");
    }

    @Test
    public void recordsAreReadAsTheyStandOnTheWire() throws Exception {
        Zone zone = parse("$ORIGIN Sub.z.test.\nh 1h30m IN A 10.0.0.255\n\tAAAA 2001:db8::1\n"
                + "  TXT \"a;b\" c\\100 ( \"two words\" ) ; comment\nalias CNAME h\nmx MX 5 mail.z.test.\n");
        Map<String, String> wire = Map.of("h.sub.z.test./1", "5400 0a0000ff",
                "h.sub.z.test./28", "300 20010db8000000000000000000000001",
                "h.sub.z.test./16", "300 03613b62026364" + "0974776f20776f726473",
                "alias.sub.z.test./5", "300 " + HexFormat.of().formatHex(Names.wire("h.sub.z.test.")),
                "mx.sub.z.test./15", "300 0005" + HexFormat.of().formatHex(Names.wire("mail.z.test.")));
        wire.forEach((key, value) -> assertEquals(value, zone.toValues().get("dns/z.test./" + key)));
        assertEquals(zone.toValues(), Zone.fromValues("z.test.", zone.toValues()).toValues());
    }

    @Test
    public void whatIsMalformedIsNamedWithItsLine() {
        Map<String, String> bad = Map.of("h A 1.2.3\n", "malformed address", "h A 1.2.3.256\n", "malformed number",
                "h WKS 1\n", "not supported", "h TXT \"open\n", "without its end", "h TXT ( a\n", "parenthesis",
                "x.other. A 1.2.3.4\n", "out of zone", "h CNAME a\nh A 1.2.3.4\n", "CNAME beside",
                "$INCLUDE f\n", "not supported", "l" + "o".repeat(63) + "ng A 1.2.3.4\n", "malformed name",
                "h AAAA 1::2::3\n", "malformed address");
        bad.forEach((text, why) -> {
            String said = assertThrows(text, ZoneFile.Malformed.class, () -> parse(text)).getMessage();
            assertTrue(said, said.contains(why) && said.startsWith("zone file, line "));
        });
    }

    @Test
    public void serialNumbersGoRound() throws Exception {
        Zone zone = parse("");
        byte[] before = zone.get("z.test.", Rr.SOA).data().get(0);
        zone.countUp();
        assertEquals(2, zone.serial());
        assertTrue(Zone.later(0, 0xffffffffL));
        assertArrayEquals(before, parse("").get("z.test.", Rr.SOA).data().get(0));
    }
}
