package reeldeal.endpoints;

import java.util.regex.Pattern;

/**
 * A name that left the view, in the form in which it is kept across a restart: {@code NAME UNIX_MS
 * RANK gone|draining}.
 *
 * @param name the searcher's name
 * @param atMs when it left, Unix time in ms
 * @param rank rank of the source that dropped it, {@link Integer#MAX_VALUE} where none did
 * @param vanished whether no source listed it since, so that it comes back as a new process
 */
record Departure(String name, long departedAtMs, int rank, boolean unlisted) {
    private static final String UNLISTED = "gone";
    private static final String DRAINING = "draining";
    private static final Pattern TIME = Pattern.compile("[0-9]{1,15}");
    private static final Pattern RANK = Pattern.compile("[0-9]{1,5}");

    String format() {
        return name + ' ' + departedAtMs + ' ' + rank + ' ' + (unlisted ? UNLISTED : DRAINING);
    }

    /** Parses one line; null where it has another form. */
    static Departure parse(String line) {
        String[] fields = line.split(" ");
        if (fields.length != 4
                || !TIME.matcher(fields[1]).matches()
                || !RANK.matcher(fields[2]).matches()) {
            return null;
        }
        return new Departure(
                fields[0],
                Long.parseLong(fields[1]),
                Integer.parseInt(fields[2]),
                fields[3].equals(UNLISTED));
    }
}
