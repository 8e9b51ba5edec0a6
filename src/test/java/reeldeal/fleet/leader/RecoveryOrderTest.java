package reeldeal.fleet.leader;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.recovery.RecoveryRamp;

/** Tests operators' orders in a recovery: their rejections and the resulting writes. */
public class RecoveryOrderTest {
    private static final String SECOND_STEP = "epoch=3 kind=whole step=2 held=false ended=false";
    private static final String LAST_STEP = "epoch=3 kind=whole step=4 held=false ended=false";

    private static FleetValues fleet(State state) {
        return new FleetValues().broker("a", "x", state);
    }

    private static FleetView fleetInRecovery(String epoch) {
        return fleet(State.SERVING).with(Epoch.KEY, epoch).view();
    }

    private static AdminResult handle(FleetView fleet, String verb) {
        return handle(fleet, verb, "x");
    }

    private static AdminResult handle(FleetView fleet, String verb, String zone) {
        FormAttributes attributes = new FormAttributes().with("name", zone).with("reason", "test");
        return RecoveryOrder.handle(fleet, RecoveryRamp.DEFAULT, verb, attributes);
    }

    private static void assertRejected(String reason, AdminResult result) {
        assertEquals(new AdminResult.Rejection(reason), result);
    }

    private static ConditionalWrite write(AdminResult result) {
        return ((AdminResult.Write) result).write();
    }

    @Test
    public void onlyAKnownZoneWithoutLeasesIsForgotten() {
        assertRejected(
                "members of zone x still hold leases",
                handle(fleet(State.SERVING).view(), "forget"));
        assertRejected(
                "no member is in zone y", handle(fleet(State.SERVING).view(), "forget", "y"));
        ConditionalWrite write = write(handle(fleet(State.LAPSED).view(), "forget"));
        assertTrue(write.changes().get(Epoch.KEY).contains("forgotten=x"));
        assertTrue(write.reason(), write.reason().contains("operator: test"));
    }

    @Test
    public void aHoldIsRejectedWithoutARecoveryInProgress() {
        assertRejected("no recovery is in progress", handle(fleet(State.SERVING).view(), "hold"));
    }

    @Test
    public void aHoldExpectsTheVersionOfTheEpochItWasDecidedOn() {
        ConditionalWrite write = write(handle(fleetInRecovery(SECOND_STEP), "hold"));
        assertEquals(Map.of(Epoch.KEY, 12L), write.expectedVersions());
        assertTrue(write.changes().get(Epoch.KEY).contains("held=true"));
    }

    @Test
    public void onlyAHeldRecoveryIsResumed() {
        assertRejected("the recovery is not held", handle(fleetInRecovery(SECOND_STEP), "resume"));
    }

    @Test
    public void aForceTakesTheNextStepOrEndsTheRecoveryAtTheLastOne() {
        assertTrue(
                write(handle(fleetInRecovery(SECOND_STEP), "force"))
                        .changes()
                        .get(Epoch.KEY)
                        .contains("step=3"));
        assertTrue(
                write(handle(fleetInRecovery(LAST_STEP), "force"))
                        .changes()
                        .get(Epoch.KEY)
                        .contains("ended=true"));
    }
}
