package reeldeal.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import reeldeal.config.BrokerConfig;
import reeldeal.fleet.ConfigVersion;
import reeldeal.fleet.FormAttributes;

/**
 * Commands on a fleet: its members, drains and the permits for them, releases and recovery. Any
 * node of the store's group accepts them.
 */
@Command(
        name = "fleet",
        description =
                "Shows the brokers of a fleet, drains brokers and searchers, and runs releases.",
        mixinStandardHelpOptions = true,
        subcommands = {FleetCommands.ReleaseCommands.class, FleetCommands.RecoveryCommands.class})
public final class FleetCommands implements Runnable {
    private static final int WATCH_POLL_INTERVAL_MS = 500;

    @Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "expected a subcommand: members, work, permits, policy, drain, undrain,"
                        + " forget, release or recovery");
    }

    /** The output option, and the formatting of a response as a table or as JSON. */
    static final class OutputFormat {
        enum Output {
            table,
            json
        }

        @Option(
                names = {"-o", "--output"},
                defaultValue = "table",
                description = "${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}.")
        private Output output;

        /**
         * Formats lines of {@code key=value} attributes as columns, or as a JSON array of objects.
         */
        String format(String answer) {
            List<Map<String, String>> rows = new ArrayList<>();
            for (String line : answer.split("\n")) {
                if (!line.isBlank()) {
                    Map<String, String> row = new LinkedHashMap<>();
                    for (String attribute : line.split(" ")) {
                        int equals = attribute.indexOf('=');
                        if (equals > 0) {
                            String key = attribute.substring(0, equals);
                            row.put(key, FormAttributes.of(attribute).get(key));
                        }
                    }
                    rows.add(row);
                }
            }
            return output == Output.json ? json(rows) : table(rows);
        }

        private static String json(List<Map<String, String>> rows) {
            StringWriter text = new StringWriter();
            try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
                json.useDefaultPrettyPrinter();
                json.writeStartArray();
                for (Map<String, String> row : rows) {
                    json.writeStartObject();
                    for (Map.Entry<String, String> attribute : row.entrySet()) {
                        if (attribute.getValue().matches("true|false")) {
                            json.writeBooleanField(
                                    attribute.getKey(), attribute.getValue().equals("true"));
                        } else if (attribute.getValue().matches("0|[1-9][0-9]{0,17}")
                                && !attribute.getKey().matches("name|config|program|to|from")) {
                            json.writeNumberField(
                                    attribute.getKey(), Long.parseLong(attribute.getValue()));
                        } else {
                            json.writeStringField(attribute.getKey(), attribute.getValue());
                        }
                    }
                    json.writeEndObject();
                }
                json.writeEndArray();
            } catch (IOException e) {
                throw new IllegalStateException(e); // writing to memory throws no IOException
            }
            return text.toString();
        }

        /**
         * Formats consecutive rows with the same columns as one table; other columns begin another.
         */
        private static String table(List<Map<String, String>> rows) {
            StringBuilder text = new StringBuilder();
            for (int from = 0; from < rows.size(); ) {
                Set<String> columns = new LinkedHashSet<>(rows.get(from).keySet());
                int to = from;
                while (to < rows.size() && rows.get(to).keySet().equals(columns)) {
                    to++;
                }
                List<Map<String, String>> tableRows = rows.subList(from, to);
                List<String> lines = new ArrayList<>();
                lines.add("");
                tableRows.forEach(row -> lines.add(""));
                for (String column : columns) {
                    int width =
                            Math.max(
                                            column.length(),
                                            tableRows.stream()
                                                    .mapToInt(row -> row.get(column).length())
                                                    .max()
                                                    .orElse(0))
                                    + 2;
                    lines.set(0, lines.get(0) + column + " ".repeat(width - column.length()));
                    for (int i = 0; i < tableRows.size(); i++) {
                        String value = tableRows.get(i).get(column);
                        lines.set(
                                i + 1,
                                lines.get(i + 1) + value + " ".repeat(width - value.length()));
                    }
                }
                lines.forEach(line -> text.append(line.stripTrailing()).append('\n'));
                from = to;
            }
            return text.toString().stripTrailing();
        }
    }

    private static void printLine(CommandLine.Model.CommandSpec spec, String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    @Command(
            description =
                    "Lists all brokers: state, incarnation, versions and time since the last heartbeat.",
            mixinStandardHelpOptions = true)
    int members(@Mixin NodeTarget target, @Mixin OutputFormat format)
            throws Commands.CommandFailedException {
        printLine(spec, format.format(target.sendRequest("fleet members")));
        return 0;
    }

    @Command(
            description = "Shows the work in progress as one broker sees it, or one record.",
            mixinStandardHelpOptions = true)
    int work(
            @Mixin NodeTarget target,
            @Mixin OutputFormat format,
            @Parameters(
                            paramLabel = "CLASS KEY",
                            arity = "0..2",
                            description =
                                    "The class of a record and the idempotency key that its client sent.")
                    List<String> record)
            throws Commands.CommandFailedException {
        printLine(
                spec,
                format.format(
                        target.sendRequest(
                                "work " + (record == null ? "" : String.join(" ", record)))));
        return 0;
    }

    @Command(
            description =
                    "Lists the members that are or may be out of service, the reasons, and whether the budget is exceeded.",
            mixinStandardHelpOptions = true)
    int permits(@Mixin NodeTarget target, @Mixin OutputFormat format)
            throws Commands.CommandFailedException {
        printLine(spec, format.format(target.sendRequest("fleet permits")));
        return 0;
    }

    @Command(
            description = "Shows the policy, or changes the settings given as KEY=VALUE.",
            mixinStandardHelpOptions = true)
    int policy(
            @Mixin NodeTarget target,
            @Mixin OutputFormat format,
            @Parameters(paramLabel = "KEY=VALUE", arity = "0..*") Map<String, String> settings)
            throws Commands.CommandFailedException {
        FormAttributes attributes = new FormAttributes();
        if (settings != null) {
            settings.forEach(attributes::with);
        }
        printLine(spec, format.format(target.sendRequest("fleet policy " + attributes)));
        return 0;
    }

    private int sendOrder(NodeTarget target, String verb, String name, String kind, String reason)
            throws Commands.CommandFailedException {
        printLine(
                spec,
                target.sendRequest(
                        "fleet "
                                + verb
                                + " "
                                + new FormAttributes()
                                        .with("name", name)
                                        .with("kind", kind)
                                        .with("reason", reason)));
        return 0;
    }

    @Command(
            description = "Drains a broker or a searcher if the policy allows it.",
            mixinStandardHelpOptions = true)
    int drain(
            @Mixin NodeTarget target,
            @Parameters(paramLabel = "NAME") String name,
            @Option(
                            names = "--kind",
                            defaultValue = "",
                            description = "broker or searcher; needed if one of each has the name.")
                    String kind,
            @Option(names = "--reason", defaultValue = "") String reason)
            throws Commands.CommandFailedException {
        return sendOrder(target, "drain", name, kind, reason);
    }

    @Command(description = "Cancels a drain.", mixinStandardHelpOptions = true)
    int undrain(
            @Mixin NodeTarget target,
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--kind", defaultValue = "") String kind)
            throws Commands.CommandFailedException {
        return sendOrder(target, "undrain", name, kind, "");
    }

    @Command(
            description =
                    "Declares that a broker or a searcher will not return, and frees its slot without further evidence.",
            mixinStandardHelpOptions = true)
    int forget(
            @Mixin NodeTarget target,
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--kind", defaultValue = "") String kind,
            @Option(names = "--reason", required = true) String reason)
            throws Commands.CommandFailedException {
        return sendOrder(target, "forget", name, kind, reason);
    }

    /** Commands on the recovery of a fleet from a loss of power. */
    @Command(
            name = "recovery",
            description =
                    "Shows the recovery of the fleet from a loss of power, holds it or forces its steps.",
            mixinStandardHelpOptions = true)
    static final class RecoveryCommands implements Runnable {
        @Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "expected show, hold, resume, force or forget");
        }

        @Command(
                description =
                        "Shows the recovery, the step of the broker that responds, and the reason for which it waits.",
                mixinStandardHelpOptions = true)
        int show(@Mixin NodeTarget target, @Mixin OutputFormat format)
                throws Commands.CommandFailedException {
            printLine(spec, format.format(target.sendRequest("fleet recovery show")));
            return 0;
        }

        @Command(
                description =
                        "Holds the recovery at its step (hold), continues it (resume), takes the next step now (force), or"
                                + " declares that a zone will not return (forget ZONE).",
                mixinStandardHelpOptions = true)
        int order(
                @Mixin NodeTarget target,
                @Parameters(paramLabel = "hold|resume|force|forget") String verb,
                @Parameters(paramLabel = "ZONE", arity = "0..1", defaultValue = "") String zone,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            printLine(
                    spec,
                    target.sendRequest(
                            "fleet recovery "
                                    + verb
                                    + " "
                                    + new FormAttributes()
                                            .with("name", zone)
                                            .with("reason", reason)));
            return 0;
        }
    }

    /** Commands on releases: rollouts of a configuration or of a program version. */
    @Command(
            name = "release",
            description = "Plans, starts, halts and rolls back releases.",
            mixinStandardHelpOptions = true)
    static final class ReleaseCommands implements Runnable {
        @Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "expected plan, start, show, watch, pause, resume, halt or back");
        }

        @Command(
                description =
                        "Plans the release of a configuration, which each broker applies at its restart, or of a program,"
                                + " which the operator's own agent installs.",
                mixinStandardHelpOptions = true)
        int plan(
                @Mixin NodeTarget target,
                @Option(names = "--config", paramLabel = "FILE") Path config,
                @Option(names = "--program", paramLabel = "VERSION") String program,
                @Option(
                                names = "--searchers",
                                description =
                                        "Install the program on searchers instead of brokers.")
                        boolean searchers,
                @Option(
                                names = "--members",
                                defaultValue = "",
                                paramLabel = "A,B",
                                description = "The members to change (default: all).")
                        String members,
                @Option(
                                names = "--waves",
                                defaultValue = "1,2,4",
                                description =
                                        "The number of members in each wave; the last number applies to all later waves.")
                        String waves,
                @Option(names = "--settle-ms", defaultValue = "5000") long settleMs,
                @Option(
                                names = "--step-ms",
                                defaultValue = "60000",
                                description = "The time limit of a step.")
                        long stepMs)
                throws Commands.CommandFailedException {
            if ((config == null) == (program == null)) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT,
                        "expected either --config FILE or --program VERSION");
            }
            String to = program;
            if (config != null) {
                String text = readValidConfig(config);
                to = ConfigVersion.of(text);
                target.sendRequest(
                        "fleet config "
                                + new FormAttributes().with("version", to).with("text", text));
            }
            printLine(
                    spec,
                    target.sendRequest(
                            "fleet release plan "
                                    + new FormAttributes()
                                            .with("kind", searchers ? "searcher" : "broker")
                                            .with("what", config != null ? "config" : "program")
                                            .with("to", to)
                                            .with("members", members)
                                            .with("waves", waves)
                                            .with("settle_ms", settleMs)
                                            .with("step_ms", stepMs)));
            return 0;
        }

        /** Reads a configuration file and rejects it if it is not valid. */
        private static String readValidConfig(Path config) throws Commands.CommandFailedException {
            try {
                byte[] bytes = Files.readAllBytes(config);
                BrokerConfig.parse(bytes, System.getenv(), true);
                return new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
            } catch (IOException e) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, config + ": cannot be read: " + e.getMessage());
            } catch (BrokerConfig.InvalidConfigException | IllegalArgumentException e) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, config + ": " + e.getMessage());
            }
        }

        @Command(
                description = "Shows the release and the stage of each member.",
                mixinStandardHelpOptions = true)
        int show(@Mixin NodeTarget target, @Mixin OutputFormat format)
                throws Commands.CommandFailedException {
            printLine(spec, format.format(target.sendRequest("fleet release show")));
            return 0;
        }

        @Command(
                description =
                        "Shows each change until the release has ended. Exit code 0: done, 1: halted.",
                mixinStandardHelpOptions = true)
        int watch(@Mixin NodeTarget target, @Mixin OutputFormat format)
                throws Commands.CommandFailedException, InterruptedException {
            Set<String> printedLines = new LinkedHashSet<>();
            while (true) {
                String answer = target.sendRequest("fleet release show");
                for (String line : answer.split("\n")) {
                    if (printedLines.add(line)) {
                        printLine(spec, format.format(line));
                    }
                }
                String progress = FormAttributes.of(answer.split("\n")[0]).get("progress");
                if (progress.equals("done") || progress.equals("halted")) {
                    return progress.equals("done") ? 0 : Commands.EXIT_FAILURE;
                }
                Thread.sleep(WATCH_POLL_INTERVAL_MS);
            }
        }

        private int sendOrder(NodeTarget target, String verb, String reason)
                throws Commands.CommandFailedException {
            printLine(
                    spec,
                    target.sendRequest(
                            "fleet release "
                                    + verb
                                    + " "
                                    + new FormAttributes().with("reason", reason)));
            return 0;
        }

        @Command(description = "Starts the planned release.", mixinStandardHelpOptions = true)
        int start(
                @Mixin NodeTarget target,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            return sendOrder(target, "start", reason);
        }

        @Command(
                description = "Pauses the release: no further step is taken until it is resumed.",
                mixinStandardHelpOptions = true)
        int pause(
                @Mixin NodeTarget target,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            return sendOrder(target, "pause", reason);
        }

        @Command(
                description = "Resumes the release, whatever halted or paused it.",
                mixinStandardHelpOptions = true)
        int resume(
                @Mixin NodeTarget target,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            return sendOrder(target, "resume", reason);
        }

        @Command(description = "Halts the release.", mixinStandardHelpOptions = true)
        int halt(
                @Mixin NodeTarget target,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            return sendOrder(target, "halt", reason);
        }

        @Command(
                description =
                        "Rolls the release back on exactly the members that it has changed so far.",
                mixinStandardHelpOptions = true)
        int back(
                @Mixin NodeTarget target,
                @Option(names = "--reason", defaultValue = "") String reason)
                throws Commands.CommandFailedException {
            return sendOrder(target, "back", reason);
        }
    }
}
