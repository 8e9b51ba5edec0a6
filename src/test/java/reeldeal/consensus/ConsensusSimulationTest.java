package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.Test;
import reeldeal.testing.EventDigest;

/** Runs simulated groups with Raft's rules over fixed seeds, and with broken rules. */
public class ConsensusSimulationTest {
    private static final long SIMULATED_MS = 6_000;
    private static final int SEEDS = 300;
    private static final int LAST_SEED = 20_000;
    private static final int PARALLEL_SEEDS = 64;

    /** A violation that the simulation found, and its seed. */
    private record Finding(int seed, String violation, List<String> trace) {}

    /** Returns the first violation at the seeds from {@code from} to {@code last}, or null. */
    private static Finding findViolation(RaftRules rules, int from, int last) {
        for (int first = from; first <= last; first += PARALLEL_SEEDS) {
            Finding found =
                    IntStream.range(first, Math.min(first + PARALLEL_SEEDS, last + 1))
                            .parallel()
                            .mapToObj(seed -> simulate(rules, seed))
                            .filter(Objects::nonNull)
                            .findFirst()
                            .orElse(null);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static Finding simulate(RaftRules rules, int seed) {
        ConsensusSimulation simulation = new ConsensusSimulation(seed, rules);
        try {
            simulation.run(SIMULATED_MS);
            return null;
        } catch (SafetyChecks.Violation | IllegalStateException e) {
            return new Finding(seed, e.getMessage(), simulation.trace());
        }
    }

    @Test
    public void fixedSeedsDoNotViolateRaftsRules() {
        int leaders = 0;
        long answered = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ConsensusSimulation simulation = new ConsensusSimulation(seed, new RaftRules());
            try {
                simulation.run(SIMULATED_MS);
            } catch (RuntimeException e) {
                throw new AssertionError(
                        "seed " + seed + ": " + e + "\n" + String.join("\n", simulation.trace()),
                        e);
            }
            leaders += simulation.leadersSeen;
            answered += simulation.calls.stream().filter(c -> c.end != Long.MAX_VALUE).count();
        }
        assertTrue("too few terms with a leader: " + leaders, leaders > 3 * SEEDS);
        assertTrue("too few calls answered: " + answered, answered > 20 * SEEDS);
    }

    @Test
    public void fixedSeedsReproduceTheRecordedEvents() {
        EventDigest combinedDigest = new EventDigest();
        for (long seed = 1; seed <= 60; seed++) {
            ConsensusSimulation simulation = new ConsensusSimulation(seed, new RaftRules());
            simulation.run(SIMULATED_MS);
            combinedDigest.add(seed + " " + simulation.digest.hex());
        }
        assertEquals("recorded on 9332643", "492e8818e08c64c090e7c0f3", combinedDigest.hex());
    }

    @Test
    public void eachBrokenRuleIsDetected() {
        List<BrokenRules.Violation> violations = BrokenRules.all();
        assertEquals(11, violations.size());
        for (BrokenRules.Violation violation : violations) {
            assertNotNull(
                    "not detected: " + violation.name(),
                    findViolation(violation.rules(), violation.firstSeed(), LAST_SEED));
        }
    }

    /**
     * Runs from the command line: {@code run FROM TO} simulates a range of seeds, {@code broken
     * LAST [NAME]} prints the seed at which each broken rule is detected.
     */
    public static void main(String[] args) {
        if (args[0].equals("broken")) {
            BrokenRules.all().stream()
                    .filter(violation -> args.length <= 2 || violation.name().contains(args[2]))
                    .forEach(violation -> printFinding(violation, Integer.parseInt(args[1])));
        } else {
            runSeeds(Long.parseLong(args[1]), Long.parseLong(args[2]));
        }
    }

    private static void printFinding(BrokenRules.Violation violation, int last) {
        Finding found = findViolation(violation.rules(), 1, last);
        String result =
                found == null
                        ? "not found"
                        : found.seed() + " | " + found.violation().split(":", 2)[0];
        System.out.println("| " + violation.name() + " | " + result + " |");
    }

    private static void runSeeds(long firstSeed, long lastSeed) {
        long start = System.nanoTime();
        long steps = 0;
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            ConsensusSimulation simulation = new ConsensusSimulation(seed, new RaftRules());
            try {
                steps += simulation.run(SIMULATED_MS);
            } catch (RuntimeException e) {
                System.out.println(
                        "seed " + seed + ": " + e + "\n" + String.join("\n", simulation.trace()));
                System.exit(1);
            }
        }
        long seeds = lastSeed - firstSeed + 1;
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "%d schedules of %d simulated ms, %d steps, %.1f s: %.0f schedules/s, %.0f steps/s%n",
                seeds,
                SIMULATED_MS,
                steps,
                seconds,
                seeds / seconds,
                steps / seconds);
    }
}
