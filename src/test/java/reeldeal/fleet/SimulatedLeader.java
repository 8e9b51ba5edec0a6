package reeldeal.fleet;

import java.util.Map;
import java.util.Set;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.leader.FleetController;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.rollout.RolloutHealth;

/** A node that can lead the store; it may still act as leader when another node already leads. */
final class SimulatedLeader {
    private static final DisruptionBudget.ShardLayout LAYOUT =
            new DisruptionBudget.ShardLayout(4, 4, 2);
    private static final RolloutHealth.Counts NO_COUNTS = new RolloutHealth.Counts(0, 0, 0, 0, 0);

    private final FleetSimulation fleet;
    final int id;
    private final FleetController controller;
    private final double clockRate;
    private boolean actsAsLeader;
    private boolean partitioned;

    /** The identifier of its last leadership. */
    private long leadership = -2;

    SimulatedLeader(FleetSimulation fleet, int id) {
        this.fleet = fleet;
        this.id = id;
        clockRate = fleet.drawClockRate();
        DisruptionBudget budget = fleet.modules.disruptionBudget();
        controller =
                new FleetController(
                        budget,
                        fleet.modules.rolloutController(budget),
                        fleet.modules.leaseTable(),
                        fleet.modules.outageClassifier(),
                        fleet.modules.recoveryController());
    }

    /** Starts its timer. */
    void start() {
        tick();
    }

    private long clock() {
        return (long) (fleet.now * clockRate);
    }

    boolean actsAsLeader() {
        return actsAsLeader;
    }

    void setPartitioned(boolean isPartitioned) {
        partitioned = isPartitioned;
    }

    /** Makes this node the leader, after a time without one. */
    void beginLeadership(long leaderlessMs) {
        actsAsLeader = true;
        partitioned = false;
        leadership = fleet.now * 10 + id;
        controller.beginLeadership(clock(), leaderlessMs);
    }

    /** Ends the leadership of this node, once it notices that it was deposed. */
    void endLeadership() {
        actsAsLeader = false;
        controller.endLeadership();
    }

    private void tick() {
        if (!partitioned) {
            controller.onFleetChanged(clock(), fleet.latestView);
            controller.setSearchers(endpointList(), LAYOUT);
        }
        ConditionalWrite write = actsAsLeader ? controller.nextWrite(clock()) : null;
        if (write != null) {
            long term = fleet.election.term();
            fleet.submit(
                    write,
                    partitioned || !fleet.election.isLeader(id),
                    () -> fleet.election.isLeader(id) && fleet.election.term() == term,
                    committed -> controller.onWriteEnded());
        }
        fleet.after(fleet.faultFree ? 10 : 100 + fleet.rng.nextInt(50), this::tick);
    }

    /** Returns its endpoint list, which is older for nodes with a greater ID. */
    private Map<String, ObservedSearcher> endpointList() {
        int listCount = fleet.endpointLists.size();
        return listCount == 0 ? null : fleet.endpointLists.get(Math.max(0, listCount - 1 - id));
    }

    /** Handles the heartbeat of a member, which is answered after the leadership was confirmed. */
    void onHeartbeat(SimulatedProcess member, LocalMember.SendHeartbeat heartbeat) {
        if (!actsAsLeader) {
            return;
        }
        long receivedAt = fleet.now;
        boolean isRenewed =
                controller.onHeartbeat(
                        clock(),
                        member.name,
                        heartbeat.incarnation(),
                        heartbeat.appliedVersion(),
                        fleet.extension == null ? NO_COUNTS : fleet.extension.counts(member),
                        Set.of());
        long currentLeadership = leadership;
        if (isRenewed && member.lastAnsweredLeadership == currentLeadership) {
            controller.onLivenessConfirmed(member.name);
        }
        boolean outageClassified = controller.hasClassifiedOutage();
        fleet.after(
                1 + fleet.rng.nextInt(20),
                () -> {
                    boolean isConfirmed =
                            fleet.election.isLeader(id) && fleet.election.term() <= receivedAt;
                    if (isRenewed
                            && (isConfirmed || !fleet.modules.confirmsLeadership())
                            && !member.partitioned
                            && fleet.rng.nextInt(20) > 0) {
                        fleet.after(
                                fleet.drawDelay(),
                                () ->
                                        member.run(
                                                () ->
                                                        member.onAnswer(
                                                                heartbeat,
                                                                currentLeadership,
                                                                outageClassified)));
                    }
                });
    }
}
