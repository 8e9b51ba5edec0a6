package reeldeal.fleet;

import java.util.List;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.rollout.RolloutOrders;

/** Simulates the operator, who plans a release, interferes with it and brings it to its end. */
final class SimulatedOperator {
    private static final String REASON = "operator";
    private static final String WRONG_VERSION = "came back with";

    private final FleetSimulation fleet;
    private final Kind kind;
    private boolean everRolledBack;
    private int planCount;

    /** When the release was started. */
    long startedAt;

    SimulatedOperator(FleetSimulation fleet, Kind kind) {
        this.fleet = fleet;
        this.kind = kind;
    }

    /** Returns how often a release may restart one member: once, and once more in a rollback. */
    int maxRestarts() {
        return (everRolledBack ? 2 : 1) + planCount - 1;
    }

    /** Plans and starts a release once all brokers serve and all searchers are known. */
    void plan() {
        FleetView latest = fleet.latestView;
        List<String> members =
                kind == Kind.BROKER
                        ? List.copyOf(latest.members().keySet())
                        : List.copyOf(fleet.searchers.keySet());
        boolean allKnown =
                latest.searchers().size() >= fleet.searchers.size()
                        && (kind == Kind.SEARCHER || members.size() >= fleet.brokerCount);
        if (!allKnown || !latest.members().values().stream().allMatch(Member::isServing)) {
            fleet.after(500, this::plan);
            return;
        }
        planCount++;
        Release release =
                new Release(
                        "r" + planCount,
                        kind,
                        "config",
                        "v1",
                        false,
                        Progress.PLANNED,
                        "",
                        500,
                        20_000,
                        0);
        List<Integer> waves = fleet.faultFree ? List.of(members.size()) : List.of(1, 2, 4);
        fleet.commit(RolloutOrders.plan(latest, release, members, waves));
        changeProgress(Progress.RUNNING);
        startedAt = fleet.now;
        if (!fleet.faultFree) {
            fleet.after(500 + fleet.rng.nextInt(20_000), this::interfere);
        }
    }

    private void changeProgress(Progress progress) {
        fleet.commit(RolloutOrders.changeProgress(fleet.latestView, progress, REASON));
    }

    /** Submits a random order that is based on an earlier view of the fleet. */
    private void interfere() {
        Release release = fleet.latestView.release();
        if (release.progress() == Progress.DONE && release.rollingBack()) {
            return;
        }
        ConditionalWrite order = drawOrder(release);
        if (order != null) {
            long decidedAt = fleet.latestView.version(FleetView.RELEASE);
            fleet.after(
                    fleet.drawDelay(),
                    () -> {
                        fleet.commit(order);
                        everRolledBack |= fleet.latestView.release().rollingBack();
                        fleet.addToTrace("operator order, based on release version " + decidedAt);
                    });
        }
        if (!fleet.faultsEnded) {
            fleet.after(1_000 + fleet.rng.nextInt(8_000), this::interfere);
        }
    }

    private ConditionalWrite drawOrder(Release release) {
        if (!release.rollingBack() && fleet.rng.nextInt(4) == 0) {
            return fleet.modules.rollBack(fleet.latestView);
        } else if (release.isRunning()) {
            Progress progress = fleet.rng.nextBoolean() ? Progress.HALTED : Progress.PAUSED;
            return RolloutOrders.changeProgress(fleet.latestView, progress, REASON);
        } else if (release.progress() != Progress.DONE) {
            return RolloutOrders.changeProgress(fleet.latestView, Progress.RUNNING, REASON);
        }
        return null;
    }

    /** Restarts the searchers whose restart the release has just ordered. */
    void restartSearchers(FleetView before) {
        Release release = fleet.latestView.release();
        for (Step step : fleet.latestView.steps().values()) {
            Step previous = before.steps().get(step.name());
            boolean isOrdered =
                    previous != null
                            && previous.stage() != step.stage()
                            && step.stage() == Stage.RESTART;
            if (isOrdered && release.kind() == Kind.SEARCHER) {
                restartSearcher(fleet.searchers.get(step.name()), step.processMark());
            }
        }
    }

    private void restartSearcher(SimulatedSearcher searcher, String mark) {
        if (searcher.startedAt != Long.parseLong(mark)) {
            return;
        }
        searcher.restartOrdered = true;
        fleet.after(
                100 + fleet.rng.nextInt(2_000),
                () -> {
                    fleet.invariants.onRestart(searcher.name, everRolledBack ? 2 : 1);
                    searcher.restart(200 + fleet.rng.nextInt(2_000));
                });
    }

    /** Resumes or rolls back a halted release, until it is done and all members have returned. */
    void finish() {
        fleet.processes.keySet().forEach(fleet::startIfDead);
        Release release = fleet.latestView.release();
        if (release != null && release.progress() == Progress.DONE) {
            if (haveAllReturned()) {
                fleet.outcome = release.rollingBack() ? "back" : "done";
                return;
            }
        } else if (release != null && !release.isRunning()) {
            resumeOrRollBack(release);
        }
        fleet.after(4_000, this::finish);
    }

    private boolean haveAllReturned() {
        return fleet.latestView.permits(Kind.BROKER).isEmpty()
                && fleet.latestView.permits(Kind.SEARCHER).isEmpty()
                && fleet.latestView.members().values().stream().allMatch(Member::isServing);
    }

    private void resumeOrRollBack(Release halted) {
        boolean hasWrongVersion = halted.reason().contains(WRONG_VERSION);
        if (hasWrongVersion && !halted.rollingBack()) {
            fleet.commit(fleet.modules.rollBack(fleet.latestView));
            everRolledBack = true;
            return;
        }
        if (hasWrongVersion) {
            // The operator restarts the process, so that it starts with the right configuration.
            SimulatedProcess wrongProcess = fleet.processes.get(halted.reason().split(" ")[0]);
            wrongProcess.markDead();
            fleet.startIfDead(wrongProcess.name);
        }
        changeProgress(Progress.RUNNING);
    }
}
