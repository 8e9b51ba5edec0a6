package reeldeal.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts the outcomes of the keyed requests that a broker had in flight when it was killed or ended
 * by itself at a failpoint.
 */
final class InFlightAtLossCounter {
    /** The deadline that clients send with a keyed request, ms from its first attempt. */
    private static final long IN_TIME_MS = 4_000;

    private final List<History.Event> events;
    private final Findings findings;

    /** For each broker, the idempotency keys of its attempts in flight, by the attempt's id. */
    private final Map<String, Map<String, String>> inFlight = new HashMap<>();

    private final Map<String, Long> firstAskedAt = new HashMap<>();
    private final Map<String, Long> outcomeKnownAt = new HashMap<>();
    private final Map<String, Long> ownerLostAt = new TreeMap<>();
    private final Set<String> counted = new HashSet<>();
    private final List<Long> takenOverAfterMs = new ArrayList<>();
    private int losses;
    private int knownInTime;
    private int knownLater;

    InFlightAtLossCounter(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void count() {
        for (History.Event event : events) {
            if (event.is("answer") && isKeyed(event) && event.attribute("status").equals("200")) {
                outcomeKnownAt.putIfAbsent(event.source(), event.atMs());
            }
        }
        events.forEach(this::track);
        addFigures();
    }

    private static boolean isKeyed(History.Event event) {
        return event.detail().contains(" key=");
    }

    private void track(History.Event event) {
        if (event.is("ask") && isKeyed(event)) {
            inFlightAt(event.attribute("to")).put(event.attribute("id"), event.source());
            firstAskedAt.putIfAbsent(event.source(), event.atMs());
        } else if (event.is("answer") && isKeyed(event)) {
            inFlightAt(event.attribute("to")).remove(event.attribute("id"));
        } else if (event.is("kill") || event.isLogWithPrefix("work: ends at ")) {
            losses++;
            new HashSet<>(inFlightAt(event.source()).values())
                    .forEach(key -> countLost(key, event.atMs()));
            inFlight.remove(event.source());
        } else if (event.is("part") && event.detail().contains("~")) {
            Long lostAt = ownerLostAt.remove(event.detail().split("-")[0]);
            if (lostAt != null) {
                takenOverAfterMs.add(event.atMs() - lostAt);
            }
        }
    }

    private Map<String, String> inFlightAt(String broker) {
        return inFlight.computeIfAbsent(broker, name -> new HashMap<>());
    }

    private void countLost(String key, long lostAt) {
        if (!counted.add(key)) {
            return;
        }
        ownerLostAt.put(key, lostAt);
        Long knownAt = outcomeKnownAt.get(key);
        if (knownAt == null) {
            return;
        }
        if (knownAt - firstAskedAt.get(key) <= IN_TIME_MS) {
            knownInTime++;
        } else {
            knownLater++;
        }
    }

    private void addFigures() {
        int total = counted.size();
        findings.addFigure(
                "in hand when their broker was lost",
                total
                        + " in "
                        + losses
                        + " losses: "
                        + knownInTime
                        + " knew their outcome in their time, "
                        + knownLater
                        + " later, "
                        + (total - knownInTime - knownLater)
                        + " never or as unknown");
        if (!takenOverAfterMs.isEmpty()) {
            takenOverAfterMs.sort(null);
            int last = takenOverAfterMs.size() - 1;
            findings.addFigure(
                    "from a broker's death to the first part sent for it by another",
                    String.format(
                            Locale.ROOT,
                            "%d times, p50 %d, least %d, most %d ms",
                            takenOverAfterMs.size(),
                            takenOverAfterMs.get(takenOverAfterMs.size() / 2),
                            takenOverAfterMs.get(0),
                            takenOverAfterMs.get(last)));
        }
        events.stream()
                .filter(event -> event.is("work"))
                .forEach(event -> findings.addFigure("work at " + event.source(), event.detail()));
    }
}
