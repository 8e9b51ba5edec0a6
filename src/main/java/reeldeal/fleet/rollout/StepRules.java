package reeldeal.fleet.rollout;

import java.util.Comparator;
import java.util.List;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.rollout.RolloutController.MemberObservations;

/**
 * Decides the stages of one member in a release: waiting, drain (with a permit), restart, back,
 * settled; undrain and untouched for a member whose drain was cancelled. Each method returns the
 * write that advances one member, or null if it stays at its stage.
 */
public class StepRules {
    private final DisruptionBudget budget;

    /** Creates rules that request permits from this budget. */
    public StepRules(DisruptionBudget budget) {
        this.budget = budget;
    }

    /**
     * Adds the version of the release as a precondition, so that no decision made before a halt is
     * carried out after it.
     */
    protected void expectRelease(Release release, ConditionalWrite write) {
        write.expect(FleetView.RELEASE, release.version());
    }

    /**
     * Returns whether all brokers that could still send requests to a member have applied the
     * version that contains its drain.
     */
    protected boolean isDrainAcknowledged(MemberObservations memberObservations, long version) {
        return memberObservations.acknowledged(version);
    }

    private ConditionalWrite stepWrite(Release release, Step changed, String description) {
        String key = FleetView.STEP + changed.name();
        ConditionalWrite write =
                ConditionalWrite.withReason(
                                "release "
                                        + release.id()
                                        + ": "
                                        + changed.name()
                                        + " "
                                        + description)
                        .expect(key, changed.version())
                        .put(key, FleetCodec.encode(changed));
        expectRelease(release, write);
        return write;
    }

    /**
     * Releases the permit of a member on evidence of its return, after its restart or after its
     * drain was cancelled. Does not expect the version of the release: evidence also counts while
     * the release is halted.
     */
    ConditionalWrite completeReturn(
            FleetView fleet, DisruptionBudget.Observations observations, Step step) {
        if (step.stage() != Stage.RESTART && step.stage() != Stage.UNDRAIN) {
            return null;
        }
        Kind kind = fleet.release().kind();
        Permit permit = fleet.permits(kind).get(step.name());
        String returnEvidence =
                permit == null ? null : budget.evidence().findEvidence(fleet, observations, permit);
        if (returnEvidence == null) {
            return null;
        }
        String mark =
                kind == Kind.BROKER
                        ? fleet.members().get(step.name()).bootId()
                        : String.valueOf(observations.searchers().get(step.name()).startedAtMs());
        Stage next = step.stage() == Stage.UNDRAIN ? Stage.UNTOUCHED : Stage.BACK;
        String stepKey = FleetView.STEP + step.name();
        ConditionalWrite write =
                budget.releasePermit(fleet, permit, returnEvidence)
                        .expect(stepKey, step.version())
                        .put(stepKey, FleetCodec.encode(step.withStage(next, mark)));
        String drainKey = FleetView.drainKey(kind, step.name());
        if (fleet.version(drainKey) != 0) {
            write.put(drainKey, null);
        }
        return write;
    }

    /** Returns the write to the next stage of a member that is neither waiting nor finished. */
    ConditionalWrite advance(FleetView fleet, MemberObservations memberObservations, Step step) {
        return switch (step.stage()) {
            case DRAIN -> advanceDrain(fleet, memberObservations, step);
            case RESTART -> advanceRestart(fleet, step);
            case UNDRAIN -> advanceUndrain(fleet, step);
            case BACK -> advanceBack(fleet, memberObservations, step);
            case WAITING, SETTLED, UNTOUCHED -> null;
        };
    }

    private static boolean hasPermit(FleetView fleet, Step step) {
        return fleet.permits(fleet.release().kind()).containsKey(step.name());
    }

    /** Returns whether the member still runs the process with which the stage began. */
    private static boolean isSameProcess(FleetView fleet, Step step) {
        return currentMark(fleet, step).equals(step.processMark());
    }

    private static String currentMark(FleetView fleet, Step step) {
        return fleet.processMark(fleet.release().kind(), step.name());
    }

    private ConditionalWrite advanceDrain(
            FleetView fleet, MemberObservations memberObservations, Step step) {
        Release release = fleet.release();
        String drainKey = FleetView.drainKey(release.kind(), step.name());
        if (!isSameProcess(fleet, step) && !hasPermit(fleet, step)) {
            // The member crashed during the drain, and its permit was released because its new
            // process serves: the member starts over.
            return stepWrite(
                            release,
                            step.withStage(Stage.WAITING, ""),
                            "restarted during its drain and waits again")
                    .expect(drainKey, fleet.version(drainKey))
                    .put(drainKey, null);
        }
        Member member = fleet.members().get(step.name());
        long stateVersion = member == null ? 0 : member.stateVersion();
        long drainVersion = Math.max(fleet.version(drainKey), stateVersion);
        if (!isDrained(release, member) || !isDrainAcknowledged(memberObservations, drainVersion)) {
            return null;
        }
        ConditionalWrite write =
                stepWrite(
                        release,
                        step.withStage(Stage.RESTART, step.processMark()),
                        "is drained and restarts");
        if (release.isBrokerConfig()) {
            String version = step.rollingBack() ? step.previousVersion() : release.targetVersion();
            write.put(FleetView.TARGET_CONFIG + step.name(), version);
        }
        return write;
    }

