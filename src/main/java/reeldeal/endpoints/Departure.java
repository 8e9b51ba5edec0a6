package reeldeal.endpoints;

import java.util.regex.Pattern;

/**
 * The departure of a name from the view. It is saved across a restart as a line {@code NAME UNIX_MS
 * RANK gone|draining}.
 *
 * @param name name of the searcher
 * @param departedAtMs time of the departure, Unix time in milliseconds
 * @param rank rank of the source that dropped the name, {@link Integer#MAX_VALUE} if none did
 * @param unlisted whether the name was unlisted, not only marked as draining, so that the searcher
 *     comes back as a new process
 */
record Departure(String name, long departedAtMs, int rank, boolean unlisted) {
    private static final String UNLISTED = "gone";
    private static final String DRAINING = "draining";
    private static final Pattern TIME = Pattern.compile("[0-9]{1,15}");
    private static final Pattern RANK = Pattern.compile("[0-9]{1,5}");

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
