package reeldeal.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import reeldeal.config.BrokerConfig;
import reeldeal.faultinjection.Scenario;
import reeldeal.faultinjection.ScenarioReader;
import reeldeal.faultinjection.ScenarioRunner;

/** Runs a fault-injection scenario with real processes on this machine. */
@Command(
        name = "drill",
        description = {
            "Runs a fault-injection scenario: a fleet of this program on loopback, with simulated searchers and load.",
            "Injects the scenario's faults and checks all rules on the history. Exit code 0: all hold, 1: some do not."
        },
        mixinStandardHelpOptions = true)
final class FaultInjectionCommand implements Callable<Integer> {
    @Spec private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "SCENARIO",
            description = "A scenario file, such as those in deploy/drill.")
    private Path scenarioFile;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The seed of the first run (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "The number of runs, with consecutive seeds (default: ${DEFAULT-VALUE}).")
    private int runs;

    @Option(
            names = "--out",
            defaultValue = "target/drill",
            paramLabel = "FOLDER",
            description = "The folder for the results (default: ${DEFAULT-VALUE}).")
    private Path outputFolder;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            description = "The program to start (default: this one).")
    private Path jar;

    @Option(
            names = "--from",
            paramLabel = "FILE",
            description =
                    "The program that the fleet starts with; the release installs that of --jar.")
    private Path initialJar;

    /** Returns the jar that this program runs from. */
    private static Path ownJar() throws Commands.CommandFailedException {
        try {
            Path location =
                    Path.of(
                            ScenarioRunner.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            if (!location.toString().endsWith(".jar")) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT,
                        "--from: expected this program to run from a jar, or --jar FILE");
            }
            return location;
        } catch (java.net.URISyntaxException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "--from: " + e.getMessage());
        }
    }

    @Override
    public Integer call() throws Exception {
        Scenario scenario;
        try {
            scenario = ScenarioReader.read(scenarioFile);
        } catch (BrokerConfig.InvalidConfigException e) {
            throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
        }
        int failedRuns = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            Path runFolder = outputFolder.resolve(scenario.name() + "-" + runSeed).toAbsolutePath();
            if (java.nio.file.Files.exists(runFolder)) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, "--out: " + runFolder + " already exists");
            }
            try (ScenarioRunner runner =
                    new ScenarioRunner(
                            scenario,
                            runSeed,
                            runFolder,
                            initialJar != null && jar == null ? ownJar() : jar,
                            initialJar)) {
                ScenarioRunner.Result result = runner.run();
                failedRuns += result.violations().isEmpty() ? 0 : 1;
                spec.commandLine()
                        .getOut()
                        .println(
                                scenario.name()
                                        + " seed "
                                        + runSeed
                                        + ": "
                                        + (result.violations().isEmpty()
                                                ? "all rules hold"
                                                : result.violations())
                                        + " "
                                        + result.figures());
                spec.commandLine().getOut().flush();
            }
        }
        return failedRuns == 0 ? 0 : Commands.EXIT_FAILURE;
    }
}
