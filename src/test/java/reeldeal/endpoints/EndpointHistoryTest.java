package reeldeal.endpoints;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;

/**
 * Replays random histories, and compares the complete output of the view with a recorded digest. A
 * change of a rule, a log line or a reason changes the digest.
 */
public class EndpointHistoryTest {
    private static final List<String> SOURCES = List.of("a.", "b.", "discovery");
    private static final List<AdministrativeOverride> OVERRIDES =
            List.of(
                    AdministrativeOverride.READY,
                    AdministrativeOverride.DRAINING,
                    AdministrativeOverride.REMOVED);
    private static final int NAMES = 6;
    private static final int STEPS = 150;

    private Random random;
    private EndpointView view;
    private long now;

    @Test
    public void randomHistoriesGiveTheRecordedDigest() throws Exception {
        assertEquals(
                "d526a7fae47ae8fddaeb7e20a05a3edced4c0c02cc7b76e145bbc52154d3e4ce",
                digest(EndpointView.Rules.DEFAULT, 150));
    }

    @Test
    public void randomHistoriesUnderStrictDampingGiveTheRecordedDigest() throws Exception {
        EndpointView.Rules strict =
                new EndpointView.Rules(350, 2_000, 15_000, 600_000, 1.5, 0.8, 10_000);
        assertEquals(
                "ed90ae45599cf66f89e6723f77c754fde2e36753c29084c9217eb0b80a166f3f",
                digest(strict, 150));
    }

    private String digest(EndpointView.Rules rules, int histories) throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (long seed = 0; seed < histories; seed++) {
            random = new Random(seed);
            view = new EndpointView(rules, SOURCES);
            now = 1_000_000;
            for (int step = 0; step < STEPS; step++) {
                now += oneIn(5) ? random.nextInt(20_000) : random.nextInt(500);
                digest.update(step(rules).getBytes(UTF_8));
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private boolean oneIn(int chances) {
        return random.nextInt(chances) == 0;
    }

    /** Applies one random event, and returns the complete output of the view after it. */
    private String step(EndpointView.Rules rules) {
        StringBuilder text = new StringBuilder();
        int action = random.nextInt(20);
        if (action < 12) {
            observe();
        } else if (action == 12) {
            view.expireSource(now, randomSource());
        } else if (action < 16) {
            setOverrides();
        } else if (action == 16 && oneIn(9)) {
            String saved = view.departuresAsText();
            view = new EndpointView(rules, SOURCES);
            view.restore(now, saved + "x y\nn1. 12 3 gone\n");
        } else {
            boolean waitUntilDue = random.nextBoolean() && view.nextTickAt() < Long.MAX_VALUE;
            now = waitUntilDue ? Math.max(now, view.nextTickAt()) : now;
            view.tick(now);
        }
        text.append(view.nextTickAt())
                .append(view.takeLog())
                .append(view.entries())
                .append(view.departuresAsText());
        return oneIn(2) ? text.append(view.takeChanges()).toString() : text.toString();
    }

    private String randomSource() {
        return SOURCES.get(random.nextInt(SOURCES.size()));
    }

    private void observe() {
        String source = randomSource();
        List<EndpointReport> reports = new ArrayList<>();
        for (int i = 0; !oneIn(8) && i < NAMES; i++) {
            for (int copies = oneIn(5) ? 2 : oneIn(5) ? 0 : 1; copies > 0; copies--) {
                reports.add(report(i));
            }
        }
        view.observe(now, source, reports);
    }

    private EndpointReport report(int nameIndex) {
        List<String> addresses = List.of("h:" + (oneIn(10) ? 77 : nameIndex));
        if (oneIn(8)) {
            addresses = List.of();
        } else if (oneIn(6)) {
            addresses = List.of("10.0.0." + (9 + random.nextInt(3)) + ":1", "10.0.0.2:1");
        }
        List<Integer> cells =
                oneIn(10) ? List.of() : oneIn(8) ? List.of(2, 1) : List.of(nameIndex % 3);
        return new EndpointReport(
                "set" + (nameIndex % 2) * random.nextInt(2),
                "n" + nameIndex + ".",
                addresses,
                random.nextInt(3),
                random.nextInt(3),
                cells,
                "z" + nameIndex % 2,
                "k",
                oneIn(4) ? now - random.nextInt(3_000) : 0,
                1 + random.nextInt(2),
                oneIn(7) ? EndpointState.DRAINING : EndpointState.READY,
                addresses.isEmpty() && cells.isEmpty());
    }

    private void setOverrides() {
        Map<String, AdministrativeOverride> overrides = new HashMap<>();
        Set<String> drainedByFleet = new HashSet<>();
        for (int i = 0; i < NAMES; i++) {
            if (oneIn(6)) {
                String name = "n" + i + (random.nextBoolean() ? "." : "");
                overrides.put(name, OVERRIDES.get(random.nextInt(3)));
            }
            if (oneIn(6)) {
                drainedByFleet.add("n" + i + ".");
            }
        }
        if (oneIn(4)) {
            view.setOverrides(now, overrides);
        } else {
            view.setOverrides(now, overrides, drainedByFleet);
        }
    }
}
