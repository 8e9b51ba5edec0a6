package reeldeal.fleet.takeover;

import static org.junit.Assert.assertEquals;
import static reeldeal.fleet.takeover.TestRecords.open;

import java.util.ArrayList;
import java.util.List;
import org.junit.Before;
import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;

/** Tests which broker takes over which record. */
public class TakeoverPolicyTest {
    private final FleetView fleet =
            new FleetValues()
                    .broker("a", "x", State.SERVING)
                    .broker("b", "y", State.SERVING)
                    .broker("c", "x", State.DRAINING)
                    .broker("dead", "x", State.LAPSED)
                    .view();
    private final List<RequestRecord> openRecords = new ArrayList<>();

    @Before
    public void addFiveOrphansAndOneRecordOfA() {
        for (int i = 0; i < 5; i++) {
            openRecords.add(open("k" + i, "dead", i == 3 ? 9 : 1, 5_000 + i));
        }
        openRecords.add(open("own", "a", 1, 5_000));
    }

    private List<String> assignedTo(String broker) {
        return new TakeoverPolicy()
                .assignedOrphans(fleet, openRecords, broker).stream()
                        .map(RequestRecord::key)
                        .toList();
    }

    @Test
    public void orphansAreAssignedToTheBrokerWithTheFewestOpenRecords() {
        assertEquals(5, assignedTo("a").size() + assignedTo("b").size());
        assertEquals(
                "b gets one more orphan than a, which has an open record already",
                3,
                assignedTo("b").size());
    }

    @Test
    public void theHighestPriorityIsAssignedFirstAndToAnotherZone() {
        assertEquals("k3", assignedTo("b").get(0));
    }

    @Test
    public void aDrainingBrokerTakesOverNothing() {
        assertEquals(List.of(), assignedTo("c"));
    }
}
