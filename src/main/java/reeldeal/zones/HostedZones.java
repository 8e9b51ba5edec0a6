package reeldeal.zones;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import reeldeal.dns.Names;

/** Holds the zones that this node serves, by origin. */
final class HostedZones {
    private final Map<String, HostedZone> zones = new LinkedHashMap<>();

    /** Adds a zone; called only before the service starts. */
    void add(HostedZone zone) {
        zones.put(zone.entry.origin(), zone);
    }

    /** Returns all zones in the order in which they were added. */
    Collection<HostedZone> all() {
        return zones.values();
    }

    /** Returns the zone with this origin, or null. */
    HostedZone get(String origin) {
        return zones.get(origin);
    }

    /** Returns the closest zone at or above a name, or null if there is none. */
    HostedZone closest(String name) {
        for (String ancestor = name; ; ancestor = Names.parent(ancestor)) {
            HostedZone zone = zones.get(ancestor);
            if (zone != null || ancestor.equals(".")) {
                return zone;
            }
        }
    }
}
