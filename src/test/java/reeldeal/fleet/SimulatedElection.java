package reeldeal.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Simulates the election of the store's leader, including nodes that act as leader after they were
 * deposed.
 */
final class SimulatedElection {
    private static final int NODES = 3;
    private static final int NOBODY = -1;

    private final FleetSimulation fleet;
    private final List<SimulatedLeader> nodes = new ArrayList<>();
    private int leader = NOBODY;
    private long leaderSince;

    SimulatedElection(FleetSimulation fleet) {
        this.fleet = fleet;
    }

    /** Starts all nodes, one after another. */
    void start() {
        for (int id = 0; id < NODES; id++) {
            SimulatedLeader node = new SimulatedLeader(fleet, id);
            nodes.add(node);
            node.start();
        }
    }

    boolean hasLeader() {
        return leader != NOBODY;
    }

    boolean isLeader(int id) {
        return leader == id;
    }

    /** Returns when the current leader was elected, which identifies its term. */
    long term() {
        return leaderSince;
    }

    /** Returns a node that acts as leader, usually the true leader; null if there is none. */
    SimulatedLeader drawLeader() {
        List<SimulatedLeader> actingLeaders =
                nodes.stream().filter(SimulatedLeader::actsAsLeader).toList();
        if (actingLeaders.isEmpty()) {
            return null;
        }
        boolean drawsAny = fleet.rng.nextInt(10) == 0 || !hasLeader();
        return drawsAny
                ? actingLeaders.get(fleet.rng.nextInt(actingLeaders.size()))
                : nodes.get(leader);
    }

    /**
     * Deposes the leader, which notices that only after a delay, and elects another one after a
     * while.
     */
    void elect() {
        if (hasLeader()) {
            SimulatedLeader former = nodes.get(leader);
            former.setPartitioned(fleet.rng.nextBoolean());
            fleet.after(
                    fleet.rng.nextInt(2_500),
                    () -> {
                        if (!isLeader(former.id)) {
                            former.endLeadership();
                        }
                        former.setPartitioned(false);
                    });
        }
        long leaderlessMs = fleet.rng.nextInt(6) == 0 ? 11_000 : fleet.rng.nextInt(1_000);
        leader = NOBODY;
        fleet.after(leaderlessMs, () -> beginTerm(leaderlessMs));
    }

    private void beginTerm(long leaderlessMs) {
        if (!hasLeader()) {
            leader = fleet.rng.nextInt(NODES);
            leaderSince = fleet.now;
            nodes.get(leader).beginLeadership(leaderlessMs);
            fleet.addToTrace("node " + leader + " leads");
        }
    }

    /** Ends all partitions. */
    void endPartitions() {
        nodes.forEach(node -> node.setPartitioned(false));
        if (!hasLeader()) {
            elect();
        }
    }
}
