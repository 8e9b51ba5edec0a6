package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes the report of a drill: verdict, figures and time line as Markdown, and a chart of the
 * times in which each broker was out of service.
 */
final class ScenarioReport {
    private static final int MAX_VIOLATIONS_SHOWN = 50;
    private static final Set<String> SHOWN_KINDS =
            Set.of(
                    "kill",
                    "pause",
                    "wake",
                    "cut",
                    "heal",
                    "deafen",
                    "order",
                    "progress",
                    "exit",
                    "terminate",
                    "drained",
                    "undrained",
                    "broken");

    private ScenarioReport() {}

    static void write(
            Path folder, String title, List<History.Event> events, InvariantChecker.Verdict verdict)
            throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "# "
                                + title
                                + "\n\n"
                                + (verdict.violations().isEmpty()
                                        ? "All rules hold."
                                        : verdict.violations().size() + " rules broken:")
                                + "\n\n");
        verdict.violations().stream()
                .limit(MAX_VIOLATIONS_SHOWN)
                .forEach(violation -> text.append("- ").append(violation).append('\n'));
        text.append("\n| figure | |\n| --- | --- |\n");
        for (Map.Entry<String, String> figure : verdict.figures().entrySet()) {
            text.append("| ")
                    .append(figure.getKey())
                    .append(" | ")
                    .append(figure.getValue())
                    .append(" |\n");
        }
        text.append(
                "\n![Phases of each broker over time](chart.svg)\n\n## Time line\n\n| ms | who | what |\n| --- | --- | --- |\n");
        for (History.Event event : events) {
            boolean shown = SHOWN_KINDS.contains(event.kind()) || event.isLogWithPrefix("fleet: ");
            if (shown) {
                text.append("| ")
                        .append(event.atMs())
                        .append(" | ")
                        .append(event.source())
                        .append(" | ")
                        .append(event.kind().equals("log") ? "" : event.kind() + " ")
                        .append(event.detail().replace("|", "/"))
                        .append(" |\n");
            }
        }
        Files.writeString(folder.resolve("report.md"), text);
        Files.writeString(folder.resolve("chart.svg"), new TimelineChart(events).svg());
    }
}
