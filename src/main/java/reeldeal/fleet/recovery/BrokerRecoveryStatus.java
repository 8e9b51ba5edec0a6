package reeldeal.fleet.recovery;

import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;

/**
 * One broker's progress after its start, and the share of the incoming load that it admits until it
 * serves all of it. The broker serves all once the leader has classified its start as that of a
 * single broker. In a recovery that affects its zone it follows the recovery's steps, and while it
 * cannot reach the group it serves a configured share. A broker that has once served all is never
 * restricted again, and keeps serving if the group loses its majority.
 *
 * <p>The state is in the memory of one process; used on the state loop.
 */
public class BrokerRecoveryStatus {
    /** The stages of a start, of which {@link #SERVING} is the last. */
    public enum Stage {
        /** The data directory has been read; the group has not been heard yet. */
        AWAITING_GROUP("group"),
        /** The group was not reached in time; the broker serves from its old copy. */
        SERVING_STALE("alone"),
        /** The group has been heard; the leader has not classified this start yet. */
        AWAITING_CLASSIFICATION("judging"),
        /** The broker has no endpoint list yet. */
        AWAITING_SEARCHERS("list"),
        /** A recovery limits the admitted load to a share. */
        RAMPING_UP("opening"),
        /** All of the load is admitted. */
        SERVING("serving");

        private final String label;

        Stage(String label) {
            this.label = label;
        }

        /** Returns the name of the stage in operators' reports and in the log. */
        public String label() {
            return label;
        }
    }

    /**
     * State that this node observes itself and the store does not hold.
     *
     * @param groupHeard whether the group has been heard since the start
     * @param servingStale whether the store serves its old copy, because the group is unreachable
     * @param startClassified whether an answer of the leader to this incarnation has said that the
     *     extent of the loss is certain
     * @param searchersListed whether the broker has an endpoint list
     */
    public record Inputs(
            boolean groupHeard,
            boolean servingStale,
            boolean startClassified,
            boolean searchersListed) {}

    private final RecoveryRamp ramp;
    private final String zone;
    private Stage stage = Stage.AWAITING_GROUP;
    private double admittedShare;
    private String reason = "the group was not heard yet";
    private boolean startClassified;
    private boolean servedAll;
    private long restartedSearchersEpoch;
    private String restartedSearchersZone = "";

    /** Creates the status of a broker in the given zone that has just started. */
    public BrokerRecoveryStatus(RecoveryRamp ramp, String zone) {
        this.ramp = ramp;
        this.zone = zone;
    }

    /**
     * Updates the stage and the admitted share.
     *
     * @param fleet this node's copy of the fleet's state
     * @param self this process as a member, or null while it has not registered
     * @return whether the stage or the admitted share has changed
     */
    public boolean update(FleetView fleet, Member self, Inputs inputs) {
        Epoch epoch = Epoch.of(fleet);
        startClassified |= inputs.startClassified() && self != null;
        Stage previousStage = stage;
        double previousShare = admittedShare;
        if (!inputs.groupHeard()) {
            awaitGroup(inputs.servingStale());
        } else if (servedAll) {
            set(Stage.SERVING, 1, "");
        } else if (epoch.affects(zone)) {
            followRecovery(epoch);
        } else if (!startClassified) {
            set(
                    Stage.AWAITING_CLASSIFICATION,
                    ramp.share(1),
                    "the leader has not judged yet what was lost");
        } else if (!inputs.searchersListed()) {
            set(Stage.AWAITING_SEARCHERS, 1, "no list of searchers yet");
        } else {
            servedAll = true;
            set(Stage.SERVING, 1, "");
        }
        return stage != previousStage || admittedShare != previousShare;
    }

    private void awaitGroup(boolean servingStale) {
        if (servingStale) {
            set(Stage.SERVING_STALE, ramp.isolatedShare(), "the group is out of reach: old copy");
        } else {
            set(Stage.AWAITING_GROUP, 0, "the group was not heard yet");
        }
    }

    /**
     * Follows the recovery's steps. Stays at the share of the first step until the leader has
     * classified this start, which may be part of another outage.
     */
    private void followRecovery(Epoch epoch) {
        restartedSearchersEpoch = epoch.number();
        restartedSearchersZone = epoch.kind() == Epoch.Kind.ZONE ? epoch.zone() : "";
        set(
                Stage.RAMPING_UP,
                ramp.share(startClassified ? epoch.step() : 1),
                "recovery "
                        + epoch.number()
                        + " is at step "
                        + epoch.step()
                        + " of "
                        + ramp.steps()
                        + (epoch.held() ? ", held" : "")
                        + (startClassified ? "" : ", this start not judged yet")
                        + ": "
                        + epoch.reason());
    }

    private void set(Stage newStage, double newShare, String newReason) {
        stage = newStage;
        admittedShare = newShare;
        reason = newReason;
    }

    /** Returns the present stage. */
    public Stage stage() {
        return stage;
    }

    /** Returns the share of the incoming load that is admitted, from 0 to 1. */
    public double admittedShare() {
        return admittedShare;
    }

    /**
     * Returns the number of the last recovery that this broker followed, in which its searchers
     * have to be assumed restarted, or 0 if it has followed none.
     */
    public long restartedSearchersEpoch() {
        return restartedSearchersEpoch;
    }

    /** Returns the zone whose searchers have to be assumed restarted, "" for all zones. */
    public String restartedSearchersZone() {
        return restartedSearchersZone;
    }

    /** Returns the status as one line of attributes, for operators and the log. */
    public String describe() {
        return "stage="
                + stage.label()
                + " share="
                + admittedShare
                + " why="
                + reason.replace(' ', '_');
    }
}
