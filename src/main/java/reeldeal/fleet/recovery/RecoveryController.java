package reeldeal.fleet.recovery;

import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.rollout.RolloutHealth;
import reeldeal.fleet.rollout.RolloutOrders;

/**
 * Advances a recovery on behalf of the leader: begins an epoch, takes its steps, takes a step back
 * if the on-time share falls, and ends the epoch. Each write expects the version of the epoch that
 * it was decided on, so that each step is taken only once even if the leader changes. Counts start
 * again with each step and with each leader.
 *
 * <p>Times are ms of the leader's steady clock; used on the state loop. The simulation overrides
 * the protected methods with broken rules, to verify that its checks detect them.
 */
public class RecoveryController {
    /** The share of ready searchers that is sufficient for any step. */
    private static final double SUFFICIENT_SEARCHER_SHARE = 0.5;

    private final RecoveryRamp ramp;
    private final OnTimeCounter counter = new OnTimeCounter();
    private long stepVersion = -1;
    private long stepStartedAt;
    private long countingStartedAt;

    /** Creates a controller that follows a ramp. */
    public RecoveryController(RecoveryRamp ramp) {
        this.ramp = ramp;
    }

    /** Resets counts and times at the beginning of this node's leadership. */
    public void beginLeadership(long now) {
        counter.clear();
        stepVersion = -1;
        stepStartedAt = now;
        countingStartedAt = now;
    }

    /** Records a process's request counts since its start. */
    public void recordCounts(String boot, RolloutHealth.Counts counts) {
        counter.record(boot, counts);
    }

    /**
     * Returns the next write, or null if none is due.
     *
     * @param readySearcherShare the share of the known searchers that are listed as ready, 1 if
     *     none is known
     */
    public ConditionalWrite nextWrite(
            long now, FleetView fleet, OutageClassifier classifier, double readySearcherShare) {
        OutageClassifier.Verdict verdict = classifier.classify(fleet);
        Epoch epoch = Epoch.of(fleet);
        if (epoch.version() != stepVersion) {
            stepVersion = epoch.version();
            stepStartedAt = now;
            resetCounts(now);
        }
        if (verdict.kind() != Epoch.Kind.NONE && verdict.isCertain()) {
            return beginEpoch(fleet, epoch, verdict);
        }
        if (epoch.ended()) {
            return classifySingleCrashes(fleet, classifier, epoch, verdict);
        }
        return epoch.held() ? null : advance(now, fleet, epoch, verdict, readySearcherShare);
    }

    private void resetCounts(long now) {
        countingStartedAt = now;
        counter.reset();
    }

    /**
     * Returns the write that marks crashes of single brokers as classified, so that they are not
     * added to later ones, or null if there are none or the verdict is uncertain.
     */
    private static ConditionalWrite classifySingleCrashes(
            FleetView fleet,
            OutageClassifier classifier,
            Epoch epoch,
            OutageClassifier.Verdict verdict) {
        boolean anyCrash =
                fleet.members().values().stream()
                        .anyMatch(member -> classifier.isUnclassifiedCrash(fleet, epoch, member));
        if (!verdict.isCertain() || !anyCrash) {
            return null;
        }
        return markClassified(
                fleet,
                ConditionalWrite.withReason(
                        "recovery: "
                                + verdict.lost()
                                + " of "
                                + verdict.total()
                                + " members were lost, classified as single crashes"));
    }

    private static ConditionalWrite markClassified(FleetView fleet, ConditionalWrite write) {
        String key = OutageClassifier.CLASSIFIED_KEY;
        return write.expect(key, fleet.version(key)).put(key, "");
    }

