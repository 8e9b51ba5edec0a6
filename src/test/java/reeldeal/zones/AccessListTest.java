package reeldeal.zones;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.util.List;
import java.util.Set;
import org.junit.Test;
import reeldeal.dns.Rr;

/** Tests which senders access lists and update grants permit. */
public class AccessListTest {
    private static boolean allows(AccessList acl, String address, String key) throws Exception {
        return acl.allows(InetAddress.getByName(address), key);
    }

    @Test
    public void theNarrowestMatchingNetworkDecides() throws Exception {
        AccessList acl =
                AccessList.parse(
                        List.of(
                                "10.0.0.0/8",
                                "!10.1.0.0/16",
                                "10.1.2.3",
                                "2001:db8::/32",
                                "key:k.test"));
        assertTrue(
                allows(acl, "10.9.9.9", null)
                        && allows(acl, "10.1.2.3", null)
                        && allows(acl, "2001:db8::5", null));
        assertTrue(
                !allows(acl, "10.1.2.4", null)
                        && !allows(acl, "11.0.0.1", null)
                        && !allows(acl, "::1", null));
        assertTrue(allows(acl, "11.0.0.1", "k.test.") && !allows(acl, "11.0.0.1", "other."));
        assertTrue(
                allows(AccessList.parse(List.of("loopback")), "127.9.9.9", null)
                        && allows(AccessList.parse(List.of("loopback")), "::1", null));
        assertTrue(allows(AccessList.parse(List.of("any", "!192.0.2.0/24")), "8.8.8.8", null));
        assertTrue(!allows(AccessList.parse(List.of("any", "!192.0.2.0/24")), "192.0.2.7", null));
        assertTrue(!allows(AccessList.NOBODY, "127.0.0.1", null));
    }

    @Test
    public void invalidEntriesAreNamedInTheError() {
        for (String invalid :
                List.of(
                        "10.0.0.1/8",
                        "10.0.0.0/33",
                        "300.1.1.1",
                        "host.test",
                        "!key:k",
                        "",
                        "key:a..b",
                        "10.*")) {
            String message =
                    assertThrows(
                                    invalid,
                                    IllegalArgumentException.class,
                                    () -> AccessList.parse(List.of(invalid)))
                            .getMessage();
            assertTrue(
                    message,
                    message.startsWith("expected ") && message.endsWith("found " + invalid));
        }
    }

    @Test
    public void aGrantCoversItsNamesAndTypes() {
        UpdateGrant below = new UpdateGrant("k.", List.of("*.z.test."), Set.of());
        UpdateGrant text = new UpdateGrant("k.", List.of("s1.z.test.", "z.test."), Set.of(Rr.TXT));
        assertTrue(below.allows("k.", rr("a.b.z.test.", Rr.A), "z.test."));
        assertTrue(
                !below.allows("k.", rr("z.test.", Rr.A), "z.test.")
                        && !below.allows("j.", rr("a.z.test.", Rr.A), "z.test."));
        assertTrue(
                text.allows("k.", rr("s1.z.test.", Rr.TXT), "z.test.")
                        && !text.allows("k.", rr("s1.z.test.", Rr.A), "z.test."));
        UpdateGrant apex = new UpdateGrant("k.", List.of("z.test."), Set.of());
        assertEquals(
                List.of(true, false, false, false),
                List.of(Rr.MX, Rr.SOA, Rr.NS, Rr.ANY).stream()
                        .map(type -> apex.allows("k.", rr("z.test.", type), "z.test."))
                        .toList());
    }

    private static Rr rr(String name, int type) {
        return new Rr(name, type, Rr.IN, 1, new byte[0]);
    }
}
