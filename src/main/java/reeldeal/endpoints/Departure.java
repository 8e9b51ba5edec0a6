package reeldeal.endpoints;

import java.util.regex.Pattern;

/**
 * The statement of one source that a searcher is draining or gone. It is saved across a restart as
 * a line {@code NAME UNIX_MS RANK gone|draining}.
 *
 * @param name name of the searcher
 * @param departedAtMs time of the statement, Unix time in milliseconds
 * @param rank rank of the source
 * @param unlisted whether the searcher is gone, or was gone before the source listed it as
 *     draining, so that it comes back as a new process
 */
record Departure(String name, long departedAtMs, int rank, boolean unlisted) {
    private static final String UNLISTED = "gone";
    private static final String DRAINING = "draining";
    private static final Pattern TIME = Pattern.compile("[0-9]{1,15}");
    private static final Pattern RANK = Pattern.compile("[0-9]{1,5}");

    Departure withRank(int newRank) {
        return new Departure(name, departedAtMs, newRank, unlisted);
    }

    String format() {
        return name + ' ' + departedAtMs + ' ' + rank + ' ' + (unlisted ? UNLISTED : DRAINING);
    }

    /** Parses a line; returns null if it does not have the saved form. */
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
