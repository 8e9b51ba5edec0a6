package reeldeal.fleet.recovery;

import java.util.List;

/**
 * The steps in which a fleet restores service after an outage. Shares are from 0 to 1.
 *
 * @param shares the share of the load that is admitted at each step; the last one is 1
 * @param dwellMs the minimum time at a step, ms
 * @param goodShare the minimum on-time share at which the next step is taken
 * @param badShare the on-time share below which a step is taken back
 * @param minimumRequests the minimum number of requests for which the on-time share counts
 * @param idleMs the time after which the next step is taken even with fewer requests, ms
 * @param outageShare the minimum share of the members, of the fleet or of a zone, whose loss counts
 *     as an outage and not as that of single brokers
 * @param isolatedShare the share of the load that a broker serves from its old copy while it has
 *     not reached the group since its start
 */
public record RecoveryRamp(
        List<Double> shares,
        long dwellMs,
        double goodShare,
        double badShare,
        long minimumRequests,
        long idleMs,
        double outageShare,
        double isolatedShare) {
    /** The ramp that is used if the configuration sets none. */
    public static final RecoveryRamp DEFAULT =
            new RecoveryRamp(List.of(0.25, 0.5, 0.75, 1.0), 500, 0.9, 0.7, 20, 2_000, 0.8, 0.5);

    /** Returns the number of steps. */
    public int steps() {
        return shares.size();
    }

    /** Returns the share admitted at a step, from 1; other steps count as the first or the last. */
    public double share(int step) {
        return shares.get(Math.max(1, Math.min(step, steps())) - 1);
    }
}
