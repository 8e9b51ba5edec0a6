package reeldeal.fleet;

import reeldeal.fleet.disruption.ObservedSearcher;

/** A searcher that can be restarted. */
final class SimulatedSearcher {
    static final long WARM_UP_MS = 1_500;
    private static final int CELLS = 4;

    private final FleetSimulation fleet;
    final String name;
    private final int cell;
    boolean up = true;
    long startedAt = 1;

    /** Whether a release has ordered a restart that has not happened yet. */
    boolean restartOrdered;

    private int restarts;

    SimulatedSearcher(FleetSimulation fleet, int index) {
        this.fleet = fleet;
        name = "s" + index;
        cell = index % CELLS;
    }

    /**
     * Stops the searcher and starts it again after a delay. If it is stopped again meanwhile, only
     * the later restart counts.
     */
    void restart(long downMs) {
        up = false;
        int restart = ++restarts;
        fleet.after(
                downMs,
                () -> {
                    if (restart == restarts) {
                        up = true;
                        startedAt = Math.max(startedAt + 1, fleet.now);
                        restartOrdered = false;
                    }
                });
    }

    private long uptimeMs() {
        return fleet.now - startedAt;
    }

    boolean isWarm() {
        return uptimeMs() >= WARM_UP_MS;
    }

    /**
     * Returns its capacity, which rises from {@code coldCapacity} at its start to 1; 0 while down.
     */
    double capacity(long warmUpMs, double coldCapacity) {
        return up ? Math.min(1, coldCapacity + (1 - coldCapacity) * uptimeMs() / warmUpMs) : 0;
    }

    ObservedSearcher observed() {
        return new ObservedSearcher(
                name, "a", "k", cell, startedAt, true, startedAt == 1 || isWarm(), false);
    }
}
