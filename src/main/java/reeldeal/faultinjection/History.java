package reeldeal.faultinjection;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reeldeal.fleet.FormAttributes;

/**
 * Writes the events of a drill to a file, one line for each: ms since the drill began, the name of
 * the process or client, the kind of event, and its text.
 */
final class History implements AutoCloseable {
    /**
     * One event: the ms since the drill began, the process, client or operator that it concerns,
     * its kind, such as {@code ask} or {@code log}, and its text, which is a log line, form-encoded
     * attributes or empty.
     */
    record Event(long atMs, String source, String kind, String detail) {
        /** Returns whether this event is of a kind. */
        boolean is(String expected) {
            return kind.equals(expected);
        }

        /** Returns whether this event is a log line that begins with {@code prefix}. */
        boolean isLogWithPrefix(String prefix) {
            return kind.equals("log") && detail.startsWith(prefix);
        }

        /** Returns a value of the form-encoded attributes, or "" if the key is missing. */
        String attribute(String key) {
            return FormAttributes.of(detail).get(key);
        }
    }

    private final long startedAtNanos = System.nanoTime();
    private final PrintWriter out;

    History(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the ms since the drill began. */
    long elapsedMs() {
        return (System.nanoTime() - startedAtNanos) / 1_000_000;
    }

    /** Adds an event that happens now. */
    void add(String source, String kind, String detail) {
        add(elapsedMs(), source, kind, detail);
    }

    /** Adds an event that happened {@code atMs} after the drill began. */
    synchronized void add(long atMs, String source, String kind, String detail) {
        out.println(atMs + " " + source + " " + kind + " " + detail.replace('\n', ' '));
        if (!kind.equals("part")) {
            out.flush();
        }
    }

    @Override
    public synchronized void close() {
        out.close();
    }

    /** Reads the events of a history file, in the order of its lines. */
    static List<Event> read(Path file) {
        List<Event> events = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(file)) {
                String[] fields = line.split(" ", 4);
                events.add(
                        new Event(
                                Long.parseLong(fields[0]),
                                fields[1],
                                fields[2],
                                fields.length > 3 ? fields[3] : ""));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return events;
    }
}
