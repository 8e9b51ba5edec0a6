package reeldeal.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The root command of the operators' tool. Exit codes: 0 for success, 1 if the server refused the
 * request or cannot be reached or a check failed, 2 for invalid arguments or input.
 */
@Command(
        name = "reeldeal",
        description = "The query broker of Riigihangete Keskus and its zone service.",
        subcommands = {
            ZoneCommands.class,
            StoreCommands.class,
            FleetCommands.class,
            FaultInjectionCommand.class,
            SoakCommand.class,
            MeasureCommands.class,
            CommandLine.HelpCommand.class
        },
        mixinStandardHelpOptions = true,
        footer = {"", "README.md describes how to start serve and benchlink."})
public final class Commands implements Runnable {
    static final int EXIT_FAILURE = 1;
    static final int EXIT_BAD_INPUT = 2;

    /** The failure of a command: a message of one line, and the exit code. */
    static final class CommandFailedException extends Exception {
        private static final long serialVersionUID = 1L;
        final int exitCode;

        CommandFailedException(int exitCode, String message) {
            super(message);
            this.exitCode = exitCode;
        }
    }

    @Spec private CommandLine.Model.CommandSpec spec;

    /** Runs the command that the arguments name and returns its exit code. */
    public static int run(String... args) {
        return new CommandLine(new Commands())
                .setExecutionExceptionHandler(
                        (e, commandLine, parseResult) -> {
                            commandLine
                                    .getErr()
                                    .println(
                                            "reeldeal: "
                                                    + (e.getMessage() == null
                                                            ? e
                                                            : e.getMessage()));
                            return e instanceof CommandFailedException failure
                                    ? failure.exitCode
                                    : EXIT_FAILURE;
                        })
                .setParameterExceptionHandler(
                        (e, arguments) -> {
                            e.getCommandLine()
                                    .getErr()
                                    .println(
                                            "reeldeal: "
                                                    + e.getMessage()
                                                    + "; see "
                                                    + e.getCommandLine()
                                                            .getCommandSpec()
                                                            .qualifiedName()
                                                    + " --help");
                            return EXIT_BAD_INPUT;
                        })
                .execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "expected a command: serve, benchlink, zone, store, fleet, drill, soak, measure");
    }
}
