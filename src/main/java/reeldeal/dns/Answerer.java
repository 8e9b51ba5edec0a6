package reeldeal.dns;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import reeldeal.dns.Zone.OwnedRrSet;

/**
 * Computes the answer of an authoritative server to a question (RFC 1034, section 4.3.2; wildcards
 * by RFC 4592, negative answers by RFC 2308). The cost grows with the number of labels in the name
 * and with the logarithm of the zone size.
 */
public final class Answerer {
    private static final int MAX_CNAME_CHAIN = 8;

    /** The response code, the AA flag and the three sections of an answer, as record sets. */
    public record Answer(
            int rcode,
            boolean authoritative,
            List<OwnedRrSet> answers,
            List<OwnedRrSet> authority,
            List<OwnedRrSet> additional) {}

    private final Function<String, Zone> zones;
    private final List<OwnedRrSet> answers = new ArrayList<>();
    private final List<OwnedRrSet> authority = new ArrayList<>();
    private final List<OwnedRrSet> additional = new ArrayList<>();
    private final Set<String> visitedNames = new HashSet<>();
    private boolean authoritative = true;

    private Answerer(Function<String, Zone> zones) {
        this.zones = zones;
    }

    /**
     * Answers a question. {@code zones} returns the closest hosted zone at or above a name, or null
     * if there is none.
     */
    public static Answer answer(String name, int type, Function<String, Zone> zones) {
        Answerer answerer = new Answerer(zones);
        int rcode = answerer.resolve(name, type);
        return new Answer(
                rcode,
                answerer.authoritative,
                answerer.answers,
                answerer.authority,
                answerer.additional);
    }

    private int resolve(String queryName, int type) {
        String name = queryName;
        for (int i = 0; i < MAX_CNAME_CHAIN && visitedNames.add(name); i++) {
            Zone zone = zones.apply(name);
            if (zone == null || zone.soa() == null) {
                // After the first name, the CNAME chain has left the hosted zones.
                return i == 0 ? Rcode.REFUSED : Rcode.NOERROR;
            }
            OwnedRrSet delegation = findDelegation(zone, name);
            if (delegation != null) {
                authoritative &= i > 0;
                authority.add(delegation);
                addAddresses(zone, delegation.set(), 0, true);
                return Rcode.NOERROR;
            }
            String owner = zone.exists(name) ? name : findWildcard(zone, name);
            if (owner == null) {
                addNegativeSoa(zone);
                return Rcode.NXDOMAIN;
            }
            RrSet alias = zone.get(owner, Rr.CNAME);
            if (alias != null && type != Rr.CNAME && type != Rr.ANY) {
                answers.add(new OwnedRrSet(name, Rr.CNAME, alias));
                name = Names.text(alias.data().get(0), 0);
                continue;
            }
            addMatches(zone, owner, name, type);
            return Rcode.NOERROR;
        }
        // A CNAME loop or an overlong chain: the answer holds the part followed so far.
        return Rcode.NOERROR;
    }

    private void addMatches(Zone zone, String owner, String name, int type) {
        int sizeBefore = answers.size();
        for (int matchType : type == Rr.ANY ? zone.types(owner) : new int[] {type}) {
            RrSet set = zone.get(owner, matchType);
            if (set != null) {
                answers.add(new OwnedRrSet(name, matchType, set));
                if (matchType == Rr.SRV || matchType == Rr.MX || matchType == Rr.NS) {
                    addAddresses(
                            zone, set, matchType == Rr.SRV ? 6 : matchType == Rr.MX ? 2 : 0, false);
                }
            }
        }
        if (answers.size() == sizeBefore) {
            addNegativeSoa(zone);
        }
    }

    /** Returns the topmost delegation at or above a name and below the zone's origin, or null. */
    private static OwnedRrSet findDelegation(Zone zone, String name) {
        OwnedRrSet topmost = null;
        for (String ancestor = name;
                !ancestor.equals(zone.origin);
                ancestor = Names.parent(ancestor)) {
            RrSet nameServers = zone.get(ancestor, Rr.NS);
            topmost = nameServers == null ? topmost : new OwnedRrSet(ancestor, Rr.NS, nameServers);
        }
        return topmost;
    }

    /**
     * Returns the wildcard name that covers a nonexistent name, or null (RFC 4592, section 3.3.1).
     */
    private static String findWildcard(Zone zone, String name) {
        String encloser = Names.parent(name);
        while (!zone.exists(encloser)) {
            encloser = Names.parent(encloser);
        }
        String wildcardName = encloser.equals(".") ? "*." : "*." + encloser;
        return zone.types(wildcardName).length > 0 ? wildcardName : null;
    }

    /**
     * Adds the SOA record of a negative answer (no such name or no such data); its TTL limits how
     * long resolvers cache the answer (RFC 2308, section 3).
     */
    private void addNegativeSoa(Zone zone) {
        Rr soa = zone.soa();
        long ttl = Math.min(soa.ttl(), Zone.soaField(soa.data(), 4));
        authority.add(new OwnedRrSet(zone.origin, Rr.SOA, new RrSet(ttl, List.of(soa.data()))));
    }

    /**
     * Adds the addresses that this zone holds for the host names in a record set. Addresses below a
     * delegation are added only as glue.
     */
    private void addAddresses(Zone zone, RrSet set, int offset, boolean includeGlue) {
        Set<String> hosts = new HashSet<>();
        for (byte[] data : set.data()) {
            String host = Names.text(data, offset);
            if (!hosts.add(host)
                    || !Names.within(host, zone.origin)
                    || (!includeGlue && findDelegation(zone, host) != null)) {
                continue;
            }
            for (int type : new int[] {Rr.A, Rr.AAAA}) {
                RrSet addresses = zone.get(host, type);
                if (addresses != null) {
                    additional.add(new OwnedRrSet(host, type, addresses));
                }
            }
        }
    }
}
