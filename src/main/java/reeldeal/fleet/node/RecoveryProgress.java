package reeldeal.fleet.node;

import java.util.function.Consumer;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.recovery.BrokerRecoveryStatus;
import reeldeal.fleet.recovery.RecoveryRamp;

/**
 * Tracks this node's recovery after its start, from what it has received so far, and limits the
 * load that the broker admits accordingly. Used on the state loop.
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

    /** Creates the recovery of a broker in the given zone. */
    RecoveryProgress(RecoveryRamp ramp, String zone, FleetNode.Host host, Consumer<String> log) {
        this.ramp = ramp;
        status = new BrokerRecoveryStatus(ramp, zone);
        this.host = host;
        this.log = log;
    }

    /** Records that the store serves its old copy, because the group is unreachable. */
    void onServingStale() {
        servingStale = true;
    }

    /**
     * Records that the leader's answer to this incarnation has said that the extent of the loss is
     * certain.
     */
    void onStartClassified() {
        startClassified = true;
    }

    /**
     * Updates the share of the load that the broker admits.
     *
     * @param self this process as a member, or null while it has not registered
     * @param brokerName this broker's name; the broker counts as serving in any state
     * @param isCurrent whether this node's copy of the store is current
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
            // The searchers in the old copy may have restarted in the same outage as this process.
            allAssumedRestarted = true;
            host.assumeRestarted("");
        }
    }

    /** Returns the steps that this recovery follows. */
    RecoveryRamp ramp() {
        return ramp;
    }

    /** Returns the recovery as one line of attributes, for operators. */
    String describe() {
        return status.describe() + " judged=" + startClassified;
    }
}
