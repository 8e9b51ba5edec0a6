package reeldeal.fleet.node;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.recovery.RecoveryRamp;
import reeldeal.fleet.rollout.RolloutHealth;

/** Tests the calls that a node makes to its broker during its recovery. */
public class RecoveryProgressTest {
    private final List<String> calls = new ArrayList<>();
    private final RecoveryProgress progress =
            new RecoveryProgress(
                    RecoveryRamp.DEFAULT, "x", new RecordingHost(), line -> calls.add(line));
    private final FleetView fleet =
            new FleetValues()
                    .broker("a", "x", State.STARTING)
                    .broker("b", "x", State.SERVING)
                    .view();

    private final class RecordingHost implements FleetNode.Host {
        @Override
        public void drain() {}

        @Override
        public void serve() {}

        @Override
        public void exit(String reason) {}

        @Override
        public void setAdmissionQuota(double share, double retryAfterMs, int brokers) {
            calls.add("admit " + share + " of " + brokers);
        }

        @Override
        public void assumeRestarted(String zone) {
            calls.add("restarted " + zone);
        }

        @Override
        public RolloutHealth.Counts counts() {
            return new RolloutHealth.Counts(0, 0, 0, 0, 0);
        }

        @Override
        public Set<String> ejected() {
            return Set.of();
        }

        @Override
        public Map<String, ObservedSearcher> searchers() {
            return Map.of();
        }

        @Override
        public DisruptionBudget.ShardLayout shards() {
            return new DisruptionBudget.ShardLayout(0, 0, 0);
        }
    }

    private List<String> update(boolean isCurrent) {
        calls.clear();
        progress.update(fleet, fleet.members().get("a"), "a", isCurrent);
        return calls;
    }

    @Test
    public void aBrokerThatServesFromItsOldCopyAssumesThatAllSearchersRestarted() {
        progress.onServingStale();
        assertEquals(
                List.of(
                        "recovery: stage=alone share=0.5"
                                + " why=the_group_is_out_of_reach:_old_copy",
                        "restarted ",
                        "admit 0.5 of 0"),
                update(false));
        assertEquals("nothing has changed", List.of(), update(false));
    }

    @Test
    public void aBrokerServesAllOnceItsStartIsClassified() {
        assertEquals(
                List.of(
                        "recovery: stage=judging share=0.25"
                                + " why=the_leader_has_not_judged_yet_what_was_lost",
                        "admit 0.25 of 2"),
                update(true));
        progress.onStartClassified();
        assertEquals(
                List.of("recovery: stage=serving share=1.0 why=", "admit 1.0 of 2"), update(true));
        assertEquals("stage=serving share=1.0 why= judged=true", progress.describe());
    }
}
