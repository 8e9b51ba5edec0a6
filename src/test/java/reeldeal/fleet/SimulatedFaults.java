package reeldeal.fleet;

import java.util.List;

/** Injects random faults until the simulation ends all faults. */
final class SimulatedFaults {
    private static final int KINDS = 8;
    private static final int NO_FAULT = 9;

    private final FleetSimulation fleet;

    /** How many of 12 attempts inject a fault. */
    private final int faultsInTwelve;

    SimulatedFaults(FleetSimulation fleet, int faultsInTwelve) {
        this.fleet = fleet;
        this.faultsInTwelve = faultsInTwelve;
    }

    /** Injects one fault or none, and schedules the next attempt. */
    void injectNext() {
        if (fleet.faultsEnded) {
            return;
        }
        List<SimulatedProcess> alive =
                fleet.processes.values().stream().filter(process -> process.alive).toList();
        SimulatedProcess process =
                alive.isEmpty() ? null : alive.get(fleet.rng.nextInt(alive.size()));
        int fault = fleet.rng.nextInt(12) < faultsInTwelve ? fleet.rng.nextInt(KINDS) : NO_FAULT;
        switch (fault) {
            case 4, 5 -> fleet.election.elect();
            case 6 -> killSearcher();
            case 7 -> terminateOrChangePolicy(process);
            default -> {
                if (process != null) {
                    injectProcessFault(process, fault);
                }
            }
        }
        fleet.after(200 + fleet.rng.nextInt(1_500), this::injectNext);
    }

    private void injectProcessFault(SimulatedProcess process, int fault) {
        switch (fault) {
            case 0 -> {
                fleet.addToTrace("kill " + process.boot);
                process.kill();
                fleet.after(500 + fleet.rng.nextInt(6_000), () -> fleet.startIfDead(process.name));
            }
            case 1, 2 -> {
                fleet.addToTrace("pause " + process.boot);
                process.paused = true;
                fleet.after(200 + fleet.rng.nextInt(8_000), () -> process.paused = false);
            }
            case 3 -> {
                fleet.addToTrace("partition " + process.boot);
                process.partitioned = true;
                fleet.after(200 + fleet.rng.nextInt(8_000), () -> process.partitioned = false);
            }
            default -> {}
        }
    }

    private void killSearcher() {
        SimulatedSearcher searcher =
                fleet.searchers.get("s" + fleet.rng.nextInt(FleetSimulation.SEARCHERS));
        if (searcher.up) {
            fleet.addToTrace("kill " + searcher.name);
            searcher.restart(500 + fleet.rng.nextInt(4_000));
        }
    }

    private void terminateOrChangePolicy(SimulatedProcess process) {
        if (process != null && fleet.rng.nextInt(3) == 0) {
            fleet.addToTrace("terminate " + process.boot);
            process.run(() -> process.member.terminate(process.clock(), Long.MAX_VALUE));
        } else {
            FormAttributes policy =
                    new FormAttributes()
                            .with("brokers_out", 1 + fleet.rng.nextInt(3))
                            .with("searchers_out", 1 + fleet.rng.nextInt(3))
                            .with("apart_ms", 100);
            fleet.commit(ConditionalWrite.withReason("policy").put(FleetView.POLICY, policy));
        }
    }
}
