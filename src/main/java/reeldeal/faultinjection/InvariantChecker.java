package reeldeal.faultinjection;

import java.util.List;
import java.util.Map;

/** Checks the invariants of a fleet from a recorded history alone. */
final class InvariantChecker {
    /**
     * The result of a check.
     *
     * @param violations descriptions of the broken invariants, empty if all hold
     * @param figures counts and times taken from the history, by name
     */
    record Verdict(List<String> violations, Map<String, String> figures) {}

    private InvariantChecker() {}

    static Verdict check(List<History.Event> events) {
        Findings findings = new Findings();
        new AnswerChecker(events, findings).check();
        new CommitChecker(events, findings).check();
        new DisruptionChecker(events, findings).check();
        new DrainChecker(events, findings).check();
        new RollbackChecker(events, findings).check();
        new RolloutChecker(events, findings).check();
        return new Verdict(findings.violations(), findings.figures());
    }
}
