package reeldeal.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks that each client of a keyed request is answered with one outcome only, however many
 * attempts it makes and whichever brokers it asks.
 */
final class OutcomeChecker {
    private static final String UNKNOWN = "unknown";

    private final List<History.Event> events;
    private final boolean required;
    private final Findings findings;
    private final Map<String, Long> startedAt = new HashMap<>();
    private final Map<String, String> firstBroker = new HashMap<>();
    private final Map<String, String> outcomes = new HashMap<>();
    private final Set<String> fromOtherBroker = new HashSet<>();
    private final List<Long> tookMs = new ArrayList<>();
    private int unknown;

    /**
     * Creates a checker.
     *
     * @param requests the {@code want} events, one for each keyed request
     * @param required whether two different outcomes of a request are a violation
     */
    OutcomeChecker(
            List<History.Event> events,
            List<History.Event> requests,
            boolean required,
            Findings findings) {
        this.events = events;
        this.required = required;
        this.findings = findings;
        requests.forEach(request -> startedAt.put(request.source(), request.atMs()));
    }

    void check() {
        for (History.Event event : events) {
            if (!startedAt.containsKey(event.source())) {
                continue;
            }
            if (event.is("ask")) {
                firstBroker.putIfAbsent(event.source(), event.attribute("to"));
            } else if (event.is("answer")) {
                recordAnswer(event);
            }
        }
        addFigures();
    }

    private void recordAnswer(History.Event event) {
        String client = event.source();
        String outcome = outcome(event);
        if (outcome == null) {
            return;
        }
        String previous = outcomes.put(client, outcome);
        if (previous != null) {
            if (!previous.equals(outcome) && required) {
                findings.addViolation(
                        client
                                + " was answered with two outcomes: "
                                + previous
                                + " and "
                                + outcome);
            }
            return;
        }
        tookMs.add(event.atMs() - startedAt.get(client));
        if (outcome.equals(UNKNOWN)) {
            unknown++;
        } else if (!event.attribute("to").equals(firstBroker.get(client))) {
            fromOtherBroker.add(client);
        }
    }

    /** Returns the outcome that an answer states, or null if the answer is not final. */
    private static String outcome(History.Event answer) {
        return switch (answer.attribute("status")) {
            case "200" -> answer.attribute("body");
            case "409" -> UNKNOWN;
            default -> null;
        };
    }

    private void addFigures() {
        findings.addFigure(
                "keyed requests",
                startedAt.size()
                        + " wanted, "
                        + (outcomes.size() - unknown)
                        + " told their outcome ("
                        + fromOtherBroker.size()
                        + " by another broker than the first asked), "
                        + unknown
                        + " told that it is unknown, "
                        + (startedAt.size() - outcomes.size())
                        + " gave up");
        if (tookMs.isEmpty()) {
            return;
        }
        tookMs.sort(null);
        findings.addFigure(
                "from wanting to knowing",
                String.format(
                        Locale.ROOT,
                        "p50 %d, p99 %d, most %d ms",
                        tookMs.get(tookMs.size() / 2),
                        tookMs.get(tookMs.size() * 99 / 100),
                        tookMs.get(tookMs.size() - 1)));
    }
}
