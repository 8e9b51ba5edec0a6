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
 * What happened, a line an event: ms since the drill began, who, what, and the rest. Kept as a
 * file.
 */
final class History implements AutoCloseable {
    /** One event. */
    record Event(long at, String who, String what, String rest) {
        /** Whether it is of this kind. */
        boolean is(String expected) {
            return what.equals(expected);
        }

        /** Whether it is a log line that begins so. */
        boolean logs(String prefix) {
            return what.equals("log") && rest.startsWith(prefix);
        }

        /** A value of its form-encoded attributes, or "". */
        String attribute(String key) {
            return FormAttributes.of(rest).get(key);
        }
    }

    private final long startedAtNanos = System.nanoTime();
    private final PrintWriter out;

    History(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Ms since the drill began. */
    long now() {
        return (System.nanoTime() - startedAtNanos) / 1_000_000;
    }

    /** Adds an event as happening now. */
    void add(String source, String kind, String detail) {
        add(now(), source, kind, detail);
    }

    /** Adds an event that happened then. */
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

    /** Reads a history back. */
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
