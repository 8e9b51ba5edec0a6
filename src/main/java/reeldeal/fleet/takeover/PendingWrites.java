package reeldeal.fleet.takeover;

import java.util.HashMap;
import java.util.Map;

/**
 * The keys that cannot be written now, because a write is in progress or has to wait after a failed
 * one. Each key has at most one write at a time. Used on the store's loop.
 */
final class PendingWrites {
    private static final long UNTIL_ENDED = Long.MAX_VALUE;

    private final Map<String, Long> blockedUntil = new HashMap<>();

    boolean contains(String key) {
        return blockedUntil.containsKey(key);
    }

    boolean isEmpty() {
        return blockedUntil.isEmpty();
    }

    /** Marks a write of a key as in progress; returns false if the key cannot be written now. */
    boolean tryBegin(String key, long now) {
        if (blockedUntil.getOrDefault(key, now) > now) {
            return false;
        }
        blockedUntil.put(key, UNTIL_ENDED);
        return true;
    }

    void committed(String key) {
        blockedUntil.remove(key);
    }

    void failed(String key, long retryAtMs) {
        blockedUntil.put(key, retryAtMs);
    }

    void expire(long now) {
        blockedUntil.values().removeIf(until -> until <= now);
    }
}
