package reeldeal.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.recovery.Epoch;

/**
 * Checks the rules of the fleet's recovery after a loss of power over a recorded history, and
 * measures how long each recovery took.
 */
final class RecoveryChecker {
    private static final Map<String, Integer> PRIORITY_WEIGHTS =
            Map.of("audit-report", 3, "bid-mark", 2, "notice-search", 1);

    /** The time before the first loss over which the usual worth of answers is averaged, ms. */
    private static final long BASELINE_MS = 5_000;

    /** The longest time after a loss that its figures cover, ms. */
    private static final long OBSERVED_MS = 60_000;

    /** The time after a loss in which new connections to searchers are counted, ms. */
    private static final long CONNECTIONS_MS = 10_000;

    /** The length of the slots over which the worth of answers is summed, ms. */
    private static final int SLOT_MS = 500;

    private final List<History.Event> events;
    private final Findings findings;
    private Epoch latest = Epoch.of(new FleetView(Map.of()));
    private int epochs;
    private int stepsBack;

    RecoveryChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
    }

    /** Checks the step from the previous state of the recovery to that after a commit. */
    void checkCommit(FleetView after, long version) {
        Epoch current = Epoch.of(after);
        if (current.version() == latest.version()) {
            return;
        }
        if (current.number() != latest.number()) {
            epochs++;
            if (current.number() != latest.number() + 1 || current.step() != 1 || current.ended()) {
                findings.addViolation(
                        "version "
                                + version
                                + ": expected the next recovery to begin at step 1 after "
                                + latest
                                + ", found "
                                + current);
            }
            if (after.release() != null && after.release().isRunning()) {
                findings.addViolation(
                        "version "
                                + version
                                + ": the release is still running in recovery "
                                + current.number());
            }
        } else if ((!current.ended() && Math.abs(current.step() - latest.step()) > 1)
                || (current.ended() && (latest.ended() || latest.step() < 2))) {
            findings.addViolation(
                    "version "
                            + version
                            + ": expected a recovery to move by one step or to end once from step 2 on, moved from "
                            + latest
                            + " to "
                            + current);
        }
        stepsBack += current.number() == latest.number() && current.step() < latest.step() ? 1 : 0;
        latest = current;
    }

    /** Checks the events of clients and searchers, and adds the figures of each loss of power. */
    void check() {
        List<History.Event> losses = events.stream().filter(event -> event.is("power")).toList();
        if (losses.isEmpty()) {
            return;
        }
        boolean rampEnabled =
                events.stream()
                        .anyMatch(event -> event.is("steps") && !event.detail().equals("off"));
        long overloaded = events.stream().filter(event -> event.is("fell")).count();
        if (rampEnabled && overloaded > 0) {
            findings.addViolation(
                    overloaded + " searchers were overloaded during slow start, expected none");
        }
        if (!latest.ended()) {
            findings.addViolation(
                    "recovery " + latest + " has not ended by the end of the history");
        }
        long fleetWide = losses.stream().filter(loss -> loss.attribute("zone").isEmpty()).count();
        findings.addFigure(
                "losses of power",
                fleetWide
                        + " of everything, "
                        + (losses.size() - fleetWide)
                        + " of a zone; "
                        + epochs
                        + " recoveries, "
                        + stepsBack
                        + " steps taken back; searchers pushed over: "
                        + overloaded);
        long first = losses.get(0).atMs();
        double usualWorthPerMs =
                (double)
                                events.stream()
                                        .filter(
                                                event ->
                                                        isServedComplete(event)
                                                                && event.atMs()
                                                                        >= first - BASELINE_MS
                                                                && event.atMs() < first)
                                        .mapToInt(RecoveryChecker::priorityWeight)
                                        .sum()
                        / BASELINE_MS;
        List<String> rows = new ArrayList<>();
        for (int i = 0; i < losses.size(); i++) {
            History.Event loss = losses.get(i);
            long end =
                    Math.min(
                            loss.atMs() + OBSERVED_MS,
                            i + 1 < losses.size() ? losses.get(i + 1).atMs() : Long.MAX_VALUE);
            rows.add(describeRecovery(loss, end, usualWorthPerMs));
        }
        for (int i = 0; i < rows.size(); i++) {
            findings.addFigure("loss " + (i + 1), rows.get(i));
        }
    }

    private String describeRecovery(History.Event loss, long end, double usualWorthPerMs) {
        long lossAt = loss.atMs();
        long firstAnswerAt =
                events.stream()
                        .filter(
                                event ->
                                        isServedComplete(event)
                                                && event.atMs() > lossAt
                                                && event.atMs() < end)
                        .mapToLong(History.Event::atMs)
                        .findFirst()
                        .orElse(-1);
        long[] reachedAfterMs = {-1, -1};
        Map<Long, Integer> worthBySlot = new TreeMap<>();
        Map<String, Integer> worthByClass = new TreeMap<>();
        long connections = 0;
        for (History.Event event : events) {
            if (event.atMs() <= lossAt || event.atMs() >= end) {
                continue;
            }
            connections += event.is("conn") && event.atMs() < lossAt + CONNECTIONS_MS ? 1 : 0;
            if (isServedComplete(event)) {
                worthBySlot.merge(
                        (event.atMs() - lossAt) / SLOT_MS, priorityWeight(event), Integer::sum);
                worthByClass.merge(event.attribute("class"), priorityWeight(event), Integer::sum);
            }
        }
        double[] shares = {0.5, 0.9};
        for (int i = 0; i < shares.length; i++) {
            for (long slot = 0; slot * SLOT_MS + lossAt < end && reachedAfterMs[i] < 0; slot++) {
                int worthOfTwoSlots =
                        worthBySlot.getOrDefault(slot, 0) + worthBySlot.getOrDefault(slot + 1, 0);
                reachedAfterMs[i] =
                        worthOfTwoSlots >= shares[i] * usualWorthPerMs * 2 * SLOT_MS
                                ? slot * SLOT_MS
                                : -1;
            }
        }
        return String.format(
                Locale.ROOT,
                "%s: first answer after %s, half of the worth before after %s, nine tenths after %s; worth served in %d s by class %s"
                        + " (%.0f a second before); %d connections to searchers in the first ten seconds",
                loss.attribute("zone").isEmpty() ? "everything" : "zone " + loss.attribute("zone"),
                millisOrNever(firstAnswerAt < 0 ? -1 : firstAnswerAt - lossAt),
                millisOrNever(reachedAfterMs[0]),
                millisOrNever(reachedAfterMs[1]),
                (Math.min(end, lossAt + OBSERVED_MS) - lossAt) / 1_000,
                worthByClass,
                usualWorthPerMs * 1_000,
                connections);
    }

    private static String millisOrNever(long ms) {
        return ms < 0 ? "never" : ms + " ms";
    }

    private static boolean isServedComplete(History.Event event) {
        return event.is("answer")
                && event.detail().contains("class=")
                && event.detail().contains("whole=true");
    }

    private static int priorityWeight(History.Event event) {
        return PRIORITY_WEIGHTS.getOrDefault(event.attribute("class"), 0);
    }
}
