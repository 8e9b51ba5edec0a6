package reeldeal.zones;

import java.util.List;
import java.util.Set;
import reeldeal.dns.Names;
import reeldeal.dns.Rr;

/**
 * Permits the holder of a key to change records by name and type.
 *
 * @param key the name of the key
 * @param names the names covered; with the prefix {@code *.}, all names below the name but not the
 *     name itself
 * @param types the record types covered; if empty, all types, except that SOA, NS and ANY at the
 *     zone's apex are not covered
 */
public record UpdateGrant(String key, List<String> names, Set<Integer> types) {

    private boolean covers(String name) {
        return names.stream()
                .anyMatch(
                        pattern ->
                                pattern.startsWith("*.")
                                        ? Names.within(name, pattern.substring(2))
                                                && !name.equals(pattern.substring(2))
                                        : pattern.equals(name));
    }

    /**
     * Returns whether this grant permits a change.
     *
     * @param signer the key that signed the update
     * @param origin the origin of the zone
     */
    boolean allows(String signer, Rr change, String origin) {
        boolean needsExplicitType =
                change.name().equals(origin)
                        && (change.type() == Rr.SOA
                                || change.type() == Rr.NS
                                || change.type() == Rr.ANY);
        return key.equals(signer)
                && covers(change.name())
                && (types.isEmpty() ? !needsExplicitType : types.contains(change.type()));
    }
}
