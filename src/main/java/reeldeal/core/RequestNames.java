package reeldeal.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The names of open requests and of those that ended a moment ago. Searchers know a shard request
 * by its request's name: two requests of one name could not be told apart.
 */
final class RequestNames {
    /** How long the name of an ended request is not used again. */
    private static final double QUARANTINE_MS = 3_000;

    private final Map<String, Double> reservedUntilMs = new HashMap<>();
    private final ArrayDeque<String> releaseOrder = new ArrayDeque<>();

    /** Whether a request of this name is open or ended a moment ago. */
    boolean inUse(String name, double nowMs) {
        while (!releaseOrder.isEmpty() && reservedUntilMs.get(releaseOrder.peek()) < nowMs) {
            reservedUntilMs.remove(releaseOrder.poll());
        }
        return reservedUntilMs.containsKey(name);
    }

    /** Takes a name that is not in use. */
    void reserve(String name) {
        reservedUntilMs.put(name, Double.POSITIVE_INFINITY);
    }

    /** Releases the name of a request that ends now. */
    void release(String name, double nowMs) {
        reservedUntilMs.put(name, nowMs + QUARANTINE_MS);
        releaseOrder.add(name);
    }

    /** Names that are remembered. */
    int size() {
        return reservedUntilMs.size();
    }
}
