package reeldeal.fleet.membership;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.Set;
import org.junit.Test;

/** Tests the fleet's clock as the median of its members' clocks; member {@code a} leads. */
public class ClockMedianTest {
    private final ClockMedian clocks = new ClockMedian();

    @Test
    public void aLeaderAloneOrWithOneMemberUsesItsOwnClock() {
        assertEquals(0, clocks.medianOffsetMs("a"));
        clocks.recordOffset("b", 600_000, 0);
        assertEquals(0, clocks.medianOffsetMs("a"));
    }

    @Test
    public void aLeaderWhoseClockIsWrongTakesTheMembersClock() {
        clocks.recordOffset("b", 600_000, 0);
        clocks.recordOffset("c", 600_030, 0);
        clocks.recordOffset("d", 599_990, 0);
        assertEquals(599_990, clocks.medianOffsetMs("a"));
    }

    @Test
    public void oneOutlierClockDoesNotMoveTheMedian() {
        clocks.recordOffset("b", 600_000, 0);
        clocks.recordOffset("c", 600_030, 0);
        clocks.recordOffset("d", 599_990, 0);
        clocks.recordOffset("a", 5, 0); // the leader's heartbeat to itself must not count twice
        clocks.recordOffset("e", -900_000, 0);
        assertEquals(599_990, clocks.medianOffsetMs("a"));
    }

    @Test
    public void theClocksOfMoreThanHalfOfTheMembersAreNeeded() {
        clocks.recordOffset("b", 600_000, 0);
        assertTrue(clocks.hasQuorum("a", 3));
        assertFalse(clocks.hasQuorum("a", 4));
        clocks.recordOffset("c", 600_000, 0);
        clocks.recordOffset("d", 600_000, 0);
        clocks.recordOffset("e", 600_000, 0);
        assertTrue(clocks.hasQuorum("a", 9));
    }

    @Test
    public void clocksOfRemovedMembersAreForgotten() {
        clocks.recordOffset("b", 600_000, 0);
        clocks.recordOffset("c", 600_000, 0);
        clocks.retainMembers(Set.of("a", "b"));
        assertFalse(clocks.hasQuorum("a", 4));
        assertTrue(clocks.hasQuorum("a", 3));
        assertEquals(0, clocks.medianOffsetMs("a"));
    }
}
