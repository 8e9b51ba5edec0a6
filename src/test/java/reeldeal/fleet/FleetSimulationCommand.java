package reeldeal.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs the fleet simulation from the command line: {@code run FROM TO} runs a range of seeds,
 * {@code broken MAX} prints the first seed that detects each broken rule, {@code trace SEED RULE}
 * prints the last events of a seed with the broken rules whose names contain RULE, and {@code
 * figures} prints numbers of commits and release times.
 */
final class FleetSimulationCommand {
    private FleetSimulationCommand() {}

    /** Runs one command. */
    public static void main(String[] args) {
        switch (args[0]) {
            case "trace" -> trace(Long.parseLong(args[1]), args[2]);
            case "figures" -> figures();
            case "broken" ->
                    SeededRuns.printTable(
                            BrokenFleetModules.all(),
                            modules -> seed -> runSeed(seed, modules),
                            Integer.parseInt(args[1]));
            default -> {
                long from = System.nanoTime();
                Map<String, Integer> outcomes =
                        runIntact(Long.parseLong(args[1]), Long.parseLong(args[2]));
                System.out.println(
                        outcomes + " in " + (System.nanoTime() - from) / 1_000_000 + " ms");
            }
        }
    }

    /** Runs one seed to its end. */
    static FleetSimulation runSeed(long seed, FleetSimulation.Modules modules) {
        FleetSimulation simulation = new FleetSimulation(seed, modules);
        simulation.runToEnd();
        return simulation;
    }

    /**
     * Runs seeds with intact modules, for which all invariants must hold; returns the number of
     * releases by outcome.
     */
    static Map<String, Integer> runIntact(long from, long to) {
        Map<String, Integer> outcomes = new HashMap<>();
        SeededRuns.requireAllToHold(
                from,
                to,
                seed -> new FleetSimulation(seed, new FleetSimulation.Modules()),
                FleetSimulation::runToEnd,
                FleetSimulation::trace,
                simulation -> outcomes.merge(simulation.outcome, 1, Integer::sum));
        return outcomes;
    }

    private static void trace(long seed, String rule) {
        BrokenFleetModules.all()
                .forEach(
                        (name, modules) -> {
                            if (name.contains(rule)) {
                                trace(new FleetSimulation(seed, modules));
                            }
                        });
    }

    private static void trace(FleetSimulation simulation) {
        try {
            simulation.runToEnd();
        } catch (FleetSimulation.Violation e) {
            System.out.println(e.getMessage() + "\n" + String.join("\n", simulation.trace()));
        }
    }

    private static void figures() {
        for (int members : new int[] {10, 100, 300}) {
            FleetSimulation idle =
                    new FleetSimulation(1, new FleetSimulation.Modules(), members, 0);
            idle.runUntil(30_000);
            int before = idle.commits;
            idle.runUntil(90_000);
            System.out.println(
                    members
                            + " idle members: "
                            + before
                            + " commits in the first 30 s, "
                            + (idle.commits - before)
                            + " in the next 60 s");
        }
        releaseTime(12, 1);
        releaseTime(12, 3);
        releaseTime(100, 1);
        releaseTime(100, 5);
        releaseTime(100, 20);
    }

    private static void releaseTime(int members, int maxOut) {
        FleetSimulation simulation =
                new FleetSimulation(1, new FleetSimulation.Modules(), members, maxOut);
        while (!simulation.isReleaseDone()) {
            simulation.runUntil(simulation.now + 100);
        }
        System.out.println(
                "release of "
                        + members
                        + " members with at most "
                        + maxOut
                        + " out: "
                        + (simulation.now - simulation.operator.startedAt)
                        + " ms");
    }
}
