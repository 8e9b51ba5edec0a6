package reeldeal.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import reeldeal.faultinjection.ScenarioRunner;
import reeldeal.faultinjection.StoreBenchmark;
import reeldeal.faultinjection.ZoneBenchmark;
import reeldeal.faultinjection.ZoneScriptReplay;

/** Benchmarks and replays that take long; they use only this machine. */
@Command(
        name = "measure",
        description = "Runs benchmarks on this machine, with processes and nodes on loopback.",
        mixinStandardHelpOptions = true)
final class MeasureCommands implements Runnable {
    @Spec private CommandLine.Model.CommandSpec spec;

    /** The option for the program that the measured processes run. */
    static final class ProgramOption {
        @Option(
                names = "--jar",
                paramLabel = "FILE",
                description = "The program to start (default: this one).")
        Path jar;
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "expected one of: zone, drains, check, commits, death, keys");
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    @Command(
            description =
                    "Measures a broker that hosts a zone of the given size: updates, queries, transfers, and what they cost its clients.",
            mixinStandardHelpOptions = true)
    int zone(@Mixin ProgramOption program, @Parameters(paramLabel = "RECORDS") int records)
            throws Exception {
        try (ZoneBenchmark benchmark = new ZoneBenchmark(records, program.jar, this::printLine)) {
            benchmark.run();
        }
        return 0;
    }

    @Command(
            description = {
                "Replays scripts of zone updates against a broker with simulated searchers under load.",
                "Scripts are in deploy/drill/zones. Exit code 0: drained searchers got no part of a query, and each query got one answer."
            },
            mixinStandardHelpOptions = true)
    int drains(
            @Mixin ProgramOption program,
            @Parameters(paramLabel = "SCRIPT", arity = "1..*") List<Path> scripts)
            throws Exception {
        int failedScripts = 0;
        for (Path script : scripts) {
            Path folder = Files.createTempDirectory("replay");
            try (ZoneScriptReplay replay = new ZoneScriptReplay(folder, program.jar)) {
                ScenarioRunner.Result result = replay.play(Files.readAllLines(script));
                failedScripts += result.violations().isEmpty() ? 0 : 1;
                printLine(
                        script.getFileName()
                                + ": "
                                + (result.violations().isEmpty()
                                        ? "all rules hold"
                                        : result.violations())
                                + " "
                                + result.figures()
                                + "; history in "
                                + folder);
            } catch (IllegalArgumentException | java.nio.file.NoSuchFileException e) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, script + ": " + e.getMessage());
            }
        }
        return failedScripts == 0 ? 0 : Commands.EXIT_FAILURE;
    }

    @Command(
            description =
                    "Checks all rules again on the histories that drills left in these folders.",
            mixinStandardHelpOptions = true)
    int check(@Parameters(paramLabel = "FOLDER", arity = "1..*") List<Path> folders)
            throws Exception {
        int failedFolders = 0;
        for (Path folder : folders) {
            if (!Files.isReadable(folder.resolve("history.txt"))) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, folder + ": expected a readable file history.txt");
            }
            ScenarioRunner.Result result = ScenarioRunner.check(folder);
            failedFolders += result.violations().isEmpty() ? 0 : 1;
            printLine(
                    folder.getFileName()
                            + ": "
                            + (result.violations().isEmpty()
                                    ? "all rules hold"
                                    : result.violations())
                            + " "
                            + result.figures());
        }
        return failedFolders == 0 ? 0 : Commands.EXIT_FAILURE;
    }

    @Command(
            description =
                    "Measures the commits per second of groups of three and five nodes, by number of writers.",
            mixinStandardHelpOptions = true)
    int commits() throws Exception {
        StoreBenchmark.benchmarkCommits();
        return 0;
    }

    @Command(
            description = "Measures the time from the failure of a leader to the next commit.",
            mixinStandardHelpOptions = true)
    int death() throws Exception {
        StoreBenchmark.benchmarkFailover();
        return 0;
    }

    @Command(
            description =
                    "Measures a start with the given number of keys, and writes during a compaction.",
            mixinStandardHelpOptions = true)
    int keys(@Parameters(paramLabel = "KEYS") int count) throws Exception {
        StoreBenchmark.benchmarkLargeState(count);
        return 0;
    }
}
