package reeldeal.fleet.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.recovery.BrokerRecoveryStatus.Inputs;
import reeldeal.fleet.recovery.BrokerRecoveryStatus.Stage;

/** Tests the stages and admitted shares of one broker after its start. */
public class BrokerRecoveryStatusTest {
    private static final Inputs COMPLETE = new Inputs(true, false, true, true);
    private static final Inputs UNCLASSIFIED = new Inputs(true, false, false, true);
    private final BrokerRecoveryStatus status = new BrokerRecoveryStatus(RecoveryRamp.DEFAULT, "x");

    private static FleetView fleet() {
        return new FleetValues().broker("a", "x", State.SERVING).view();
    }

    private static FleetView fleet(String recovery) {
        return new FleetValues().broker("a", "x", State.SERVING).with(Epoch.KEY, recovery).view();
    }

    private void assertUpdate(Stage stage, double share, FleetView fleet, Inputs inputs) {
        status.update(fleet, fleet.members().get("a"), inputs);
        assertEquals(stage, status.stage());
        assertEquals(share, status.admittedShare(), 0);
    }

    @Test
    public void aBrokerServesAllOnceItsStartIsClassifiedAndSearchersAreListed() {
        assertUpdate(Stage.AWAITING_GROUP, 0, fleet(), new Inputs(false, false, false, false));
        assertUpdate(Stage.SERVING_STALE, 0.5, fleet(), new Inputs(false, true, false, true));
        assertUpdate(
                Stage.AWAITING_CLASSIFICATION, 0.25, fleet(), new Inputs(true, true, false, true));
        assertUpdate(Stage.AWAITING_SEARCHERS, 1, fleet(), new Inputs(true, true, true, false));
        assertUpdate(Stage.SERVING, 1, fleet(), new Inputs(true, true, true, true));
    }

    @Test
    public void aBrokerThatHasServedAllIsNeverRestrictedAgain() {
        assertUpdate(Stage.SERVING, 1, fleet(), COMPLETE);
        FleetView recovery = fleet("epoch=1 kind=whole step=1 held=false ended=false");
        assertUpdate(Stage.SERVING, 1, recovery, COMPLETE);
        assertUpdate(Stage.SERVING, 1, fleet(), new Inputs(true, true, true, false));
    }

    @Test
    public void aBrokerFollowsTheStepsOfARecoveryThatAffectsIt() {
        FleetView thirdStep = fleet("epoch=1 kind=zone zone=x step=3 held=true ended=false");
        assertUpdate(Stage.RAMPING_UP, 0.75, thirdStep, COMPLETE);
        assertTrue(status.describe(), status.describe().contains("held"));
        FleetView ended = fleet("epoch=1 kind=whole step=4 held=false ended=true");
        assertUpdate(Stage.SERVING, 1, ended, COMPLETE);
        assertEquals(1, status.restartedSearchersEpoch());
    }

    @Test
    public void aBrokerStaysAtTheFirstStepUntilItsStartIsClassified() {
        FleetView firstStep = fleet("epoch=1 kind=whole step=1 held=false ended=false");
        assertUpdate(Stage.RAMPING_UP, 0.25, firstStep, UNCLASSIFIED);
        FleetView thirdStep = fleet("epoch=1 kind=zone zone=x step=3 held=true ended=false");
        assertUpdate(Stage.RAMPING_UP, 0.25, thirdStep, UNCLASSIFIED);
        assertUpdate(Stage.RAMPING_UP, 0.75, thirdStep, COMPLETE);
    }

    @Test
    public void theRecoveryOfAnotherZoneDoesNotAffectABroker() {
        FleetView otherZone = fleet("epoch=2 kind=zone zone=y step=1 held=false ended=false");
        assertUpdate(Stage.AWAITING_CLASSIFICATION, 0.25, otherZone, UNCLASSIFIED);
    }

    @Test
    public void theStatusLineAndTheStageLabelsAreFixed() {
        assertEquals("stage=group share=0.0 why=the_group_was_not_heard_yet", status.describe());
        assertEquals("alone", Stage.SERVING_STALE.label());
        assertEquals("judging", Stage.AWAITING_CLASSIFICATION.label());
        assertEquals("list", Stage.AWAITING_SEARCHERS.label());
        assertEquals("opening", Stage.RAMPING_UP.label());
        assertEquals("serving", Stage.SERVING.label());
    }
}
