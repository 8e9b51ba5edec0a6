package reeldeal.fleet.node;

import java.util.function.Consumer;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.recovery.BrokerRecoveryStatus;
import reeldeal.fleet.recovery.RecoveryRamp;

/**
 * This node's recovery after its start: what it has heard so far, and what the broker admits by
 * that. Used on the state loop.
 */
final class RecoveryProgress {
    private final RecoveryRamp ramp;
    private final BrokerRecoveryStatus status;
    private final FleetNode.Host host;
    private final Consumer<String> log;
    private boolean groupHeard;
    private boolean servingStale;
    private boolean startClassified;
    private int lastBrokerCount = -1;
    private long lastRestartedEpoch;
    private boolean allAssumedRestarted;

    /** The recovery of a broker of this zone. */
    RecoveryProgress(RecoveryRamp ramp, String zone, FleetNode.Host host, Consumer<String> log) {
        this.ramp = ramp;
        status = new BrokerRecoveryStatus(ramp, zone);
        this.host = host;
        this.log = log;
    }

    /** The store gives out its old copy, the group being out of reach. */
    void onServingStale() {
        servingStale = true;
    }

    /** The leader is certain what was lost, by its answer to this incarnation. */
    void onStartClassified() {
        startClassified = true;
    }

    /**
     * Updates the share of the load that the broker admits.
     *
     * @param me this process as a member, or null
     * @param name this broker's name, which counts as serving
     * @param isCurrent whether this node's copy is current
     */
    void update(FleetView fleet, Member self, String brokerName, boolean isCurrent) {
        groupHeard |= isCurrent;
        int brokerCount =
                (int)
                        fleet.members().values().stream()
                                .filter(
                                        member ->
                                                member.isServing()
                                                        || member.name().equals(brokerName))
                                .count();
        boolean hasChanged =
                status.update(
                        fleet,
                        self,
                        new BrokerRecoveryStatus.Inputs(
                                groupHeard,
                                servingStale,
                                startClassified,
                                host.searchers() != null));
        if (hasChanged) {
            log.accept("recovery: " + status.describe());
        }
        assumeRestartedSearchers();
        if (hasChanged || brokerCount != lastBrokerCount) {
            lastBrokerCount = brokerCount;
            host.setAdmissionQuota(
                    status.admittedShare(), (double) ramp.dwellMs(), groupHeard ? brokerCount : 0);
        }
    }

    private void assumeRestartedSearchers() {
        if (status.restartedSearchersEpoch() > lastRestartedEpoch) {
            lastRestartedEpoch = status.restartedSearchersEpoch();
            host.assumeRestarted(status.restartedSearchersZone());
        } else if (status.stage() == BrokerRecoveryStatus.Stage.SERVING_STALE
                && !allAssumedRestarted) {
            // Searchers of the old copy may have restarted in the same outage as this process.
            allAssumedRestarted = true;
            host.assumeRestarted("");
        }
    }

    /** The steps that it follows. */
    RecoveryRamp ramp() {
        return ramp;
    }

    /** One line of attributes for operators. */
    String describe() {
        return status.describe() + " judged=" + startClassified;
    }
}
