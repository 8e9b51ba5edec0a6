package reeldeal.fleet.node;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests the deviation of a node's wall clock from the fleet's, with a round trip of 40 ms. */
public class FleetClockTest {
    private static final long ROUND_TRIP_MS = 40;
    private final FleetClock clock = new FleetClock();

    private void assertClock(long fleetWallMs, long wallMs, long errorMs, long fleetAheadMs) {
        clock.onFleetWallClock(fleetWallMs, wallMs, ROUND_TRIP_MS);
        assertEquals(errorMs, clock.errorMs());
        assertEquals(fleetAheadMs, clock.fleetAheadMs());
    }

    @Test
    public void theErrorIsUnknownBeforeTheFirstAnswer() {
        assertTrue(clock.errorMs() < 0);
    }

    @Test
    public void aDifferenceWithinTheRoundTripIsNotAnError() {
        assertClock(10_000, 10_000, 0, 0);
        assertClock(10_000, 10_040, 0, 0);
    }

    @Test
    public void theErrorOfAClockThatIsBehindIsTheDifference() {
        assertClock(10_000, 9_700, 300, 300);
    }

    @Test
    public void theErrorOfAClockThatIsAheadExcludesTheRoundTrip() {
        assertClock(10_000, 10_340, 300, -300);
    }

    @Test
    public void anAnswerWithoutTheFleetsClockChangesNothing() {
        assertClock(10_000, 9_700, 300, 300);
        assertClock(0, 50_000, 300, 300);
    }
}
