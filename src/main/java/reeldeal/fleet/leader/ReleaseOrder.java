package reeldeal.fleet.leader;

import java.util.Locale;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.rollout.RolloutOrders;

/**
 * An operator's order to the current release: {@code release start|pause|resume|halt|back
 * [reason=TEXT]}.
 */
enum ReleaseOrder {
    START("start"),
    PAUSE("pause"),
    RESUME("resume"),
    HALT("halt"),
    ROLL_BACK("back");

    private final String verb;

    ReleaseOrder(String verb) {
        this.verb = verb;
    }

    AdminResult handle(AdminRequest request) {
        FleetView fleet = request.fleet();
        Release release = fleet.release();
        if (release == null) {
            return new AdminResult.Rejection("no release has been planned");
        }
        Epoch epoch = Epoch.of(fleet);
        if (!epoch.ended() && !isAllowedInRecovery()) {
            return new AdminResult.Rejection(
                    "recovery "
                            + epoch.number()
                            + " is at step "
                            + epoch.step()
                            + "; until it ends a release can only be paused or halted");
        }
        if (!isPossible(release)) {
            return new AdminResult.Rejection(
                    "release "
                            + release.id()
                            + (release.rollingBack() ? ", rolling back," : "")
                            + " is "
                            + release.progress().stored().toLowerCase(Locale.ROOT)
                            + "; it cannot "
                            + (this == ROLL_BACK ? "roll back" : verb));
        }
        String reason = request.reason().isEmpty() ? "operator" : "operator: " + request.reason();
        return new AdminResult.Write("release " + release.id() + ": " + verb, write(fleet, reason));
    }

    private boolean isAllowedInRecovery() {
        return this == PAUSE || this == HALT;
    }

    private boolean isPossible(Release release) {
        return switch (this) {
            case START -> release.progress() == Progress.PLANNED;
            case RESUME ->
                    release.progress() == Progress.PAUSED || release.progress() == Progress.HALTED;
            case ROLL_BACK -> !release.rollingBack() && release.progress() != Progress.PLANNED;
            case PAUSE -> release.isRunning();
            case HALT -> release.isRunning() || release.progress() == Progress.PAUSED;
        };
    }

    private ConditionalWrite write(FleetView fleet, String reason) {
        return switch (this) {
            case START, RESUME -> RolloutOrders.changeProgress(fleet, Progress.RUNNING, reason);
            case PAUSE -> RolloutOrders.changeProgress(fleet, Progress.PAUSED, reason);
            case HALT -> RolloutOrders.changeProgress(fleet, Progress.HALTED, reason);
            case ROLL_BACK -> RolloutOrders.rollBack(fleet, reason);
        };
    }
}