    /** Returns the write of the next step, the previous step or the end; null if none is due. */
    private ConditionalWrite advance(
            long now,
            FleetView fleet,
            Epoch epoch,
            OutageClassifier.Verdict verdict,
            double readySearcherShare) {
        long atStepMs = now - stepStartedAt;
        long countedMs = now - countingStartedAt;
        OnTimeCounter.Total total = counter.sinceReset();
        boolean isConclusive = total.requests() >= ramp.minimumRequests();
        if (isConclusive
                && total.onTimeShare() < ramp.badShare()
                && atStepMs >= ramp.dwellMs()
                && epoch.step() > 1) {
            return changeStep(epoch, epoch.step() - 1, "taken back: " + total.describe());
        }
        // The recovery neither advances nor ends while another outage is possible: its end would
        // mark all crashes as classified.
        boolean mayAdvance =
                isOutageCertain(verdict)
                        && mayAdvance(atStepMs, countedMs, isConclusive, total.onTimeShare());
        String reason = isConclusive ? total.describe() : "quiet";
        if (mayAdvance && epoch.step() == ramp.steps()) {
            return markClassified(
                    fleet,
                    epoch.asEnded(reason)
                            .write("recovery " + epoch.number() + " is over: " + reason));
        }
        if (!mayAdvance && isConclusive && countedMs >= ramp.idleMs()) {
            resetCounts(now); // earlier late answers do not show the present state
        }
        // The next step does not wait for missing brokers, but it waits for searchers, which have
        // to
        // serve the additional load.
        double requiredShare =
                Math.min(SUFFICIENT_SEARCHER_SHARE, ramp.share(epoch.step() + 1) / 2);
        return mayAdvance && readySearcherShare >= requiredShare
                ? changeStep(epoch, epoch.step() + 1, reason)
                : null;
    }

    /** Whether it is certain that this recovery covers all that was lost. */
    protected boolean isOutageCertain(OutageClassifier.Verdict verdict) {
        return verdict.isCertain();
    }

    /**
     * Whether a step has lasted long enough: the dwell time with answers on time, or the idle time
     * with too few requests for an on-time share.
     */
    protected boolean mayAdvance(
            long atStepMs, long countedMs, boolean isConclusive, double onTimeShare) {
        if (atStepMs < ramp.dwellMs()) {
            return false;
        }
        return isConclusive ? onTimeShare >= ramp.goodShare() : countedMs >= ramp.idleMs();
    }

    /** Returns the write that begins a new epoch and halts a release that is running or paused. */
    protected ConditionalWrite beginEpoch(
            FleetView fleet, Epoch epoch, OutageClassifier.Verdict verdict) {
        // If another zone is lost before this recovery has ended, one recovery of the fleet
        // replaces
        // both.
        boolean isSameZone = epoch.kind() == Epoch.Kind.ZONE && epoch.zone().equals(verdict.zone());
        boolean isWidened = !epoch.ended() && !isSameZone;
        Epoch next =
                epoch.next(
                        isWidened ? Epoch.Kind.FLEET : verdict.kind(),
                        isWidened ? "" : verdict.zone(),
                        verdict.lost()
                                + " of "
                                + verdict.total()
                                + " members were lost"
                                + (epoch.ended() ? "" : ", in recovery " + epoch.number()),
                        verdict.sinceVersion());
        String zone = next.kind() == Epoch.Kind.ZONE ? "zone " + next.zone() + ", " : "";
        ConditionalWrite write =
                next.write("recovery " + next.number() + " begins: " + zone + next.reason());
        // Fails the write if an operator changes the release, for example resumes it, meanwhile.
        write.expect(FleetView.RELEASE, fleet.version(FleetView.RELEASE));
        Release release = fleet.release();
        if (release != null && (release.isRunning() || release.progress() == Progress.PAUSED)) {
            String reason = "power was lost: recovery " + next.number();
            write.include(RolloutOrders.changeProgress(fleet, Progress.HALTED, reason));
        }
        return write;
    }

    /** Returns the write that moves the epoch to another step. */
    protected ConditionalWrite changeStep(Epoch epoch, int newStep, String reason) {
        return epoch.atStep(newStep, reason)
                .write(
                        "recovery "
                                + epoch.number()
                                + " moves from step "
                                + epoch.step()
                                + " to "
                                + newStep
                                + " of "
                                + ramp.steps()
                                + ": "
                                + reason);
    }
}
