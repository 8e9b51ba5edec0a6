package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the combined effect of a hundred independent brokers on sixty searchers. */
class VirtualFleetTest {
    private static final int BROKERS = 100;
    private static final int MAX_IN_FLIGHT = 85;

    /**
     * Share of the rules' budget that the brokers may use together, apart from the excess that is
     * attributed to chance: some of the budget must stay unused.
     */
    private static final double BUDGET_SHARE = 0.75;

    @Test
    void queriesOfUnevenlyLoadedBrokersAreServedInTimeWithoutProbesOrPolls() {
        VirtualFleet fleet = new VirtualFleet(4, BROKERS, MAX_IN_FLIGHT);
        fleet.zoneSkew = 4;
        fleet.submitQueries(575, 6000);
        fleet.run(8000);
        assertTrue(fleet.queries > 3000);
        assertEquals(fleet.queries, fleet.inTime + fleet.late + fleet.rejected);
        assertTrue(fleet.inTime >= 0.99 * fleet.queries, fleet.inTime + " of " + fleet.queries);
        assertEquals(0, fleet.probes + fleet.subscriptions);
    }

    @Test
    void slowStartOfHalfOfTheSearchersDoesNotOverloadThem() {
        checkSlowStart(2, false);
    }

    @Test
    void slowStartDoesNotOverloadSearchersWhenMostBrokersHaveRestarted() {
        checkSlowStart(2, true);
    }

    /**
     * The work that thirty brokers send must not exceed the budget in total either, although their
     * token buckets start with different fractions; the excess by chance is bounded.
     */
    @Test
    void thirtyBrokersTogetherKeepTheSlowStartBudget() {
        for (long seed = 1; seed <= 2; seed++) {
            for (boolean restartBrokers : new boolean[] {false, true}) {
                VirtualFleet fleet = new VirtualFleet(seed, 30, MAX_IN_FLIGHT * BROKERS / 30);
                fleet.submitQueries(900, 9000);
                fleet.run(2000);
                List<VirtualFleet.Searcher> starting = new ArrayList<>();
                for (int i = 0; i < VirtualFleet.CELLS * VirtualFleet.SERVERS_PER_CELL; i++) {
                    starting.add(fleet.replace(i)); // all replicas, so none is warm
                }
                for (int i = 0; restartBrokers && i < 21; i++) {
                    fleet.restart(i);
                }
                fleet.run(10_000);
                for (VirtualFleet.Searcher searcher : starting) {
                    double excess = fleet.excessOverBudget(searcher, BUDGET_SHARE);
                    assertTrue(
                            excess <= 0,
                            "seed "
                                    + seed
                                    + " restart "
                                    + restartBrokers
                                    + ": "
                                    + searcher.id
                                    + " exceeds the budget by "
                                    + excess);
                }
            }
        }
    }

    private static void checkSlowStart(long seed, boolean restartBrokers) {
        VirtualFleet fleet = new VirtualFleet(seed, BROKERS, MAX_IN_FLIGHT);
        fleet.submitQueries(400, 9000);
        fleet.run(2000);
        List<VirtualFleet.Searcher> starting = new ArrayList<>();
        for (int i = 0; i < VirtualFleet.CELLS * VirtualFleet.SERVERS_PER_CELL / 2; i++) {
            starting.add(fleet.replace(i));
        }
        for (int i = 0; restartBrokers && i < 7 * BROKERS / 10; i++) {
            fleet.restart(i);
        }
        fleet.run(10_000);
        for (VirtualFleet.Searcher searcher : starting) {
            assertTrue(
                    fleet.worstOverload(searcher) < VirtualFleet.RULES.overloadFactor(),
                    searcher.id + ": " + fleet.worstOverload(searcher));
        }
        assertTrue(fleet.inTime >= 0.8 * fleet.queries, fleet.inTime + " of " + fleet.queries);
    }

    /**
     * Two of three replicas hang in five of twenty cells. Each broker sends to each of them only
     * once in several seconds.
     */
    @Test
    void hungSearchersAreDetectedByBrokersThatRarelySendToThem() {
        VirtualFleet fleet = new VirtualFleet(3, BROKERS, MAX_IN_FLIGHT);
        for (int cell = 0; cell < 5; cell++) {
            fleet.searchers.get(cell * 4).hung = true;
            fleet.searchers.get(cell * 4 + VirtualFleet.CELLS).hung = true;
        }
        fleet.submitQueries(450, 8000);
        fleet.run(2000);
        long sentEarly = sentToHung(fleet);
        fleet.run(6000);
        long sentLater = sentToHung(fleet) - sentEarly;
        fleet.run(2000);
        assertTrue(
                sentLater < 0.7 * 3 * sentEarly,
                sentLater + " in 6 s after " + sentEarly + " in the first 2 s");
        assertTrue(fleet.inTime >= 0.45 * fleet.queries, fleet.inTime + " of " + fleet.queries);
    }

    private static long sentToHung(VirtualFleet fleet) {
        return fleet.searchers.stream()
                .filter(searcher -> searcher.hung)
                .mapToLong(searcher -> searcher.sentAtMs.size())
                .sum();
    }
}
