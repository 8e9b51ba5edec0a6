package reeldeal.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import reeldeal.testing.EventDigest;

/** Tests keyed requests in the simulation, with intact modules and with each rule broken. */
public class TakeoverSimulationTest {
    private static final int SEEDS = 25;
    private static final int DIGEST_SEEDS = 20;
    private static final int MAX_SEEDS_TO_FIND = 300;

    /** The events that occurred in a set of seeds. */
    private static final class Coverage {
        private int answeredDone;
        private int answeredUnknown;
        private int answeredFailed;
        private int claims;
        private int repeatedRuns;

        private void add(TakeoverSimulation simulation) {
            answeredDone += simulation.answeredDone;
            answeredUnknown += simulation.answeredUnknown;
            answeredFailed += simulation.answeredFailed;
            claims += simulation.claims;
            repeatedRuns += simulation.repeatedRuns;
        }

        @Override
        public String toString() {
            return "answered done "
                    + answeredDone
                    + ", claims "
                    + claims
                    + ", answered unknown "
                    + answeredUnknown
                    + ", answered failed "
                    + answeredFailed
                    + ", repeated runs "
                    + repeatedRuns;
        }
    }

    private static TakeoverSimulation runSeed(long seed, TakeoverSimulation.Modules modules) {
        return new TakeoverSimulation(seed, modules).runToEnd();
    }

    private static Coverage runIntact(long from, long to) {
        Coverage coverage = new Coverage();
        SeededRuns.requireAllToHold(
                from,
                to,
                seed -> new TakeoverSimulation(seed, new TakeoverSimulation.Modules()),
                TakeoverSimulation::runToEnd,
                simulation -> simulation.fleet.trace(),
                coverage::add);
        return coverage;
    }

    @Test
    public void keyedRequestsRunOnceAndEndOnceForAFixedSetOfSeeds() {
        Coverage coverage = runIntact(1, SEEDS);
        assertTrue(
                coverage.toString(),
                coverage.answeredDone > 20 * SEEDS
                        && coverage.claims > SEEDS
                        && coverage.answeredUnknown > 10);
    }

    @Test
    public void aFixedSetOfSeedsGivesTheRecordedCommitsSendsAndAnswers() {
        EventDigest all = new EventDigest();
        for (long seed = 1; seed <= DIGEST_SEEDS; seed++) {
            TakeoverSimulation simulation = runSeed(seed, new TakeoverSimulation.Modules());
            all.add(seed + " " + simulation.fleet.digest.hex());
        }
        assertEquals("recorded on 9332643", "a89f16a30484583bdf6cecd7", all.hex());
    }

    @Test
    public void eachBrokenRuleIsFound() {
        BrokenTakeoverModules.all()
                .forEach(
                        (rule, modules) ->
                                assertNotNull(
                                        "no seed detects the broken rule: " + rule,
                                        SeededRuns.find(
                                                seed -> runSeed(seed, modules),
                                                MAX_SEEDS_TO_FIND)));
        assertEquals(13, BrokenTakeoverModules.all().size());
    }

    /**
     * Runs the simulation from the command line: {@code run FROM TO} runs a range of seeds, {@code
     * broken MAX} prints the first seed that detects each broken rule.
     */
    public static void main(String[] args) {
        if (args[0].equals("broken")) {
            SeededRuns.printTable(
                    BrokenTakeoverModules.all(),
                    modules -> seed -> runSeed(seed, modules),
                    Integer.parseInt(args[1]));
            return;
        }
        long from = System.nanoTime();
        Coverage coverage = runIntact(Long.parseLong(args[1]), Long.parseLong(args[2]));
        System.out.println(coverage + ", in " + (System.nanoTime() - from) / 1_000_000 + " ms");
    }
}
