package reeldeal.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The names of requests that are open, or of which searchers still hold shard requests, and of
 * requests that have ended recently. Searchers identify a shard request by the name of its request,
 * so that they could not distinguish two requests with the same name.
 */
final class RequestNames {
    /** Time for which the name of an ended request may not be used again, in milliseconds. */
    private static final double QUARANTINE_MS = 3_000;

    /** The most names of ended requests; beyond it those that ended first may be used again. */
    static final int MAX_ENDED = 20_000;

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

    /**
     * Releases the name of a request that ends now. It is free after the quarantine period, but not
     * before the deadline until which its client may have sent it again.
     */
    void release(String name, double nowMs, double deadlineMs) {
        reservedUntilMs.put(name, Math.max(nowMs + QUARANTINE_MS, deadlineMs));
        releaseOrder.add(name);
        if (releaseOrder.size() > MAX_ENDED) {
            reservedUntilMs.remove(releaseOrder.poll());
        }
    }

    /** Returns the number of names in the table, those in quarantine included. */
    int size() {
        return reservedUntilMs.size();
    }
}
