package reeldeal.fleet.leader;

import java.util.HashMap;
import java.util.Map;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Step;

/**
 * Measures for how long this leader has observed each step of a release at its present stage. Any
 * later write of the release itself, such as its resumption, restarts the measurement. Times are ms
 * of the leader's steady clock; used on the state loop.
 */
final class StageTimer {
    /**
     * The time at which a stage was first observed; {@code version} is that of the step's last
     * write, or of the release's if that is later.
     */
    private record ObservedStage(long version, long firstObservedAt) {}

    private final Map<String, ObservedStage> stages = new HashMap<>();

    void clear() {
        stages.clear();
    }

    void onFleetChanged(FleetView fleet, long now) {
        for (Step step : fleet.steps().values()) {
            long version = Math.max(step.version(), fleet.version(FleetView.RELEASE));
            ObservedStage observed = stages.get(step.name());
            if (observed == null || observed.version() != version) {
                stages.put(step.name(), new ObservedStage(version, now));
            }
        }
    }

    /**
     * Returns how long a step has been at its stage, ms; 0 if a newer stage is not recorded yet.
     */
    long stageMs(Step step, long now) {
        ObservedStage observed = stages.get(step.name());
        return observed == null || observed.version() < step.version()
                ? 0
                : now - observed.firstObservedAt();
    }
}
