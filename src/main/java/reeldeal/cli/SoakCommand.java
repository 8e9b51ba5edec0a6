package reeldeal.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reeldeal.faultinjection.soak.FaultSoak;
import reeldeal.faultinjection.soak.SyscallFaults;

/** Runs the randomized fault soak with real processes on this machine. */
@Command(
        name = "soak",
        description = {
            "Runs brokers on loopback whose system calls, disks and clocks fail at random, with clients and searchers that",
            "misbehave, and checks the protocol's rules. Needs Linux and a C compiler. Exit code 0: all hold, 1: some do not."
        },
        mixinStandardHelpOptions = true)
final class SoakCommand implements Callable<Integer> {
    @Spec private CommandLine.Model.CommandSpec spec;

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
            names = "--brokers",
            defaultValue = "10",
            description = "The number of broker processes (default: ${DEFAULT-VALUE}).")
    private int brokers;

    @Option(
            names = "--groups",
            defaultValue = "0",
            description =
                    "How many groups of three brokers have a store and a fleet (default: ${DEFAULT-VALUE}).")
    private int groups;

    @Option(
            names = "--seconds",
            defaultValue = "15",
            description = "How long faults are injected in each run (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--crowd", description = "Idle clients fill the connections of some brokers.")
    private boolean crowd;

    @Option(
            names = "--out",
            defaultValue = "target/soak",
            paramLabel = "FOLDER",
            description = "The folder for the brokers' files and logs (default: ${DEFAULT-VALUE}).")
    private Path outputFolder;

    @Override
    public Integer call() throws Exception {
        if (brokers < 1 || groups < 0 || 3 * groups > brokers || seconds < 1) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT,
                    "expected brokers and seconds of at least 1, and at most one group for three brokers");
        }
        Path library = SyscallFaults.compile(Files.createDirectories(outputFolder));
        FaultSoak.Size size = new FaultSoak.Size(brokers, groups, seconds, crowd);
        int failedRuns = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            Path folder = outputFolder.resolve("run-" + runSeed + "-" + System.nanoTime());
            FaultSoak.Result result = new FaultSoak(size, runSeed, library, folder).run();
            failedRuns += result.violations().isEmpty() ? 0 : 1;
            report(runSeed, result);
        }
        return failedRuns == 0 ? 0 : Commands.EXIT_FAILURE;
    }

    private void report(long runSeed, FaultSoak.Result result) {
        java.io.PrintWriter out = spec.commandLine().getOut();
        result.violations().forEach(violation -> out.println("  " + violation));
        out.println(
                "soak seed "
                        + runSeed
                        + ": "
                        + (result.violations().isEmpty() ? "all rules hold" : "BROKEN")
                        + " "
                        + result.counts());
        out.flush();
    }
}
