package reeldeal.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks that each query has exactly one answer. An answer may be missing only if the broker that
 * was asked was killed or paused while the query was outstanding.
 */
final class AnswerChecker {
    /**
     * How long before its last log line was read a process may have closed its clients'
     * connections, ms.
     */
    private static final long LAST_LINE_DELAY_MS = 500;

    /**
     * A period in which a broker was down or paused; {@code until} is Long.MAX_VALUE for one that
     * has not ended.
     */
    private record Outage(long from, long until) {
        boolean overlaps(long start, long end) {
            return from <= end && until >= start;
        }

        Outage endedAt(long end) {
            return new Outage(from, Math.min(until, end));
        }
    }

    private final List<History.Event> events;
    private final Findings findings;
    private final Map<String, List<Outage>> outages = new HashMap<>();
    private final Map<String, History.Event> unanswered = new HashMap<>();
    private int asked;
    private int complete;
    private int rejected;
    private int lost;
    private long longestAnswerMs;

    AnswerChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void check() {
        events.forEach(this::recordOutage);
        for (History.Event event : events) {
            if (event.is("ask")) {
                recordQuery(event);
            } else if (event.is("answer") || event.is("noanswer")) {
                recordAnswer(event);
            }
        }
        unanswered
                .values()
                .forEach(
                        ask ->
                                findings.addViolation(
                                        "query without an answer at the end of the history: "
                                                + ask.detail()));
        addFigures();
    }

    private void recordOutage(History.Event event) {
        boolean endedAtFailpoint = event.isLogWithPrefix("work: ends at ");
        if (event.is("kill") || event.is("pause") || endedAtFailpoint) {
            long from = endedAtFailpoint ? event.atMs() - LAST_LINE_DELAY_MS : event.atMs();
            outages.computeIfAbsent(event.source(), broker -> new ArrayList<>())
                    .add(new Outage(from, Long.MAX_VALUE));
        } else if (event.is("wake") || event.isLogWithPrefix("serving as ")) {
            outages.computeIfPresent(
                    event.source(),
                    (broker, brokerOutages) -> {
                        brokerOutages.replaceAll(outage -> outage.endedAt(event.atMs()));
                        return brokerOutages;
                    });
        }
    }

    private void recordQuery(History.Event event) {
        asked++;
        if (unanswered.put(event.attribute("id"), event) != null) {
            findings.addViolation("query asked again while it was unanswered: " + event.detail());
        }
    }

    private void recordAnswer(History.Event event) {
        History.Event ask = unanswered.remove(event.attribute("id"));
        if (ask == null) {
            findings.addViolation("answer to a query that is not outstanding: " + event.detail());
            return;
        }
        boolean excused =
                outages.getOrDefault(event.attribute("to"), List.of()).stream()
                        .anyMatch(outage -> outage.overlaps(ask.atMs(), event.atMs()));
        if (event.is("noanswer")) {
            lost++;
            if (!excused) {
                findings.addViolation(
                        "no answer from a broker that was neither killed nor paused to the query asked at "
                                + ask.atMs()
                                + " ms: "
                                + event.detail());
            }
            return;
        }
        complete += event.detail().contains("whole=true") ? 1 : 0;
        rejected += event.detail().contains("status=429") ? 1 : 0;
        longestAnswerMs =
                excused ? longestAnswerMs : Math.max(longestAnswerMs, event.atMs() - ask.atMs());
    }

    private void addFigures() {
        long withoutBroker = events.stream().filter(event -> event.is("nobody")).count();
        double share = (double) complete / Math.max(1, asked + withoutBroker);
        findings.addFigure(
                "share of all that clients wanted to ask that was served whole",
                String.format(Locale.ROOT, "%.4f", share));
        findings.addFigure(
                "queries",
                withoutBroker
                        + " found no broker, "
                        + asked
                        + " asked, "
                        + complete
                        + " served whole, "
                        + rejected
                        + " refused, "
                        + lost
                        + " lost with a broker that was killed or paused");
        findings.addFigure("longest answer of a broker that was neither", longestAnswerMs + " ms");
    }
}
