package reeldeal.fleet.rollout;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget;

/** Tests the next writes of a release for given stored states and observations. */
public class RolloutControllerTest {
    private final RolloutController controller = new RolloutController(new DisruptionBudget());
    private boolean acknowledged = true;
    private long stageMs;
    private long leaderlessMs;

    private final class Observed implements RolloutController.MemberObservations {
        @Override
        public boolean acknowledged(long version) {
            return acknowledged;
        }

        @Override
        public long stageMs(Step step) {
            return stageMs;
        }

        @Override
        public String healthRegression() {
            return null;
        }

        @Override
        public long leaderlessMs() {
            return leaderlessMs;
        }
    }

    private static FleetValues release(State state, Stage stage, String mark) {
        return new FleetValues().broker("a", "z", state).release().step("a", stage, mark);
    }

    private List<ConditionalWrite> writes(FleetValues values) {
        DisruptionBudget.Observations observations =
                new DisruptionBudget.Observations(
                        Map.of(), new DisruptionBudget.ShardLayout(0, 0, 0), Set.of(), 10_000);
        return controller.nextWrites(values.view(), observations, new Observed());
    }

    /** Returns the reason of the next write, which must be the only one. */
    private String onlyReason(FleetValues values) {
        List<ConditionalWrite> writes = writes(values);
        assertEquals(writes.toString(), 1, writes.size());
        return writes.get(0).reason();
    }

    @Test
    public void aWaitingMemberDrainsUnderAPermit() {
        ConditionalWrite write = writes(release(State.SERVING, Stage.WAITING, "")).get(0);
        assertEquals("release r1: a has a permit and drains", write.reason());
        assertEquals(
                "mark=a1 by=release+r1", write.changes().get(FleetView.drainKey(Kind.BROKER, "a")));
        assertTrue(write.changes().containsKey(FleetView.permitKey(Kind.BROKER, "a")));
        assertTrue(write.expectedVersions().containsKey(FleetView.RELEASE));
    }

    @Test
    public void aDrainedMemberRestartsOnceAllHaveAppliedItsDrain() {
        FleetValues draining =
                release(State.DRAINING, Stage.DRAIN, "a1").permit(Kind.BROKER, "a", "a1");
        acknowledged = false;
        assertEquals(List.of(), writes(draining));
        acknowledged = true;
        ConditionalWrite restart = writes(draining).get(0);
        assertEquals("release r1: a is drained and restarts", restart.reason());
        assertEquals("c2", restart.changes().get(FleetView.TARGET_CONFIG + "a"));
    }

    @Test
    public void aMemberThatCrashedWhileItDrainedStartsOver() {
        assertEquals(
                "release r1: a restarted during its drain and waits again",
                onlyReason(release(State.SERVING, Stage.DRAIN, "a0")));
    }

    @Test
    public void aMemberSettlesAfterTheSettleTime() {
        FleetValues back =
                new FleetValues()
                        .with(FleetView.REGISTRATION + "a", "boot=a2 config=c2")
                        .with(FleetView.STATE + "a", "incarnation=10 state=SERVING")
                        .release()
                        .step("a", Stage.BACK, "a2");
        stageMs = 4_999;
        assertEquals(List.of(), writes(back));
        stageMs = 5_000;
        assertEquals("release r1: a has settled", onlyReason(back));
    }

    @Test
    public void aBrokerThatRestartedWithAnotherVersionHaltsTheRelease() {
        assertEquals(
                "release r1 halted: a came back with config c1, not c2",
                onlyReason(release(State.SERVING, Stage.BACK, "a1")));
    }

    @Test
    public void aStageThatTakesTooLongHaltsTheRelease() {
        stageMs = 60_001;
        assertEquals(
                "release r1 halted: a has been at drain for over 60000 ms",
                onlyReason(
                        release(State.DRAINING, Stage.DRAIN, "a1").permit(Kind.BROKER, "a", "a1")));
    }

    @Test
    public void aLongTimeWithoutALeaderHaltsTheRelease() {
        leaderlessMs = HaltRules.MAX_LEADERLESS_MS;
        assertEquals(
                "release r1 halted: no majority was in reach for 10 s",
                onlyReason(release(State.SERVING, Stage.WAITING, "")));
    }

    @Test
    public void aReleaseIsDoneOnceAllMembersHaveFinished() {
        assertEquals(
                "release r1 done: all members have c2",
                onlyReason(new FleetValues().release().step("a", Stage.UNTOUCHED, "")));
    }

    @Test
    public void aRollbackCancelsDrainsAndReturnsSettledMembers() {
        FleetView fleet =
                new FleetValues()
                        .release()
                        .step("a", Stage.DRAIN, "a1")
                        .step("b", Stage.SETTLED, "b1")
                        .step("c", Stage.WAITING, "")
                        .view();
        Map<String, String> changes = RolloutOrders.rollBack(fleet, "operator").changes();
        assertTrue(changes.get(FleetView.STEP + "a").contains("back=true stage=UNDRAIN"));
        assertTrue(changes.get(FleetView.STEP + "b").contains("back=true stage=WAITING"));
        assertTrue(changes.get(FleetView.STEP + "c").contains("back=true stage=UNTOUCHED"));
        assertTrue(changes.containsKey(FleetView.drainKey(Kind.BROKER, "a")));
    }
}
