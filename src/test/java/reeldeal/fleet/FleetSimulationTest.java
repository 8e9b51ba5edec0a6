package reeldeal.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import org.junit.Test;
import reeldeal.testing.EventDigest;

/**
 * Tests leases, permits and releases in the simulation, with intact modules and with each rule
 * broken.
 */
public class FleetSimulationTest {
    private static final int SEEDS = 60;
    private static final int DIGEST_SEEDS = 40;
    private static final int MAX_SEEDS_TO_FIND = 600;

    /** The first seed to try for a broken rule that only few seeds detect. */
    private static final Map<String, Integer> FIRST_SEEDS =
            Map.of(BrokenFleetModules.UNCONFIRMED_LEADER, 481);

    @Test
    public void invariantsHoldForAFixedSetOfSeeds() {
        Map<String, Integer> outcomes = FleetSimulationCommand.runIntact(1, SEEDS);
        assertTrue(
                "expected both completed and rolled back releases, found " + outcomes,
                outcomes.get("done") > SEEDS / 8 && outcomes.get("back") > SEEDS / 8);
    }

    @Test
    public void aFixedSetOfSeedsGivesTheRecordedCommits() {
        EventDigest all = new EventDigest();
        for (long seed = 1; seed <= DIGEST_SEEDS; seed++) {
            FleetSimulation simulation =
                    FleetSimulationCommand.runSeed(seed, new FleetSimulation.Modules());
            all.add(seed + " " + simulation.outcome + " " + simulation.digest.hex());
        }
        assertEquals("recorded on 9332643", "ea25b20abe0555872880e544", all.hex());
    }

    @Test
    public void eachBrokenRuleIsFound() {
        BrokenFleetModules.all()
                .forEach(
                        (rule, modules) ->
                                assertNotNull(
                                        "no seed detects the broken rule: " + rule,
                                        SeededRuns.find(
                                                seed ->
                                                        FleetSimulationCommand.runSeed(
                                                                seed, modules),
                                                FIRST_SEEDS.getOrDefault(rule, 1),
                                                MAX_SEEDS_TO_FIND)));
    }
}
