package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Damages the folder of a node while its process is down, as a power loss, a failing disk or an
 * operator's mistake can.
 */
final class DiskFaults {
    private static final int MAX_TORN_BYTES = 6; // bytes, within the header of a record

    private DiskFaults() {}

    private static Path newestLog(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> f.getFileName().toString().startsWith("log"))
                    .max(Comparator.naturalOrder())
                    .orElse(null);
        }
    }

    /**
     * Appends the first bytes of a record to the newest log file, as a write that a power loss
     * interrupts does.
     */
    static void tear(Path directory, SplittableRandom random, History history) throws IOException {
        Path log = newestLog(directory);
        if (log != null) {
            byte[] tornBytes = new byte[1 + random.nextInt(MAX_TORN_BYTES)];
            Files.write(log, tornBytes, StandardOpenOption.APPEND);
            history.add(
                    directory.getFileName().toString(),
                    "torn",
                    log.getFileName() + " by " + tornBytes.length);
        }
    }

    /**
     * Flips one bit in the middle half of the newest log file, as silent corruption on a disk does.
     */
    static void flip(Path directory, SplittableRandom random, History history) throws IOException {
        Path log = newestLog(directory);
        if (log != null) {
            byte[] bytes = Files.readAllBytes(log);
            int offset = bytes.length / 4 + random.nextInt(Math.max(1, bytes.length / 2));
            bytes[offset] ^= (byte) (1 << random.nextInt(8));
            Files.write(log, bytes);
            history.add(
                    directory.getFileName().toString(),
                    "flipped",
                    log.getFileName() + " at " + offset);
        }
    }

    /** Copies a folder to a sibling folder, for {@link #restore}. */
    static void backUp(Path directory) throws IOException {
        Path copy = backupOf(directory);
        delete(copy);
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path f : files.toList()) {
                Files.copy(f, copy.resolve(directory.relativize(f)));
            }
        }
    }

    /** Replaces a folder by the copy that {@link #backUp} made of it. */
    static void restore(Path directory) throws IOException {
        delete(directory);
        Files.move(backupOf(directory), directory);
    }

    private static Path backupOf(Path directory) {
        return directory.resolveSibling(directory.getFileName() + ".kept");
    }

    private static void delete(Path directory) throws IOException {
        if (Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path f : List.copyOf(files.sorted(Comparator.reverseOrder()).toList())) {
                    Files.delete(f);
                }
            }
        }
    }
}
