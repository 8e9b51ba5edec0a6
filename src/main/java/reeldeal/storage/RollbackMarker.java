package reeldeal.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The file {@code rolled-back}, which says why a data directory is not trusted. The proof of a
 * rollback is the count of starts, which grows with each further start until it proves nothing; the
 * file keeps the directory from being trusted then. It stays until the directory is deleted.
 *
 * <p>The methods block on the disk.
 */
public final class RollbackMarker {
    private static final String FILE = "rolled-back";

    private RollbackMarker() {}

    /**
     * Returns why the directory is not trusted, or null if it was never found to be rolled back.
     */
    public static String read(Path directory) throws IOException {
        Path file = directory.resolve(FILE);
        return Files.exists(file) ? Files.readString(file).trim() : null;
    }

    /** Marks the directory as rolled back; the reason is on disk once this returns. */
    public static void write(Path directory, String reason) throws IOException {
        DurableFiles files = new DurableFiles(directory);
        files.replace(files.resolve(FILE), (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
