package reeldeal.fleet.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget;

/**
 * Advances a release at the leader. The release and its steps are in the store. Each write expects
 * the version of the release, so that a halt in the log invalidates all earlier decisions, and the
 * version of the step, so that each step is taken once even if the leader changes. A rollback is
 * the same state machine applied to the members that were changed, beginning with the last wave.
 *
 * <p>Stateless apart from its rules; used on the state loop.
 */
public class RolloutController {

    /** The observations of the leader that are not in the store. */
    public interface MemberObservations {
        /**
         * Returns whether all lease holders have reported that they applied the log up to a
         * version.
         */
        boolean acknowledged(long version);

        /** Returns how long this leader has seen a step at its current stage, ms. */
        long stageMs(Step step);

        /** Returns a description of what is measurably worse on the changed members, or null. */
        String healthRegression();

        /** Returns how long there was no leader before this one, ms. */
        long leaderlessMs();
    }

    private final HaltRules haltRules;
    private final StepRules stepRules;

    /** Creates a controller with the production rules. */
    public RolloutController(DisruptionBudget budget) {
        this(new HaltRules(budget.limits()), new StepRules(budget));
    }

    /** Creates a controller with the given rules. */
    public RolloutController(HaltRules haltRules, StepRules stepRules) {
        this.haltRules = haltRules;
        this.stepRules = stepRules;
    }

    /** Returns the writes that are due now; each expects all versions that it was based on. */
    public List<ConditionalWrite> nextWrites(
            FleetView fleet,
            DisruptionBudget.Observations observations,
            MemberObservations memberObservations) {
        Release release = fleet.release();
        if (release == null
                || release.progress() == Progress.DONE
                || release.progress() == Progress.PLANNED) {
            return List.of();
        }
        List<ConditionalWrite> returns = returnWrites(fleet, observations);
        if (!release.isRunning() || !returns.isEmpty()) {
            return returns;
        }
        String haltReason = haltRules.haltReason(fleet, observations, memberObservations);
        if (haltReason != null) {
            return List.of(RolloutOrders.changeProgress(fleet, Progress.HALTED, haltReason));
        }
        List<ConditionalWrite> steps = stepWrites(fleet, memberObservations);
        return steps.isEmpty() ? startOrComplete(fleet, observations) : steps;
    }

    private List<ConditionalWrite> returnWrites(
            FleetView fleet, DisruptionBudget.Observations observations) {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (Step step : fleet.steps().values()) {
            ConditionalWrite write = stepRules.completeReturn(fleet, observations, step);
            if (write != null) {
                writes.add(write);
            }
        }
        return writes;
    }

    private List<ConditionalWrite> stepWrites(
            FleetView fleet, MemberObservations memberObservations) {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (Step step : fleet.steps().values()) {
            ConditionalWrite write = stepRules.advance(fleet, memberObservations, step);
            if (write != null) {
                writes.add(write);
            }
        }
        return writes;
    }

    private List<ConditionalWrite> startOrComplete(
            FleetView fleet, DisruptionBudget.Observations observations) {
        ConditionalWrite start = stepRules.startNext(fleet, observations);
        if (start != null) {
            return List.of(start);
        }
        if (!fleet.steps().values().stream().allMatch(Step::isFinished)) {
            return List.of();
        }
        Release release = fleet.release();
        String reason =
                release.rollingBack()
                        ? "all versions are as before"
                        : "all members have " + release.targetVersion();
        return List.of(RolloutOrders.changeProgress(fleet, Progress.DONE, reason));
    }

    /** Returns the members that run the released version, to be compared with the others. */
    public static Set<String> changedMembers(FleetView fleet) {
        Set<String> changed = new TreeSet<>();
        for (Step step : fleet.steps().values()) {
            boolean restarted = step.stage() == Stage.BACK || step.stage() == Stage.SETTLED;
            if (restarted && !step.rollingBack()) {
                changed.add(step.name());
            }
        }
        return changed;
    }
}
