package reeldeal.fleet.node;

import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.recovery.RecoveryRamp;

/**
 * The configuration of a broker as a member of its fleet. Immutable.
 *
 * @param zone its availability zone
 * @param program the program's version as operators call it
 * @param times the durations of membership
 * @param recovery how the fleet recovers from an outage, null where it has no plan for that
 */
public record FleetConfig(
        String zone, String program, LocalMember.Timing timing, RecoveryRamp recovery) {
    /** With the number of starts that the data directory counts, this one included. */
    public record Counted(FleetConfig config, long starts) {}
}
