package reeldeal.fleet.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.rollout.RolloutHealth.Counts;

/** Tests the steps of a recovery with the default ramp, which has 4 steps of at least 500 ms. */
public class RecoveryControllerTest {
    private static final RecoveryRamp RAMP = RecoveryRamp.DEFAULT;
    private final RecoveryController controller = new RecoveryController(RAMP);
    private final OutageClassifier classifier = new OutageClassifier(RAMP);

    private static FleetView fleetAtStep(int step) {
        return new FleetValues()
                .broker("a", "x", State.SERVING)
                .with(Epoch.KEY, "epoch=1 kind=whole step=" + step + " since=50")
                .view();
    }

    private String nextWriteReason(long now, FleetView fleet, double readySearcherShare) {
        ConditionalWrite write = controller.nextWrite(now, fleet, classifier, readySearcherShare);
        return write == null ? null : write.reason();
    }

    private void recordAnswers(long requests, long late) {
        controller.recordCounts("a1", new Counts(requests, late, 0, 0, 0));
    }

    @Test
    public void anOutageBeginsAnEpochAndHaltsTheRelease() {
        FleetView fleet =
                new FleetValues()
                        .with(FleetView.REGISTRATION + "a", "boot=a2 zone=x after=3")
                        .with(FleetView.REGISTRATION + "b", "boot=b2 zone=x after=4")
                        .release()
                        .view();
        ConditionalWrite write = controller.nextWrite(0, fleet, classifier, 1);
        assertEquals("recovery 1 begins: 2 of 2 members were lost", write.reason());
        assertTrue(write.changes().get(FleetView.RELEASE).contains("progress=HALTED"));
        assertTrue(write.expectedVersions().containsKey(Epoch.KEY));
    }

    @Test
    public void theNextStepIsTakenAfterTheDwellTimeIfAnswersAreOnTime() {
        recordAnswers(0, 0);
        assertNull(nextWriteReason(0, fleetAtStep(2), 1));
        recordAnswers(100, 2);
        assertNull(nextWriteReason(499, fleetAtStep(2), 1));
        assertEquals(
                "recovery 1 moves from step 2 to 3 of 4: 98.0% of 100 on time",
                nextWriteReason(500, fleetAtStep(2), 1));
    }

    @Test
    public void theNextStepIsTakenAfterTheIdleTimeIfRequestsAreFew() {
        assertNull(nextWriteReason(0, fleetAtStep(1), 1));
        assertNull(nextWriteReason(1_999, fleetAtStep(1), 1));
        assertEquals(
                "recovery 1 moves from step 1 to 2 of 4: quiet",
                nextWriteReason(2_000, fleetAtStep(1), 1));
    }

    @Test
    public void aStepWithLateAnswersIsTakenBack() {
        recordAnswers(0, 0);
        assertNull(nextWriteReason(0, fleetAtStep(3), 1));
        recordAnswers(100, 40);
        assertEquals(
                "recovery 1 moves from step 3 to 2 of 4: taken back: 60.0% of 100 on time",
                nextWriteReason(500, fleetAtStep(3), 1));
    }

    @Test
    public void noStepIsTakenBeforeEnoughSearchersAreReady() {
        assertNull(nextWriteReason(0, fleetAtStep(1), 0.1));
        assertNull(nextWriteReason(2_000, fleetAtStep(1), 0.24));
        assertEquals(
                "recovery 1 moves from step 1 to 2 of 4: quiet",
                nextWriteReason(2_000, fleetAtStep(1), 0.25));
    }

    @Test
    public void theRecoveryEndsAfterTheLastStep() {
        assertNull(nextWriteReason(0, fleetAtStep(4), 1));
        assertEquals("recovery 1 is over: quiet", nextWriteReason(2_000, fleetAtStep(4), 1));
    }
}
