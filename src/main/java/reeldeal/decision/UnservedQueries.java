package reeldeal.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers recent queries that were not served, and when they were first submitted. A client's
 * retry keeps the time limits of the original query: work on an answer that can only be late would
 * prolong an overload.
 */
final class UnservedQueries {
    /** Time for which a query is remembered, in latency objectives. */
    private static final double MEMORY_OBJECTIVES = 4;

    private final EventClock clock;
    private final double memoryMs;
    private final Map<Long, Double> startedAtMs = new LinkedHashMap<>();

    UnservedQueries(EventClock clock, double latencyObjectiveMs) {
        this.clock = clock;
        this.memoryMs = MEMORY_OBJECTIVES * latencyObjectiveMs;
    }

    /** Returns when a query was first submitted: now, unless it retries a remembered query. */
    double startOf(QueryState query) {
        Double firstStartMs = query.query.retry() ? startedAtMs.get(signature(query)) : null;
        return firstStartMs == null ? clock.now() : firstStartMs;
    }

    /** Remembers a query that was not served. */
    void add(QueryState query) {
        long signature = signature(query);
        startedAtMs.remove(signature);
        startedAtMs.put(signature, query.startedAtMs);
        double oldestMs = clock.now() - memoryMs;
        startedAtMs.values().removeIf(startedAt -> startedAt < oldestMs);
    }

    private static long signature(QueryState query) {
        long classAndTenant = query.query.classIndex() * 65537L + query.query.tenant();
        return Hashing.mix64(query.query.key() ^ Hashing.mix64(classAndTenant));
    }
}
