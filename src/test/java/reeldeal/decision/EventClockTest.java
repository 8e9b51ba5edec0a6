package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventClockTest {
    private final EventClock clock = new EventClock(1000, 5);

    @Test
    void anEarlierTimeIsIgnored() {
        clock.advance(1100, false);
        clock.advance(1050, false);
        assertEquals(1100, clock.now());
    }

    @Test
    void aLongGapWithQueriesInFlightIsAStall() {
        clock.advance(1060, true);
        assertFalse(clock.stalled());
        clock.advance(1121, true);
        assertTrue(clock.stalled());
    }

    @Test
    void aLongGapWithoutQueriesIsNotAStall() {
        clock.advance(9000, false);
        assertFalse(clock.stalled());
    }

    @Test
    void aStallLastsUntilTheNextTick() {
        clock.advance(1200, true);
        clock.advance(1200, true);
        assertTrue(clock.stalled());
        clock.advance(1205, true);
        assertFalse(clock.stalled());
    }
}
