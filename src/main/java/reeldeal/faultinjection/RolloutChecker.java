package reeldeal.faultinjection;

import java.util.List;
import java.util.Optional;

/**
 * Checks how a rollout ended and which configuration each member serves at the end, and takes over
 * the failures that the drill itself recorded.
 */
final class RolloutChecker {
    private final List<History.Event> events;
    private final Findings findings;

    RolloutChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    void check() {
        events.stream()
                .filter(event -> event.is("broken"))
                .forEach(event -> findings.addViolation(event.detail()));
        lastProgress("").ifPresent(this::checkMembers);
        addTimeToHalt();
        addDuration();
        events.stream()
                .filter(event -> event.is("cost"))
                .forEach(event -> findings.addFigure("cost of " + event.source(), event.detail()));
        events.stream()
                .filter(event -> event.is("frames"))
                .forEach(event -> findings.addFigure("frames between nodes", event.detail()));
    }

    private Optional<History.Event> lastProgress(String containing) {
        return events.stream()
                .filter(event -> event.is("progress") && event.detail().contains(containing))
                .reduce((earlier, later) -> later);
    }

    private void checkMembers(History.Event end) {
        findings.addFigure("the release's end", end.detail());
        if (!end.detail().contains("progress=done")) {
            return;
        }
        String expected = end.detail().contains("way=back") ? "old" : "new";
        for (History.Event event : events) {
            boolean asExpected =
                    event.attribute("state").equals("serving")
                            && event.attribute("is").equals(expected);
            if (event.is("final") && !asExpected) {
                findings.addViolation(
                        "at the end of the history "
                                + event.source()
                                + " is "
                                + event.detail()
                                + ", expected it to serve with the "
                                + expected
                                + " configuration");
            }
        }
    }

    private void addTimeToHalt() {
        long killedAt = -1;
        for (History.Event event : events) {
            boolean halted =
                    event.is("progress")
                            && event.detail().contains("progress=halted")
                            && event.detail().contains("budget");
            if (event.is("kill")) {
                killedAt = event.atMs();
            } else if (halted && killedAt >= 0) {
                findings.addFigure(
                        "from a broker's death to the halt", (event.atMs() - killedAt) + " ms");
                killedAt = -1;
            }
        }
    }

    private void addDuration() {
        Optional<History.Event> firstRunning =
                events.stream()
                        .filter(
                                event ->
                                        event.is("progress")
                                                && event.detail().contains("progress=running"))
                        .findFirst();
        Optional<History.Event> lastDone = lastProgress("progress=done");
        if (firstRunning.isPresent() && lastDone.isPresent()) {
            long tookMs = lastDone.get().atMs() - firstRunning.get().atMs();
            findings.addFigure("the release took", tookMs + " ms");
        }
    }
}
