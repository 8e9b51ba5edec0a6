package reeldeal.fleet.node;

import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.recovery.RecoveryRamp;

/**
 * The configuration of a broker as a member of its fleet. Immutable.
 *
 * @param zone the broker's availability zone
 * @param program the version of the program, as named in releases
 * @param timing the durations of the lease, of heartbeats, of retries and of an exit
 * @param recovery the steps of a recovery after an outage, null if the fleet has no recovery plan
 */
public record FleetConfig(
        String zone, String program, LocalMember.Timing timing, RecoveryRamp recovery) {
    /** A configuration with the number of starts on the data directory, including this one. */
    public record WithStartCount(FleetConfig config, long starts) {}
}
