package reeldeal.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The names of open requests and of requests that have ended recently. Searchers identify a shard
 * request by the name of its request, so that they could not distinguish two requests with the same
 * name.
 */
final class RequestNames {
    /** Time for which the name of an ended request may not be used again, in milliseconds. */
    private static final double QUARANTINE_MS = 3_000;

    private final Map<String, Double> reservedUntilMs = new HashMap<>();
    private final ArrayDeque<String> releaseOrder = new ArrayDeque<>();

    /** Whether a request with this name is open or ended within the quarantine period. */
    boolean inUse(String name, double nowMs) {
        while (!releaseOrder.isEmpty() && reservedUntilMs.get(releaseOrder.peek()) < nowMs) {
            reservedUntilMs.remove(releaseOrder.poll());
        }
        return reservedUntilMs.containsKey(name);
    }

    /** Reserves a name that is not in use, until it is released. */
    void reserve(String name) {
        reservedUntilMs.put(name, Double.POSITIVE_INFINITY);
    }

    /** Releases the name of a request that ends now; it is free after the quarantine period. */
    void release(String name, double nowMs) {
        reservedUntilMs.put(name, nowMs + QUARANTINE_MS);
        releaseOrder.add(name);
    }

    /** Returns the number of names in the table, those in quarantine included. */
    int size() {
        return reservedUntilMs.size();
    }
}
