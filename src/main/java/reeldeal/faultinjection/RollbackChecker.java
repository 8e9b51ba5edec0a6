package reeldeal.faultinjection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a node reports a rollback of its data directory only if an older copy was put back,
 * and that its broker serves no query after that.
 */
final class RollbackChecker {
    private static final String REPORT = "store: this folder went back";

    /** How long after the report an open query may still be completed or a new one accepted. */
    private static final long GRACE_MS = 1_000;

    private final List<History.Event> events;
    private final Findings findings;
    private final Set<String> rolledBack = new HashSet<>();
    private final Map<String, Long> reportedAt = new HashMap<>();
    private final Set<String> lateQueries = new HashSet<>();

    RollbackChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void check() {
        for (History.Event event : events) {
            if (event.is(FaultKind.OLDER.key())) {
                rolledBack.add(event.source());
            } else if (event.isLogWithPrefix(REPORT)) {
                onReport(event);
            } else if (event.is("ask")) {
                onQuery(event);
            } else if (event.is("answer")) {
                onAnswer(event);
            }
        }
        if (!reportedAt.isEmpty()) {
            findings.addFigure("nodes that reported a rollback", reportedAt.keySet().toString());
        }
    }

    private void onReport(History.Event report) {
        reportedAt.putIfAbsent(report.source(), report.atMs());
        if (!rolledBack.contains(report.source())) {
            findings.addViolation(
                    "node "
                            + report.source()
                            + " reported a rollback of an intact directory at "
                            + report.atMs()
                            + " ms: "
                            + report.detail());
        }
    }

    private void onQuery(History.Event query) {
        Long reported = reportedAt.get(query.attribute("to"));
        if (reported != null && query.atMs() > reported + GRACE_MS) {
            lateQueries.add(query.attribute("id"));
        }
    }

    private void onAnswer(History.Event answer) {
        boolean isServed = answer.attribute("status").equals("200");
        if (isServed && lateQueries.contains(answer.attribute("id"))) {
            findings.addViolation(
                    "node "
                            + answer.attribute("to")
                            + " served query "
                            + answer.attribute("id")
                            + " at "
                            + answer.atMs()
                            + " ms, after it had reported a rollback");
        }
    }
}
