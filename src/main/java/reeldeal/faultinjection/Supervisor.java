package reeldeal.faultinjection;

import reeldeal.fleet.FormAttributes;

/**
 * The periodic work of a scenario, also while it waits for a condition: restarts processes and
 * searchers that are due, and ends a raised load. Used only by the thread of the scenario.
 */
final class Supervisor {
    /** The interval between checks of a condition, ms. */
    static final int POLL_MS = 200;

    private final ProcessFleet fleet;
    private final SearcherFleet searchers;
    private final History history;
    private final OperatorConsole console;
    private final Programs programs;
    private LoadGenerator load;
    private long raisedLoadUntilMs;

    Supervisor(
            ProcessFleet fleet,
            SearcherFleet searchers,
            OperatorConsole console,
            Programs programs,
            History history) {
        this.fleet = fleet;
        this.searchers = searchers;
        this.console = console;
        this.programs = programs;
        this.history = history;
    }

    /** A condition to wait for. */
    interface Condition {
        /** Returns whether the condition holds now. */
        boolean holds() throws Exception;
    }

    /** Sets the load generator whose rate {@link #raiseLoad} raises. */
    void supervise(LoadGenerator generator) {
        load = generator;
    }

    /** Multiplies the rate of the load by a factor for a time in ms. */
    void raiseLoad(int factor, long forMs) {
        load.setRateFactor(factor);
        raisedLoadUntilMs = history.elapsedMs() + forMs;
    }

    /** Runs one round of the periodic work. */
    void supervise() throws Exception {
        fleet.supervise(this::installProgram);
        if (load != null && raisedLoadUntilMs > 0 && history.elapsedMs() > raisedLoadUntilMs) {
            raisedLoadUntilMs = 0;
            load.setRateFactor(1);
        }
        searchers.supervise(fleet.brokers());
    }

    /**
     * Supervises until a condition holds. Adds a violation to the history if it does not hold
     * within the timeout.
     */
    void await(long timeoutMs, String description, Condition condition) throws Exception {
        long deadlineMs = history.elapsedMs() + timeoutMs;
        while (!condition.holds()) {
            if (history.elapsedMs() > deadlineMs) {
                history.add(
                        "drill",
                        "broken",
                        "condition not met within " + timeoutMs + " ms: " + description);
                return;
            }
            supervise();
            Thread.sleep(POLL_MS);
        }
    }

    /**
     * Installs the program before a rollout restarts a broker, as the operators' deployment does:
     * the initial program if the rollout goes back, else the one rolled out.
     */
    private void installProgram(BrokerProcess broker) {
        if (!programs.rollsOutProgram()) {
            return;
        }
        for (FormAttributes step : console.list("fleet release show")) {
            if (step.get("name").equals(broker.name) && step.get("stage").equals("restart")) {
                broker.install(
                        step.get("way").equals("back")
                                ? programs.initialCommand()
                                : programs.rolledOutCommand());
            }
        }
    }
}
