package reeldeal.fleet.rollout;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Detects whether the members that a release has changed perform worse than the others. Three
 * shares are compared over the last {@link #WINDOW_MS}: late answers, rejected requests and failed
 * attempts. A share counts as worse if both groups have at least {@link #MIN_EVENTS} events, the
 * share is higher by more than {@link #MIN_DIFFERENCE}, and a two-proportion test with a pooled
 * variance gives more than {@link #MIN_STANDARD_ERRORS} standard errors (one-sided, 1 in 2,000 by
 * chance). A regression is reported after {@link #REQUIRED_FINDINGS} consecutive findings, {@link
 * #EVALUATION_INTERVAL_MS} apart, so that a single bad second is not reported.
 *
 * <p>Held in the memory of the leader and used on the state loop. Times are ms of its steady clock.
 */
public final class RolloutHealth {
    static final long WINDOW_MS = 30_000;
    static final long MIN_EVENTS = 200;
    static final double MIN_DIFFERENCE = 0.02;
    static final double MIN_STANDARD_ERRORS = 3.3;
    static final int REQUIRED_FINDINGS = 3;
    static final long EVALUATION_INTERVAL_MS = 2_000;

    private static final Counts ZERO = new Counts(0, 0, 0, 0, 0);

    /**
     * The counters of a broker since it started.
     *
     * @param requests all received requests, including rejected ones
     * @param late answers that exceeded the latency objective
     * @param rejected requests that were shed
     * @param attempts shard requests sent to searchers
     * @param failed attempts that failed
     */
    public record Counts(long requests, long late, long rejected, long attempts, long failed) {
        Counts minus(Counts other) {
            return new Counts(
                    requests - other.requests,
                    late - other.late,
                    rejected - other.rejected,
                    attempts - other.attempts,
                    failed - other.failed);
        }

        Counts plus(Counts other) {
            return new Counts(
                    requests + other.requests,
                    late + other.late,
                    rejected + other.rejected,
                    attempts + other.attempts,
                    failed + other.failed);
        }
    }

    private record Sample(long takenAt, Counts counts) {}

    /** The recent samples of one process, the oldest first. */
    private static final class History {
        final String boot;
        final ArrayDeque<Sample> samples = new ArrayDeque<>();

        History(String boot) {
            this.boot = boot;
        }

        Counts countsInWindow() {
            return samples.size() < 2
                    ? ZERO
                    : samples.peekLast().counts().minus(samples.peekFirst().counts());
        }
    }

    private final Map<String, History> histories = new HashMap<>();
    private long nextEvaluationAt = Long.MIN_VALUE;
    private int consecutiveFindings;
    private String finding;

    /**
     * Records the counters of a member from its heartbeat; those of a new process begin at zero.
     */
    public void record(String name, String boot, long now, Counts counts) {
        History history = histories.get(name);
        if (history == null || !history.boot.equals(boot)) {
            history = new History(boot);
            history.samples.add(new Sample(now, ZERO));
            histories.put(name, history);
        }
        ArrayDeque<Sample> samples = history.samples;
        samples.add(new Sample(now, counts));
        while (samples.size() > 2 && now - samples.peek().takenAt() > WINDOW_MS) {
            samples.poll();
        }
    }

    /**
     * Compares the changed members with the others, and returns a description of what is worse on
     * the changed ones, or null unless the last {@link #REQUIRED_FINDINGS} comparisons all found
     * something worse. May be called at any rate: the members are compared at most once every
     * {@link #EVALUATION_INTERVAL_MS}.
     */
    public String regression(Set<String> changed, Set<String> others, long now) {
        if (now >= nextEvaluationAt) {
            nextEvaluationAt = now + EVALUATION_INTERVAL_MS;
            finding = compare(sum(changed), sum(others));
            consecutiveFindings = finding == null ? 0 : consecutiveFindings + 1;
        }
        return consecutiveFindings >= REQUIRED_FINDINGS ? finding : null;
    }

    /** Clears all counters and findings, at the beginning of a leadership. */
    public void clear() {
        histories.clear();
        consecutiveFindings = 0;
        finding = null;
    }

    private Counts sum(Set<String> names) {
        Counts sum = ZERO;
        for (String name : names) {
            History history = histories.get(name);
            if (history != null) {
                sum = sum.plus(history.countsInWindow());
            }
        }
        return sum;
    }

    private static String compare(Counts changed, Counts others) {
        String late =
                compareShares(
                        "not in time",
                        changed.late(),
                        changed.requests(),
                        others.late(),
                        others.requests());
        if (late != null) {
            return late;
        }
        String rejected =
                compareShares(
                        "refused",
                        changed.rejected(),
                        changed.requests(),
                        others.rejected(),
                        others.requests());
        if (rejected != null) {
            return rejected;
        }
        return compareShares(
                "attempts failed",
                changed.failed(),
                changed.attempts(),
                others.failed(),
                others.attempts());
    }

    /**
     * Returns a description of a share that is significantly higher on the changed members, or null
     * if it is not.
     */
    static String compareShares(
            String description, long badChanged, long allChanged, long badOthers, long allOthers) {
        if (allChanged < MIN_EVENTS || allOthers < MIN_EVENTS) {
            return null;
        }
        double changed = (double) badChanged / allChanged;
        double others = (double) badOthers / allOthers;
        double pooled = (double) (badChanged + badOthers) / (allChanged + allOthers);
        double standardError =
                Math.sqrt(pooled * (1 - pooled) * (1.0 / allChanged + 1.0 / allOthers));
        double difference = changed - others;
        boolean isSignificant =
                difference > MIN_DIFFERENCE && difference > MIN_STANDARD_ERRORS * standardError;
        if (!isSignificant) {
            return null;
        }
        return String.format(
                Locale.ROOT,
                "%s: %.1f%% of %d in changed members, %.1f%% of %d in the rest",
                description,
                100 * changed,
                allChanged,
                100 * others,
                allOthers);
    }
}
