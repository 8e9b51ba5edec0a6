package reeldeal.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Ready;
import reeldeal.storage.DataDirectory;

/**
 * Converts a data directory of program version 0.3 to the present format. Entries keep their
 * versions and terms, so that the logs of the nodes still agree and each node can be upgraded
 * independently. The old files are renamed and kept.
 */
final class LegacyFolderUpgrade {
    private static final List<String> LEGACY_FILES = List.of("log", "term");
    private static final String LEGACY_SUFFIX = ".version-0.3";
    private static final String FORMAT_FILE = "FORMAT";
    private static final String WORK_DIRECTORY = "upgrade";
    private static final int BATCH_ENTRIES = 500;

    private record LegacyLog(long term, List<LegacyEntry> entries) {}

    private LegacyFolderUpgrade() {}

    /**
     * Converts a directory if it is of version 0.3. After a crash during the conversion the next
     * start repeats it from the beginning.
     */
    static void upgradeIfNeeded(Path folder, String node, Consumer<String> log) throws IOException {
        if (!Files.exists(folder.resolve("log")) || Files.exists(folder.resolve(FORMAT_FILE))) {
            return;
        }
        Path converted = folder.resolve(WORK_DIRECTORY);
        deleteRecursively(converted);
        LegacyLog legacyLog = readLegacyLog(folder);
        writeConverted(legacyLog, converted, node);
        moveIntoPlace(folder, converted);
        deleteRecursively(converted);
        log.accept(
                "store: upgraded the data directory from version 0.3: "
                        + legacyLog.entries().size()
                        + " entries, term "
                        + legacyLog.term());
    }

    private static LegacyLog readLegacyLog(Path folder) throws IOException {
        try (LegacyLogFile file = new LegacyLogFile(folder)) {
            return new LegacyLog(
                    Math.max(file.promisedTerm(), file.lastTerm()), List.copyOf(file.entries()));
        }
    }

    private static void writeConverted(LegacyLog legacyLog, Path converted, String node)
            throws IOException {
        try (DataDirectory directory =
                DataDirectory.open(
                        converted, node, GroupConfiguration.of(node), StoreNode.SEGMENT_BYTES)) {
            for (int start = 0; start < legacyLog.entries().size(); start += BATCH_ENTRIES) {
                int end = Math.min(legacyLog.entries().size(), start + BATCH_ENTRIES);
                List<Entry> entries = new ArrayList<>();
                for (LegacyEntry entry : legacyLog.entries().subList(start, end)) {
                    entries.add(convert(entry));
                }
                long firstIndex = entries.get(0).index();
                directory.write(
                        List.of(
                                new Ready.Persist(
                                        0,
                                        legacyLog.term(),
                                        null,
                                        firstIndex,
                                        entries,
                                        null,
                                        false)));
            }
        }
    }

    private static Entry convert(LegacyEntry entry) {
        byte[] data =
                entry.changes().isEmpty()
                        ? new byte[0]
                        : KeyValueCodec.encode(KeyValueState.Command.of(entry.changes()));
        return new Entry(entry.version(), entry.term(), data, null);
    }

    /**
     * Moves the converted files into the data directory. The FORMAT file is moved last: as long as
     * it is missing, the next start repeats the upgrade.
     */
    private static void moveIntoPlace(Path folder, Path converted) throws IOException {
        try (Stream<Path> files = Files.list(converted)) {
            for (Path file : files.toList()) {
                String name = file.getFileName().toString();
                if (!name.equals(FORMAT_FILE) && !name.equals("LOCK")) {
                    Files.move(file, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        Files.move(
                converted.resolve(FORMAT_FILE),
                folder.resolve(FORMAT_FILE),
                StandardCopyOption.ATOMIC_MOVE);
        for (String name : LEGACY_FILES) {
            if (Files.exists(folder.resolve(name))) {
                Files.move(
                        folder.resolve(name),
                        folder.resolve(name + LEGACY_SUFFIX),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private static void deleteRecursively(Path path) throws IOException {
        if (!Files.exists(path)) {
            return;
        }
        try (Stream<Path> files = Files.walk(path)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
