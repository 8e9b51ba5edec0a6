package reeldeal.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Counts in a data directory how often its node was started. Other nodes remember the count. If it
 * is lower than they remember, the directory was emptied or restored from a copy, and its node must
 * not be trusted with a vote.
 */
public final class StartCounter {
    private static final String FILE = "starts";
    private static final int MAX_QUOTED_CHARS = 20;

    private StartCounter() {}

    /**
     * Increments the count for this start and returns it; the first start is 1. The count is
     * written, and flushed with the file's name, before this returns. Throws IOException if the
     * file does not contain a number or cannot be written.
     */
    public static long next(Path directory) throws IOException {
        Files.createDirectories(directory);
        long count = read(directory.resolve(FILE)) + 1;
        write(directory, count);
        return count;
    }

    /**
     * Sets the count of a directory that was made from a backup to the starts of its node that the
     * backup knows, so that the next start counts as a later one. Written and flushed before this
     * returns.
     */
    public static void continueAfter(Path directory, long starts) throws IOException {
        write(directory, starts);
    }

    private static void write(Path directory, long count) throws IOException {
        DurableFiles files = new DurableFiles(directory);
        byte[] bytes = (count + "\n").getBytes(StandardCharsets.US_ASCII);
        files.replace(files.resolve(FILE), bytes);
    }

    private static long read(Path file) throws IOException {
        String text = Files.exists(file) ? Files.readString(file).trim() : "0";
        if (!text.matches("[0-9]{1,18}")) {
            throw new IOException(
                    file
                            + ": expected a whole number, found "
                            + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length())));
        }
        return Long.parseLong(text);
    }
}