    /**
     * Returns whether a member is drained. A broker reports that state itself, and accepts no
     * requests without a lease; searchers are drained by the brokers.
     */
    private static boolean isDrained(Release release, Member member) {
        return release.kind() == Kind.SEARCHER
                || member == null
                || member.state() == FleetView.State.DRAINING
                || !member.hasLease();
    }

    private ConditionalWrite advanceRestart(FleetView fleet, Step step) {
        if (hasPermit(fleet, step) || isSameProcess(fleet, step)) {
            return null;
        }
        return stepWrite(
                fleet.release(),
                step.withStage(Stage.BACK, currentMark(fleet, step)),
                "runs a new process, and its permit was released");
    }

    private ConditionalWrite advanceUndrain(FleetView fleet, Step step) {
        return hasPermit(fleet, step)
                ? null
                : stepWrite(
                        fleet.release(),
                        step.withStage(Stage.UNTOUCHED, step.processMark()),
                        "was left unchanged");
    }

    private ConditionalWrite advanceBack(
            FleetView fleet, MemberObservations memberObservations, Step step) {
        Release release = fleet.release();
        Member member = fleet.members().get(step.name());
        if (release.kind() == Kind.BROKER
                && step.rollingBack()
                && RolloutOrders.versionOf(release, member).equals(release.targetVersion())
                && !release.targetVersion().equals(step.previousVersion())) {
            // The broker was already restarting when the rollback was ordered, and runs the new
            // version.
            return stepWrite(
                    release,
                    step.withStage(Stage.WAITING, ""),
                    "restarted with the new version and waits for its rollback");
        }
        if (!isSameProcess(fleet, step)) {
            return stepWrite(
                    release,
                    step.withStage(Stage.BACK, currentMark(fleet, step)),
                    "restarted again before it had settled");
        }
        boolean isServing =
                release.kind() == Kind.SEARCHER
                        ? !hasPermit(fleet, step)
                        : member != null
                                && member.isServing()
                                && member.bootId().equals(step.processMark());
        return isServing && memberObservations.stageMs(step) >= release.settleMs()
                ? stepWrite(
                        release, step.withStage(Stage.SETTLED, step.processMark()), "has settled")
                : null;
    }

    /**
     * Starts the drain of the next waiting member of the current wave that gets a permit, at most
     * one per call.
     */
    ConditionalWrite startNext(FleetView fleet, DisruptionBudget.Observations observations) {
        Release release = fleet.release();
        Comparator<Step> byWave = Comparator.comparingInt(Step::wave);
        List<Step> unfinished =
                fleet.steps().values().stream()
                        .filter(step -> !step.isFinished())
                        .sorted(release.rollingBack() ? byWave.reversed() : byWave)
                        .toList();
        if (unfinished.isEmpty()) {
            return null;
        }
        int currentWave = unfinished.get(0).wave();
        for (Step step : unfinished) {
            if (step.wave() == currentWave && mayStartDrain(fleet, step)) {
                ConditionalWrite write = startDrain(fleet, observations, step);
                if (write != null) {
                    return write;
                }
            }
        }
        return null;
    }

    private static boolean mayStartDrain(FleetView fleet, Step step) {
        if (step.stage() != Stage.WAITING) {
            return false;
        }
        Member member = fleet.members().get(step.name());
        return fleet.release().kind() == Kind.SEARCHER || (member != null && member.isServing());
    }

    private ConditionalWrite startDrain(
            FleetView fleet, DisruptionBudget.Observations observations, Step step) {
        Release release = fleet.release();
        String requestedBy = "release " + release.id();
        DisruptionBudget.PermitDecision decision =
                budget.grant(
                        fleet, observations, release.kind(), step.name(), "release", requestedBy);
        if (decision.write() == null) {
            return null;
        }
        String mark = currentMark(fleet, step);
        String drainKey = FleetView.drainKey(release.kind(), step.name());
        return stepWrite(release, step.withStage(Stage.DRAIN, mark), "has a permit and drains")
                .include(decision.write())
                .expect(drainKey, fleet.version(drainKey))
                .put(drainKey, FleetCodec.encodeDrain(mark, requestedBy));
    }
}
