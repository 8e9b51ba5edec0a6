package reeldeal.fleet.leader;

import static org.junit.Assert.assertEquals;

import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Stage;

/** Tests the time that a step of a release has been at its stage. */
public class StageTimerTest {
    private final StageTimer timer = new StageTimer();
    private final FleetValues fleetValues =
            new FleetValues().release().step("a", Stage.DRAIN, "a1");

    private long stageMs(long now) {
        FleetView fleet = fleetValues.view();
        timer.onFleetChanged(fleet, now);
        return timer.stageMs(fleet.steps().get("a"), now);
    }

    @Test
    public void theTimeStartsAtZeroWithEachStage() {
        assertEquals(0, stageMs(1_000));
        assertEquals(500, stageMs(1_500));
        fleetValues.step("a", Stage.RESTART, "a1");
        assertEquals(0, stageMs(2_000));
    }

    @Test
    public void aLaterWriteOfTheReleaseRestartsTheTime() {
        assertEquals(0, stageMs(1_000));
        fleetValues.release();
        assertEquals(0, stageMs(2_000));
        assertEquals(100, stageMs(2_100));
    }
}
