package reeldeal.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import reeldeal.fleet.FleetSimulation.Violation;

/**
 * Runs simulations for ranges of seeds, in parallel batches; no state is shared between
 * simulations.
 */
final class SeededRuns {
    private static final int BATCH = 16;

    /** A seed for which a rule does not hold, and the rule. */
    record Finding(long seed, String rule) {}

    private SeededRuns() {}

    /** Returns the first seed for which a rule does not hold, or null if all rules hold. */
    static Finding find(LongFunction<?> run, int maxSeed) {
        return find(run, 1, maxSeed);
    }

    /** Returns the first seed from {@code firstSeed} on for which a rule does not hold, or null. */
    static Finding find(LongFunction<?> run, int firstSeed, int maxSeed) {
        for (long seed = firstSeed; seed <= maxSeed; seed += BATCH) {
            Finding finding =
                    LongStream.range(seed, Math.min(seed + BATCH, maxSeed + 1L))
                            .parallel()
                            .mapToObj(candidate -> runSeed(run, candidate))
                            .filter(Objects::nonNull)
                            .findFirst()
                            .orElse(null);
            if (finding != null) {
                return finding;
            }
        }
        return null;
    }

    private static Finding runSeed(LongFunction<?> run, long seed) {
        try {
            Object unused = run.apply(seed);
            return null;
        } catch (Violation e) {
            return new Finding(seed, e.getMessage());
        }
    }

    /** Runs a range of seeds, and fails with a trace if a rule does not hold for one of them. */
    static <S> void requireAllToHold(
            long from,
            long to,
            LongFunction<S> create,
            Consumer<S> run,
            Function<S, List<String>> trace,
            Consumer<S> collect) {
        for (long seed = from; seed <= to; seed += BATCH) {
            LongStream.range(seed, Math.min(seed + BATCH, to + 1))
                    .parallel()
                    .mapToObj(eachSeed -> runOrFail(eachSeed, create.apply(eachSeed), run, trace))
                    .toList()
                    .forEach(collect);
        }
    }

    private static <S> S runOrFail(
            long seed, S simulation, Consumer<S> run, Function<S, List<String>> trace) {
        try {
            run.accept(simulation);
            return simulation;
        } catch (RuntimeException e) {
            String lastEvents = String.join("\n", trace.apply(simulation));
            throw new AssertionError("seed " + seed + ": " + e + "\n" + lastEvents, e);
        }
    }

    /** Prints the first seed that detects each broken rule, as rows of a Markdown table. */
    static <P> void printTable(
            Map<String, P> broken, Function<P, LongFunction<?>> run, int maxSeed) {
        broken.forEach(
                (rule, modules) -> {
                    Finding finding = find(run.apply(modules), maxSeed);
                    String found =
                            finding == null
                                    ? "not found |"
                                    : finding.seed() + " | " + finding.rule() + " |";
                    System.out.println("| " + rule + " | " + found);
                });
    }
}
