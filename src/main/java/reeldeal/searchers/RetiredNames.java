package reeldeal.searchers;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers the names of shard requests on one connection that are no longer pending but may still
 * be answered: abandoned ones, which may be answered late, and recently served ones, whose answer
 * may arrive a second time. Owned by the connection and used on its thread.
 */
final class RetiredNames {
    /**
     * How long an abandoned name is remembered, in milliseconds. No shard request is sent again
     * after this time.
     */
    static final double ABANDONED_RETENTION_MS = 60_000;

    static final int MAX_SERVED = 64;

    private final Map<String, Double> abandonedAt = new LinkedHashMap<>();
    private final Set<String> served = new LinkedHashSet<>();

    void addAbandoned(String name, double now) {
        abandonedAt.put(name, now);
    }

    boolean isAbandoned(String name) {
        return abandonedAt.containsKey(name);
    }

    /** Removes an abandoned name and returns whether it was present. */
    boolean removeAbandoned(String name) {
        return abandonedAt.remove(name) != null;
    }

    /** Adds a served name, and removes the oldest one if the limit is exceeded. */
    void addServed(String name) {
        served.add(name);
        if (served.size() > MAX_SERVED) {
            served.remove(served.iterator().next());
        }
    }

    boolean isServed(String name) {
        return served.contains(name);
    }

    /** Removes abandoned names whose retention is over; {@code now} is in milliseconds. */
    void expire(double now) {
        abandonedAt.values().removeIf(time -> time < now - ABANDONED_RETENTION_MS);
    }
}
