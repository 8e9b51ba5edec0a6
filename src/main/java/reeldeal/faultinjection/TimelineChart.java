package reeldeal.faultinjection;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Draws an SVG chart of a history: a row for each broker with its phases over time, and below the
 * rows the share of complete answers in each second.
 */
final class TimelineChart {
    private static final int WIDTH = 900;
    private static final int ROW_HEIGHT = 18;
    private static final int LABEL_WIDTH = 60;
    private static final int RIGHT_MARGIN = 10;
    private static final int FOOTER_HEIGHT = 110;
    private static final int SHARE_HEIGHT = 60;
    private static final int SECOND_MS = 1_000;

    /** The phases of a broker, with their colours. */
    private enum Phase {
        DOWN("#c0392b"),
        STARTING("#bbbbbb"),
        SERVING("#7fc99b"),
        DRAINING("#f0a33c"),
        PAUSED("#8e5bb5");

        private final String colour;

        Phase(String colour) {
            this.colour = colour;
        }

        /** Returns the phase that begins with an event, or null if none does. */
        static Phase of(History.Event event) {
            return switch (event.kind()) {
                case "start" -> STARTING;
                case "exit", "kill" -> DOWN;
                case "pause" -> PAUSED;
                case "wake" -> SERVING;
                case "log" -> ofLog(event);
                default -> null;
            };
        }

        private static Phase ofLog(History.Event event) {
            if (event.isLogWithPrefix("serving as ")
                    || event.isLogWithPrefix("fleet: serves again")) {
                return SERVING;
            }
            return event.isLogWithPrefix("fleet: drains") ? DRAINING : null;
        }
    }

    /** A phase, and when it began in ms since the drill began. */
    private record PhaseStart(Phase phase, long atMs) {}

    /** Counts of the answers of one second. */
    private static final class Answers {
        int total;
        int complete;
    }

    private final List<History.Event> events;
    private final List<String> brokers;
    private final long endMs;
    private final double scale;
    private final int height;
    private final StringBuilder svg = new StringBuilder();

    TimelineChart(List<History.Event> events) {
        this.events = events;
        Set<String> names = new TreeSet<>();
        events.stream()
                .filter(event -> event.is("start"))
                .forEach(event -> names.add(event.source()));
        brokers = List.copyOf(names);
        endMs = events.isEmpty() ? 1 : Math.max(1, events.get(events.size() - 1).atMs());
        scale = (double) (WIDTH - LABEL_WIDTH - RIGHT_MARGIN) / endMs;
        height = ROW_HEIGHT * brokers.size() + FOOTER_HEIGHT;
    }

    /** Draws the chart and returns it as SVG; may be called once. */
    String svg() {
        svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"")
                .append(WIDTH)
                .append("\" height=\"")
                .append(height)
                .append("\" font-family=\"sans-serif\" font-size=\"11\">\n")
                .append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
        for (int row = 0; row < brokers.size(); row++) {
            text(4, row * ROW_HEIGHT + 13, brokers.get(row));
        }
        drawPhases();
        drawShares();
        drawLegend();
        return svg.append("</svg>\n").toString();
    }

    private void text(int left, int top, String text) {
        svg.append("<text x=\"").append(left).append("\" y=\"").append(top).append("\">");
        svg.append(text).append("</text>\n");
    }

    private void rectangle(
            double left, double top, double width, double rectHeight, String colour) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>%n",
                        left,
                        top,
                        width,
                        rectHeight,
                        colour));
    }

    private void drawPhases() {
        Map<String, PhaseStart> current = new HashMap<>();
        for (History.Event event : events) {
            Phase phase = Phase.of(event);
            if (phase != null && brokers.contains(event.source())) {
                drawPhase(event.source(), current.get(event.source()), event.atMs());
                current.put(event.source(), new PhaseStart(phase, event.atMs()));
            }
        }
        current.forEach((broker, start) -> drawPhase(broker, start, endMs));
    }

    private void drawPhase(String broker, PhaseStart start, long end) {
        if (start == null) {
            return;
        }
        double width = Math.max(0.5, (end - start.atMs()) * scale);
        int top = brokers.indexOf(broker) * ROW_HEIGHT + 3;
        rectangle(
                LABEL_WIDTH + start.atMs() * scale,
                top,
                width,
                ROW_HEIGHT - 5,
                start.phase().colour);
    }

    private void drawShares() {
        Map<Long, Answers> bySecond = new TreeMap<>();
        for (History.Event event : events) {
            if (event.is("answer") || event.is("noanswer")) {
                Answers answers =
                        bySecond.computeIfAbsent(event.atMs() / SECOND_MS, second -> new Answers());
                answers.total++;
                answers.complete += event.detail().contains("whole=true") ? 1 : 0;
            }
        }
        int base = height - 20;
        bySecond.forEach(
                (second, answers) -> {
                    double share = (double) SHARE_HEIGHT * answers.complete / answers.total;
                    double left = LABEL_WIDTH + second * SECOND_MS * scale;
                    double width = Math.max(1, SECOND_MS * scale - 1);
                    rectangle(left, base - share, width, share, "#1f7a4d");
                });
    }

    private void drawLegend() {
        text(4, height - 50, "whole");
        text(
                LABEL_WIDTH,
                height - 5,
                "0 to "
                        + endMs / SECOND_MS
                        + " s; green serving, orange draining, grey starting, red down, violet paused; "
                        + "below, the share of answers served whole");
    }
}
