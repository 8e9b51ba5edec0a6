package reeldeal.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * The file {@code FORMAT}, which contains the version of the directory's format and the name of its
 * node.
 */
final class FormatFile {
    private static final String FILE = "FORMAT";
    private static final String VERSION = "reeldeal-store 2";

    private FormatFile() {}

    /** Checks the version and the node's name, or writes both if the directory is new. */
    static void checkOrCreate(DurableFiles files, String node) throws IOException {
        Path file = files.resolve(FILE);
        if (Files.exists(file)) {
            check(file, node);
            return;
        }
        try (Stream<Path> allFiles = Files.list(files.directory())) {
            if (allFiles.anyMatch(
                    f -> f.getFileName().toString().startsWith(SegmentedLog.PREFIX))) {
                throw new CorruptDataException(
                        file,
                        0,
                        "the format file is missing, but the directory contains log files");
            }
        }
        files.replace(file, (VERSION + "\n" + node + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static void check(Path file, String node) throws IOException {
        String[] lines = Files.readString(file).split("\n", -1);
        if (!lines[0].equals(VERSION)) {
            throw new IOException(
                    file
                            + ": expected \""
                            + VERSION
                            + "\", found \""
                            + lines[0]
                            + "\": this directory belongs to another version of the program");
        }
        boolean hasNodeName = lines.length > 1 && !lines[1].isEmpty();
        if (!hasNodeName || !lines[1].equals(node)) {
            throw new IOException(
                    file
                            + ": this directory belongs to node "
                            + (hasNodeName ? lines[1] : "?")
                            + ", not "
                            + node);
        }
    }
}
