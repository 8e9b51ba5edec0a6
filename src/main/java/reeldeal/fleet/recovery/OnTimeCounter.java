package reeldeal.fleet.recovery;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import reeldeal.fleet.rollout.RolloutHealth.Counts;

/**
 * Computes the share of all members' answers that were on time since the last reset, from counts
 * that each process keeps since its start. Used on the state loop.
 */
final class OnTimeCounter {
    private final Map<String, Counts> latestCounts = new HashMap<>();
    private final Map<String, Counts> countsAtReset = new HashMap<>();

    /** The requests since the reset that were not rejected, and the late answers among them. */
    record Total(long requests, long late) {
        /** Returns the share of answers on time, 1 if there were no requests. */
        double onTimeShare() {
            return requests == 0 ? 1 : 1 - (double) late / requests;
        }

        /** Returns the share in percent and the number of requests, for the log. */
        String describe() {
            return String.format(Locale.ROOT, "%.1f%%", onTimeShare() * 100)
                    + " of "
                    + requests
                    + " on time";
        }
    }

    /** Removes the counts of all processes. */
    void clear() {
        latestCounts.clear();
        countsAtReset.clear();
    }

    /** Records a process's counts; the first ones of a process are its baseline. */
    void record(String boot, Counts counts) {
        latestCounts.put(boot, counts);
        countsAtReset.putIfAbsent(boot, counts);
    }

    /** Makes the latest counts the baseline of each process. */
    void reset() {
        countsAtReset.clear();
        countsAtReset.putAll(latestCounts);
    }

    Total sinceReset() {
        long requests = 0;
        long late = 0;
        for (Map.Entry<String, Counts> process : latestCounts.entrySet()) {
            Counts current = process.getValue();
            Counts baseline = countsAtReset.getOrDefault(process.getKey(), current);
            requests += acceptedRequests(current) - acceptedRequests(baseline);
            late += current.late() - baseline.late();
        }
        return new Total(requests, late);
    }

    private static long acceptedRequests(Counts counts) {
        return counts.requests() - counts.rejected();
    }
}
