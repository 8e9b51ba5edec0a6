package reeldeal.faultinjection;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks from the brokers' own log lines how many of them were out of service by an order at the
 * same time, and how often the release restarted each.
 */
final class DisruptionChecker {
    private final List<History.Event> events;
    private final Findings findings;
    private final Set<String> outByOrder = new HashSet<>();
    private final Set<String> unplannedExits = new HashSet<>();
    private final Map<String, Integer> restarts = new TreeMap<>();
    private long allowed;
    private int mostOutAtOnce;

    DisruptionChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void check() {
        for (History.Event event : events) {
            track(event);
            checkBudget(event.atMs());
        }
        checkRestarts();
        findings.addFigure(
                "brokers out by an order at once",
                mostOutAtOnce + " at the most, " + allowed + " allowed");
        int total = restarts.values().stream().mapToInt(Integer::intValue).sum();
        findings.addFigure("restarts by the release", String.valueOf(total));
    }

    private void track(History.Event event) {
        if (event.is("policy")) {
            allowed = Math.max(allowed, Long.parseLong(event.detail()));
        } else if (event.isLogWithPrefix("fleet: drains")) {
            outByOrder.add(event.source());
        } else if (event.is("log") && event.detail().contains("ending unplanned")) {
            unplannedExits.add(event.source());
        } else if (event.isLogWithPrefix("fleet: ends: release")) {
            restarts.merge(event.source(), 1, Integer::sum);
        } else if (event.isLogWithPrefix("serving as ")
                || event.isLogWithPrefix("fleet: serves again")) {
            outByOrder.remove(event.source());
            unplannedExits.remove(event.source());
        }
    }

    private void checkBudget(long atMs) {
        Set<String> planned = new HashSet<>(outByOrder);
        planned.removeAll(unplannedExits);
        if (planned.size() <= mostOutAtOnce) {
            return;
        }
        mostOutAtOnce = planned.size();
        if (allowed > 0 && mostOutAtOnce > allowed) {
            findings.addViolation(
                    "at "
                            + atMs
                            + " ms: "
                            + mostOutAtOnce
                            + " brokers are out of service by an order, "
                            + allowed
                            + " allowed: "
                            + planned);
        }
    }

    private void checkRestarts() {
        boolean rolledBack =
                events.stream()
                        .anyMatch(
                                event ->
                                        event.is("progress")
                                                && event.detail().contains("way=back"));
        int allowedRestarts = rolledBack ? 2 : 1;
        restarts.forEach(
                (broker, times) -> {
                    if (times > allowedRestarts) {
                        findings.addViolation(
                                broker
                                        + " was restarted "
                                        + times
                                        + " times by the release, allowed are 1, or 2 if it rolled back");
                    }
                });
    }
}
