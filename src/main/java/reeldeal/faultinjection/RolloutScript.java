package reeldeal.faultinjection;

import java.util.List;
import reeldeal.fleet.FormAttributes;

/**
 * The orders of an operator in a rollout: to plan it, to start it, and to resume it or roll it back
 * when it halts.
 */
final class RolloutScript {
    private static final int ORDER_RETRY_MS = 5_000;

    private final Scenario.Rollout rollout;
    private final NodeFiles files;
    private final Programs programs;
    private final OperatorConsole console;
    private final History history;
    private String progress = "";
    private String initialProgram = "";
    private boolean rolledBack;
    private long lastOrderAtMs;

    RolloutScript(
            Scenario.Rollout rollout,
            NodeFiles files,
            Programs programs,
            OperatorConsole console,
            History history) {
        this.rollout = rollout;
        this.files = files;
        this.programs = programs;
        this.console = console;
        this.history = history;
    }

    /** Plans and starts the rollout. */
    void start() {
        FormAttributes config =
                new FormAttributes()
                        .with("version", files.rolledOutVersion())
                        .with("text", files.rolledOutConfig());
        console.require("fleet config " + config);
        initialProgram = console.list("fleet members").get(0).get("program");
        FormAttributes plan =
                new FormAttributes()
                        .with("what", programs.rollsOutProgram() ? "program" : "config")
                        .with("to", rolledOutVersion())
                        .with("waves", rollout.waves())
                        .with("settle_ms", rollout.settleMs())
                        .with("step_ms", rollout.stepMs());
        console.require("fleet release plan " + plan);
        console.require("fleet release start");
    }

    private String rolledOutVersion() {
        return programs.rollsOutProgram() ? Programs.rolledOutVersion() : files.rolledOutVersion();
    }

    private String initialVersion() {
        return programs.rollsOutProgram() ? initialProgram : files.initialVersion();
    }

    /** Queries the progress of the rollout and adds each change to the history. */
    void observe() {
        List<FormAttributes> lines = console.list("fleet release show");
        if (lines.isEmpty()) {
            return;
        }
        FormAttributes release = lines.get(0);
        String observation =
                "progress="
                        + release.get("progress")
                        + " way="
                        + release.get("way")
                        + " reason="
                        + release.get("reason").replace(' ', '_');
        if (!observation.equals(progress)) {
            progress = observation;
            history.add("operator", "progress", observation);
        }
    }

    boolean isDone() {
        return progress.contains("progress=done");
    }

    /**
     * Queries the progress of the rollout, and resumes it or rolls it back if it has halted or is
     * paused. Returns whether it is done.
     */
    boolean driveToEnd() {
        observe();
        boolean stopped =
                progress.contains("progress=halted") || progress.contains("progress=paused");
        if (stopped && history.elapsedMs() - lastOrderAtMs > ORDER_RETRY_MS) {
            lastOrderAtMs = history.elapsedMs();
            boolean rollBack =
                    rollout.onHalt() == Scenario.OnHalt.ROLL_BACK
                            && !rolledBack
                            && !progress.contains("way=back");
            boolean done = console.order(rollBack ? "fleet release back" : "fleet release resume");
            rolledBack |= done && rollBack;
        }
        return isDone();
    }

    /**
     * Returns the version that a member runs: {@code old} for the initial one, {@code new} for the
     * one rolled out, else the version itself.
     */
    String versionOf(FormAttributes member) {
        String version = member.get(programs.rollsOutProgram() ? "program" : "config");
        if (version.equals(initialVersion())) {
            return "old";
        }
        return version.equals(rolledOutVersion()) ? "new" : version;
    }
}
