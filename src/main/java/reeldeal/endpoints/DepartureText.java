package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The text form of all departures: a line with the names of the sources by rank, then a line for
 * each departure. The first line lets a departure be assigned to its source if the sources have
 * changed in between; versions of the program that do not know it ignore it. Stateless.
 */
final class DepartureText {
    private static final String SOURCES = "sources:";
    private static final int MAX_CHARS = 200_000;

    private DepartureText() {}

    /**
     * Formats departures; returns "" if there are none. If they are too many for one write of the
     * store, the latest ones are kept.
     */
    static String format(List<String> sources, List<Departure> departures) {
        if (departures.isEmpty()) {
            return "";
        }
        StringBuilder text = new StringBuilder(SOURCES);
        sources.forEach(source -> text.append(' ').append(source));
        text.append('\n');
        latestFirst(departures).stream()
                .map(departure -> departure.format() + '\n')
                .takeWhile(line -> text.length() + line.length() <= MAX_CHARS)
                .forEach(text::append);
        return text.toString();
    }

    private static List<Departure> latestFirst(List<Departure> departures) {
        return departures.stream()
                .sorted(Comparator.comparingLong(Departure::departedAtMs).reversed())
                .toList();
    }

    /**
     * Parses a text, and returns the departures with the ranks that their sources have now. Those
     * of sources that no longer exist are left out, as are malformed lines. Without a line of
     * sources the ranks are taken as they are.
     */
    static List<Departure> parse(List<String> currentSources, String text) {
        List<String> savedSources = currentSources;
        List<Departure> departures = new ArrayList<>();
        for (String line : text.split("\n")) {
            if (line.startsWith(SOURCES + " ")) {
                savedSources = List.of(line.substring(SOURCES.length() + 1).split(" "));
                continue;
            }
            Departure departure = Departure.parse(line);
            if (departure != null && departure.rank() < savedSources.size()) {
                int rank = currentSources.indexOf(savedSources.get(departure.rank()));
                if (rank >= 0) {
                    departures.add(departure.withRank(rank));
                }
            }
        }
        return departures;
    }
}
