package reeldeal.fleet.rollout;

import java.util.Locale;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.BudgetLimits;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.rollout.RolloutController.MemberObservations;

/** The rules that halt a running release until an operator resumes it or rolls it back. */
public class HaltRules {
    /** A release halts if there was no leader for at least this time, ms. */
    public static final long MAX_LEADERLESS_MS = 10_000;

    private final BudgetLimits limits;

    /** Creates rules that halt a release if these limits are exceeded, among other reasons. */
    public HaltRules(BudgetLimits limits) {
        this.limits = limits;
    }

    /** Returns why the running release must halt, or null if it may continue. */
    protected String haltReason(
            FleetView fleet,
            DisruptionBudget.Observations observations,
            MemberObservations memberObservations) {
        long leaderlessMs = memberObservations.leaderlessMs();
        if (leaderlessMs >= MAX_LEADERLESS_MS) {
            return "no majority was in reach for " + leaderlessMs / 1_000 + " s";
        }
        String violation = limits.violation(fleet, observations);
        if (violation != null) {
            return "the budget is gone: " + violation;
        }
        Release release = fleet.release();
        for (Step step : fleet.steps().values()) {
            if (isOverdue(release, step, memberObservations.stageMs(step))) {
                return step.name()
                        + " has been at "
                        + step.stage().stored().toLowerCase(Locale.ROOT)
                        + " for over "
                        + release.stepMs()
                        + " ms";
            }
            String wrongVersion = wrongVersion(fleet, step);
            if (wrongVersion != null) {
                return wrongVersion;
            }
        }
        return release.rollingBack() ? null : memberObservations.healthRegression();
    }

    private static boolean isOverdue(Release release, Step step, long stageMs) {
        return switch (step.stage()) {
            case DRAIN, RESTART, UNDRAIN -> stageMs > release.stepMs();
            case BACK -> stageMs > release.stepMs() + release.settleMs();
            case WAITING, SETTLED, UNTOUCHED -> false;
        };
    }

    /**
     * Returns a description of a broker that restarted with another version than expected, or null.
     */
    private static String wrongVersion(FleetView fleet, Step step) {
        Release release = fleet.release();
        if (release.kind() != Kind.BROKER || !isVersionExpected(fleet, step)) {
            return null;
        }
        String actual = RolloutOrders.versionOf(release, fleet.members().get(step.name()));
        String expected = step.rollingBack() ? step.previousVersion() : release.targetVersion();
        // A broker that was already restarting when the rollback was ordered may run the new
        // version.
        boolean restartedBeforeRollback =
                step.rollingBack()
                        && step.stage() == Stage.BACK
                        && actual.equals(release.targetVersion());
        if (actual.equals(expected) || restartedBeforeRollback) {
            return null;
        }
        return step.name()
                + " came back with "
                + release.artifact()
                + " "
                + actual
                + ", not "
                + expected;
    }

    /**
     * Returns whether a broker should have the version of its step by now. This includes settled
     * brokers, which may have crashed and restarted with any version.
     */
    private static boolean isVersionExpected(FleetView fleet, Step step) {
        return switch (step.stage()) {
            case BACK -> fleet.processMark(Kind.BROKER, step.name()).equals(step.processMark());
            case SETTLED -> fleet.members().containsKey(step.name());
            default -> false;
        };
    }
}
