package reeldeal.faultinjection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Holds the idempotency keys that all searchers of a fleet share: whichever of them is asked drops
 * a shard request that another has already run. Thread-safe.
 */
final class IdempotencyKeys {
    /**
     * The latest run of a shard request.
     *
     * @param searcher the searcher that ran it, or null after {@link #forget} for that searcher
     * @param atNanos when it ran, on the clock of {@link System#nanoTime}
     * @param count how often the shard request has been run, this run included
     */
    private record Run(FakeSearcher searcher, long atNanos, int count) {}

    private final long windowMs;
    private final Map<String, Run> runs = new HashMap<>();
    private final BiConsumer<FakeSearcher, String> onRun;

    /**
     * Creates an empty set of keys.
     *
     * @param windowMs how long a key is kept after the run, ms
     * @param onRun called for each shard request that is run rather than dropped as a repeat
     */
    IdempotencyKeys(long windowMs, BiConsumer<FakeSearcher, String> onRun) {
        this.windowMs = windowMs;
        this.onRun = onRun;
    }

    /**
     * Runs a shard request, or drops it as a repeat. Returns the name of the run that answers it,
     * {@code REQUEST#COUNT}.
     */
    synchronized String run(FakeSearcher searcher, String shardRequest) {
        Run last = runs.get(shardRequest);
        if (last == null || isForgotten(last)) {
            last = new Run(searcher, System.nanoTime(), last == null ? 1 : last.count() + 1);
            runs.put(shardRequest, last);
            onRun.accept(searcher, "part=" + shardRequest + " times=" + last.count());
        }
        return shardRequest + "#" + last.count();
    }

    private boolean isForgotten(Run run) {
        long ageMs = (System.nanoTime() - run.atNanos()) / 1_000_000;
        return run.searcher() == null || ageMs >= windowMs;
    }

    /** Drops the keys of all runs of a searcher, such as one that was restarted. */
    synchronized void forget(FakeSearcher searcher) {
        runs.replaceAll(
                (key, run) ->
                        run.searcher() == searcher
                                ? new Run(null, run.atNanos(), run.count())
                                : run);
    }
}
