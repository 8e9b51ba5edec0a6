package reeldeal.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the results of the checkers of a history: violations of the invariants, and figures by
 * name, both in the order in which they were added.
 */
final class Findings {
    private final List<String> violations = new ArrayList<>();
    private final Map<String, String> figures = new LinkedHashMap<>();

    void addViolation(String description) {
        violations.add(description);
    }

    void addFigure(String name, String value) {
        figures.put(name, value);
    }

    List<String> violations() {
        return violations;
    }

    Map<String, String> figures() {
        return figures;
    }
}
