package reeldeal.faultinjection.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Knows since when each broker has been told that a searcher drains, so that attempts after the
 * grace are violations. A notice counts from the broker's next watch, which names the change.
 * Thread-safe.
 */
final class DrainNotices {
    private record Notice(String broker, String searcher) {}

    private final Map<Notice, Long> toldAtNanos = new ConcurrentHashMap<>();
    private final long graceMs;

    DrainNotices(long graceMs) {
        this.graceMs = graceMs;
    }

    /** Notes that a broker knows of a drain; the first notice counts. */
    void told(String broker, String searcher) {
        toldAtNanos.putIfAbsent(new Notice(broker, searcher), System.nanoTime());
    }

    /** Notes that a searcher does not drain any more. */
    void ended(String searcher) {
        toldAtNanos.keySet().removeIf(notice -> notice.searcher().equals(searcher));
    }

    /** Notes that a broker's process ended, and with it what it knew. */
    void forget(String broker) {
        toldAtNanos.keySet().removeIf(notice -> notice.broker().equals(broker));
    }

    /** Returns how long after the grace a time lies, ms; 0 or less if an attempt is allowed. */
    long msAfterGrace(String broker, String searcher, long nanos) {
        Long told = toldAtNanos.get(new Notice(broker, searcher));
        return told == null ? 0 : (nanos - told) / 1_000_000 - graceMs;
    }
}
