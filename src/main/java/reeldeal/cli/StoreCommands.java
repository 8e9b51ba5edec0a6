package reeldeal.cli;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.storage.DataDirectory;
import reeldeal.storage.StartCounter;
import reeldeal.store.Backup;
import reeldeal.store.KeyValueState;

/**
 * Commands on a store. Some work on a data folder while its node is down or on a backup file, the
 * others on the nodes of a running group.
 */
@Command(
        name = "store",
        description =
                "Checks a node's data folder, creates new groups from backups, and changes the members of a running group.",
        mixinStandardHelpOptions = true)
public final class StoreCommands implements Runnable {
    @Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "expected check, export, inspect, restore, nodes, add, "
                        + "promote, demote, remove, replace or level");
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    /**
     * Reads the state in a data folder from a copy, because opening a folder may change it. The
     * node must be down.
     *
     * @param findings receives lines to print about the folder
     */
    private static RaftNode.PersistentState readCopy(Path folder, List<String> findings)
            throws Commands.CommandFailedException {
        Path copy = null;
        try {
            if (!Files.exists(folder.resolve("FORMAT"))) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT,
                        folder
                                + ": expected the data folder of a store node, found no file FORMAT");
            }
            copy = Files.createTempDirectory("reeldeal-check");
            try (FileChannel lockFile =
                            FileChannel.open(
                                    folder.resolve("LOCK"),
                                    StandardOpenOption.CREATE,
                                    StandardOpenOption.WRITE);
                    FileLock lock = lockFile.tryLock();
                    Stream<Path> files = Files.list(folder)) {
                if (lock == null) {
                    throw new Commands.CommandFailedException(
                            Commands.EXIT_FAILURE,
                            folder
                                    + ": the folder is locked by a running node; stop the node first");
                }
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    Files.copy(file, copy.resolve(file.getFileName()));
                }
            }
            String[] lines = Files.readString(folder.resolve("FORMAT")).split("\n");
            String groupAndNode = lines.length > 1 ? lines[1] : "";
            findings.add("group and node: " + groupAndNode);
            try (DataDirectory dataDirectory =
                    DataDirectory.open(
                            copy,
                            groupAndNode,
                            GroupConfiguration.of(groupAndNode.isEmpty() ? "?" : groupAndNode),
                            4 << 20)) {
                if (dataDirectory.openResult().truncatedBytes() > 0) {
                    findings.add(
                            "a torn write of "
                                    + dataDirectory.openResult().truncatedBytes()
                                    + " bytes at the end, which the next start cuts off");
                }
                return dataDirectory.openResult().state();
            }
        } catch (IOException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_FAILURE,
                    e.getMessage() == null
                            ? String.valueOf(e)
                            : e.getMessage().replace(String.valueOf(copy), folder.toString()));
        } finally {
            delete(copy);
        }
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            folder.toFile().deleteOnExit();
        }
    }

    /** Applies the entries of the log to the snapshot. */
    private static KeyValueState replayLog(RaftNode.PersistentState persisted)
            throws Commands.CommandFailedException {
        try {
            KeyValueState state = KeyValueState.fromSnapshot(persisted.snapshot().data());
            persisted
                    .entries()
                    .forEach(
                            entry ->
                                    state.apply(
                                            entry.index(),
                                            entry.data(),
                                            new java.util.ArrayList<>()));
            return state;
        } catch (IOException | KeyValueState.UnsupportedFormatException e) {
            throw new Commands.CommandFailedException(Commands.EXIT_FAILURE, e.getMessage());
        }
    }

    @Command(
            description =
                    "Reads a whole data folder and reports its contents, or which file is damaged and where.",
            mixinStandardHelpOptions = true)
    int check(@Parameters(paramLabel = "FOLDER") Path folder)
            throws Commands.CommandFailedException {
        List<String> findings = new java.util.ArrayList<>();
        RaftNode.PersistentState persisted = readCopy(folder, findings);
        findings.forEach(this::printLine);
        printLine(
                "term "
                        + persisted.term()
                        + ", vote "
                        + persisted.vote()
                        + ", snapshot of version "
                        + persisted.snapshot().index()
                        + " ("
                        + persisted.snapshot().data().length()
                        + " bytes), "
                        + persisted.entries().size()
                        + " entries after it");
        printLine(
                "members: voters "
                        + persisted.snapshot().configuration().voters()
                        + ", learners "
                        + persisted.snapshot().configuration().learners());
        KeyValueState state = replayLog(persisted);
        TreeMap<String, Integer> keysByPrefix = new TreeMap<>();
        state.valuesUnder("")
                .keySet()
                .forEach(
                        key ->
                                keysByPrefix.merge(
                                        key.contains("/")
                                                ? key.substring(0, key.indexOf('/'))
                                                : key,
                                        1,
                                        Integer::sum));
        keysByPrefix.forEach(
                (prefix, keyCount) ->
                        printLine(
                                prefix
                                        + "/: "
                                        + keyCount
                                        + " keys, "
                                        + state.bytesUnder(prefix)
                                        + " bytes"));
        return 0;
    }

    @Command(
            description = {
                "Writes the state of a node that is down to a backup file.",
                "The backup includes entries that the group had not yet committed."
            },
            mixinStandardHelpOptions = true)
    int export(
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Parameters(paramLabel = "FILE") Path file)
            throws Commands.CommandFailedException {
        KeyValueState state = replayLog(readCopy(folder, new java.util.ArrayList<>()));
        try {
            Backup.write(file, state.freeze());
        } catch (IOException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, file + ": cannot be written: " + e);
        }
        printLine("version " + state.version() + " in " + file);
        return 0;
    }

    @Command(description = "Reports the contents of a backup.", mixinStandardHelpOptions = true)
    int inspect(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--keys",
                            paramLabel = "PREFIX",
                            description = "List the keys that begin with this prefix.")
                    String prefix)
            throws Commands.CommandFailedException {
        try {
            KeyValueState state = Backup.read(file);
            printLine("version " + state.version() + ", " + state.valuesUnder("").size() + " keys");
            if (prefix != null) {
                state.valuesUnder(prefix)
                        .forEach(
                                (key, value) ->
                                        printLine(
                                                key
                                                        + " "
                                                        + value.text().length()
                                                        + " characters, version "
                                                        + value.version()));
            }
            return 0;
        } catch (IOException e) {
            throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
        }
    }

    @Command(
            description = {
                "Creates the data folder of one node of a new group from a backup.",
                "Run it for each node, with the same file, group and nodes."
            },
            mixinStandardHelpOptions = true)
    int restore(
            @Parameters(paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(
                            names = "--group",
                            required = true,
                            description =
                                    "The name of the new group; no earlier group may have had it.")
                    String group,
            @Option(names = "--node", required = true) String node,
            @Option(
                            names = "--nodes",
                            required = true,
                            split = ",",
                            description = "All initial voters.")
                    List<String> nodes)
            throws Commands.CommandFailedException {
        if (!nodes.contains(node)) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT,
                    "--nodes: expected " + node + ", the value of --node, in the list");
        }
        try {
            long version = Backup.restore(file, folder, group, node, new TreeSet<>(nodes));
            continueCountOfStarts(file, folder, node);
            printLine(
                    "version "
                            + version
                            + " in "
                            + folder
                            + " for node "
                            + node
                            + " of group "
                            + group);
            return 0;
        } catch (IOException e) {
            throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
        }
    }

    /** Makes the next start of a node a later one than those that the backup knows. */
    private static void continueCountOfStarts(Path backup, Path folder, String node)
            throws IOException {
        KeyValueState.Value registration = Backup.read(backup).get(FleetView.REGISTRATION + node);
        if (registration != null) {
            StartCounter.continueAfter(folder, FleetCodec.decodeStarts(registration.text()));
        }
    }

    // ---- commands on a running group ----

    private int sendCommand(NodeTarget target, String... arguments)
            throws Commands.CommandFailedException {
        printLine(target.sendRequest("store " + String.join(" ", arguments)));
        return 0;
    }

    @Command(
            description =
                    "Lists the nodes of the group: the voters, the leader, and which nodes are heard from.",
            mixinStandardHelpOptions = true)
    int nodes(@Mixin NodeTarget target) throws Commands.CommandFailedException {
        return sendCommand(target, "nodes");
    }

    @Command(
            description =
                    "Shows the sizes of a node's log, values and change history in memory, with their"
                            + " bounds, in bytes.",
            mixinStandardHelpOptions = true)
    int memory(@Mixin NodeTarget target) throws Commands.CommandFailedException {
        return sendCommand(target, "memory");
    }

    @Command(
            description = "Adds a node to the group as a learner.",
            mixinStandardHelpOptions = true)
    int add(
            @Mixin NodeTarget target,
            @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "HOST:PORT") String address)
            throws Commands.CommandFailedException {
        return sendCommand(target, "add", name, address);
    }

    @Command(description = "Promotes a learner to voter.", mixinStandardHelpOptions = true)
    int promote(@Mixin NodeTarget target, @Parameters(paramLabel = "NAME") String name)
            throws Commands.CommandFailedException {
        return sendCommand(target, "promote", name);
    }

    @Command(description = "Demotes a voter to learner.", mixinStandardHelpOptions = true)
    int demote(@Mixin NodeTarget target, @Parameters(paramLabel = "NAME") String name)
            throws Commands.CommandFailedException {
        return sendCommand(target, "demote", name);
    }

    @Command(description = "Removes a node from the group.", mixinStandardHelpOptions = true)
    int remove(@Mixin NodeTarget target, @Parameters(paramLabel = "NAME") String name)
            throws Commands.CommandFailedException {
        return sendCommand(target, "remove", name);
    }

    @Command(
            description =
                    "Promotes a learner to voter in place of another node, which is removed from the group.",
            mixinStandardHelpOptions = true)
    int replace(
            @Mixin NodeTarget target,
            @Parameters(paramLabel = "OLD") String replaced,
            @Parameters(paramLabel = "NEW") String replacement)
            throws Commands.CommandFailedException {
        return sendCommand(target, "replace", replaced, replacement);
    }

    @Command(
            description = {
                "Shows or raises the level of entry formats that the log may contain.",
                "After a raise, earlier versions of the program cannot take part any more: it cannot be undone."
            },
            mixinStandardHelpOptions = true)
    int level(@Mixin NodeTarget target, @Option(names = "--raise") boolean raise)
            throws Commands.CommandFailedException {
        return raise ? sendCommand(target, "level", "raise") : sendCommand(target, "level");
    }
}
