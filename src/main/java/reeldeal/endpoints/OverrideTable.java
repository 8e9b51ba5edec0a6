package reeldeal.endpoints;

import java.util.Map;
import java.util.Set;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;

/**
 * The administrative overrides by name, and the names that the fleet has agreed to drain.
 * Immutable.
 */
record OverrideTable(Map<String, AdministrativeOverride> byName, Set<String> drainedByFleet) {
    static final OverrideTable EMPTY = new OverrideTable(Map.of(), Set.of());

    OverrideTable {
        byName = Map.copyOf(byName);
        drainedByFleet = Set.copyOf(drainedByFleet);
    }

    /**
     * Returns the override of a name, or null. The operator may have written the name without its
     * last dot.
     */
    AdministrativeOverride of(String name) {
        AdministrativeOverride override = byName.get(name);
        if (override != null || !name.endsWith(".")) {
            return override;
        }
        return byName.get(name.substring(0, name.length() - 1));
    }

    boolean isDrainedByFleet(String name) {
        return drainedByFleet.contains(name);
    }
}
