package reeldeal.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;

/**
 * Guards against a searcher that one source reports as draining or gone and that serves again
 * because another source lists it.
 */
public class SourceStatementsTest {
    private static final EndpointView.Rules RULES = EndpointView.Rules.DEFAULT;
    private static final String ZONE = "z.";
    private static final String DISCOVERY = "discovery";
    private static final List<String> SOURCES = List.of(ZONE, DISCOVERY);
    private static final EndpointReport S1 = report("s1", EndpointState.READY);
    private static final EndpointReport S2 = report("s2", EndpointState.READY);
    private static final EndpointReport S1_DRAINING = report("s1", EndpointState.DRAINING);

    private EndpointView view = new EndpointView(RULES, SOURCES);
    private long now = 1_000_000;

    private static EndpointReport report(String name, EndpointState state) {
        return new EndpointReport(
                "set",
                name,
                List.of("h:" + name),
                0,
                0,
                List.of(0),
                "a",
                "std",
                0,
                1,
                state,
                false);
    }

    private void observe(String source, EndpointReport... reports) {
        view.observe(now, source, List.of(reports));
    }

    private void bothListAll() {
        observe(ZONE, S1, S2);
        observe(DISCOVERY, S1, S2);
        assertServes(true);
    }

    /** Asserts whether s1 is published as ready, now and after it may have been forgotten. */
    private void assertServes(boolean expected) {
        for (long wait : new long[] {0, RULES.goneAfterMs(), 2 * RULES.rememberMs()}) {
            now += wait;
            view.tick(now);
            assertEquals(view.entries().toString(), expected, isReady("s1"));
        }
    }

    private boolean isReady(String name) {
        return view.entries().stream()
                .anyMatch(
                        e ->
                                e.searcher().name().equals(name)
                                        && e.searcher().state() == EndpointState.READY);
    }

    private void restart(List<String> sources) {
        String saved = view.departuresAsText();
        view = new EndpointView(RULES, sources);
        view.restore(now, saved);
    }

    /** Lists s1 again in the source that withdrew it, and asserts that it warms up. */
    private void assertServesOnceListedAgainBy(String source) {
        observe(source, S1, S2);
        assertServes(true);
        double startedMs =
                view.entries().stream()
                        .filter(e -> e.searcher().name().equals("s1"))
                        .findFirst()
                        .orElseThrow()
                        .searcher()
                        .startedMs();
        assertTrue("it counts as a new process", startedMs > 0);
    }

    @Test
    public void goneByAWholeListHolds() {
        for (String source : SOURCES) {
            bothListAll();
            observe(source, S2);
            assertServes(false);
            observe(source.equals(ZONE) ? DISCOVERY : ZONE, S1, S2);
            assertServes(false);
            assertServesOnceListedAgainBy(source);
        }
    }

    @Test
    public void goneAfterADrainHolds() {
        for (String source : SOURCES) {
            bothListAll();
            observe(source, S1_DRAINING, S2);
            assertServes(false);
            observe(source, S2);
            assertServes(false);
            assertServesOnceListedAgainBy(source);
        }
    }

    @Test
    public void goneByAChangeHoldsEvenIfTheSourceNeverListedTheName() {
        observe(ZONE, S1, S2);
        observe(DISCOVERY, S2);
        assertServes(true);
        view.observe(now, DISCOVERY, List.of(S2), Set.of("s1"));
        assertServes(false);
        observe(ZONE, S1, S2);
        observe(DISCOVERY, S2);
        assertServes(false);
        assertServesOnceListedAgainBy(DISCOVERY);
    }

    @Test
    public void whatASourceSaidOutlastsARestart() {
        for (String source : SOURCES) {
            for (boolean draining : new boolean[] {true, false}) {
                bothListAll();
                observe(source, draining ? new EndpointReport[] {S1_DRAINING, S2} : array(S2));
                String other = source.equals(ZONE) ? DISCOVERY : ZONE;
                for (int restarts = 0; restarts < 2; restarts++) {
                    now += 2 * RULES.rememberMs();
                    restart(SOURCES);
                    observe(other, S1, S2);
                    assertServes(false);
                }
                observe(source, S2);
                assertServes(false);
                assertServesOnceListedAgainBy(source);
            }
        }
    }

    private static EndpointReport[] array(EndpointReport... reports) {
        return reports;
    }

    @Test
    public void whatIsRestoredAfterTheFirstObservationsTakesEffect() {
        bothListAll();
        observe(ZONE, S2);
        String saved = view.departuresAsText();
        view = new EndpointView(RULES, SOURCES);
        observe(DISCOVERY, S1, S2);
        view.restore(now, saved);
        assertServes(false);
        observe(ZONE, S2);
        assertServes(false);
        view.restore(now, "s2 1000 1 gone\n");
        assertTrue("an observation takes precedence", isReady("s2"));
        view.expireSource(now, DISCOVERY);
        view.restore(now, "s2 1000 1 gone\n");
        assertTrue("even after its source has expired", isReady("s2"));
    }

    @Test
    public void restoredStatementsAreAssignedToTheirSourcesByName() {
        bothListAll();
        observe(ZONE, S2);
        restart(List.of("other.", ZONE, DISCOVERY));
        observe("other.", S1, S2);
        observe(DISCOVERY, S1, S2);
        assertServes(false);
        assertServesOnceListedAgainBy(ZONE);
        observe(ZONE, S2);
        restart(List.of(DISCOVERY));
        observe(DISCOVERY, S1, S2);
        assertTrue("its source does not exist any more", isReady("s1"));
    }

    @Test
    public void whatASourceSaidOutlastsItsExpiry() {
        bothListAll();
        observe(ZONE, S2);
        view.expireSource(now, ZONE);
        observe(DISCOVERY, S1, S2);
        assertServes(false);
        assertServesOnceListedAgainBy(ZONE);
        observe(ZONE, S1_DRAINING, S2);
        view.expireSource(now, ZONE);
        assertServes(false);
        observe(ZONE, S1, S2);
        assertServes(true);
    }

    @Test
    public void aNameMissingFromTheFirstCopyAfterAnExpiryIsGone() {
        bothListAll();
        view.expireSource(now, ZONE);
        assertServes(true);
        observe(ZONE, S2);
        assertServes(false);
        assertServesOnceListedAgainBy(ZONE);
    }

    @Test
    public void anOverrideTakesPrecedenceAndLeavesTheStatementsAsTheyWere() {
        bothListAll();
        observe(DISCOVERY, S2);
        view.setOverrides(now, Map.of("s1", AdministrativeOverride.READY));
        assertServes(true);
        view.setOverrides(now, Map.of());
        assertServes(false);
        view.setOverrides(now, Map.of("s1", AdministrativeOverride.REMOVED));
        view.setOverrides(now, Map.of());
        assertServes(false);
        assertServesOnceListedAgainBy(DISCOVERY);
    }

    @Test
    public void aHalfAppliedChangeOfASourceThatDoesNotDescribeTheNameIsNotADrain() {
        bothListAll();
        EndpointReport withoutAddress =
                new EndpointReport(
                        "set",
                        "s1",
                        List.of(),
                        0,
                        0,
                        List.of(0),
                        "",
                        "",
                        0,
                        1,
                        EndpointState.READY,
                        false);
        observe(DISCOVERY, withoutAddress, S2);
        now += RULES.holdMs() - 1;
        view.tick(now);
        assertTrue(isReady("s1"));
        assertEquals(0, view.entries().get(0).searcher().startedMs(), 0);
        now += 1;
        view.tick(now);
        assertServes(false);
    }

    @Test
    public void aSearcherThatAllSourcesDroppedServesOnlyOnceAllOfThemListItAgain() {
        bothListAll();
        observe(ZONE, S2);
        observe(DISCOVERY, S2);
        assertServes(false);
        observe(DISCOVERY, S1, S2);
        assertServes(false);
        assertServesOnceListedAgainBy(ZONE);
    }

    @Test
    public void theLatestDeparturesAreRememberedAndSavedIfThereAreMany() {
        int names = 12_000;
        for (int i = 0; i < names; i += 1_000) {
            List<EndpointReport> listed = new ArrayList<>(List.of(S2));
            for (int j = i; j < i + 1_000; j++) {
                listed.add(
                        report("name-of-some-length-" + j + ".example.org.", EndpointState.READY));
            }
            view.observe(now, ZONE, listed);
            now += 2 * RULES.goneAfterMs();
            observe(ZONE, S2);
            now += RULES.goneAfterMs();
            view.tick(now);
        }
        assertTrue("" + view.entries().size(), view.entries().size() <= 10_000);
        String saved = view.departuresAsText();
        assertTrue("" + saved.length(), saved.length() <= 200_000);
        assertTrue(saved.contains("name-of-some-length-11999.example.org. "));
        now += 2 * RULES.rememberMs();
        observe(ZONE, S2);
        assertEquals(1_001, view.entries().size());
    }

    @Test
    public void randomHistoriesKeepEveryStatementUntilItsSourceWithdrawsIt() {
        for (long seed = 0; seed < 300; seed++) {
            new RandomHistory(seed).run();
        }
    }

    /** A random history with restarts and expiries, checked against what each source said last. */
    private static final class RandomHistory {
        private static final int NAMES = 4;
        private static final List<String> ALL_SOURCES = List.of("a.", "b.", DISCOVERY);

        private final long seed;
        private final Random random;
        private final Map<String, Map<String, EndpointState>> said = new HashMap<>();
        private final Set<String> reporting = new HashSet<>();
        private EndpointView view = new EndpointView(RULES, ALL_SOURCES);
        private long time = 1_000_000;

        RandomHistory(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            ALL_SOURCES.forEach(source -> said.put(source, new HashMap<>()));
        }

        void run() {
            for (int step = 0; step < 120; step++) {
                time += random.nextInt(10) == 0 ? random.nextInt(900_000) : random.nextInt(400);
                String source = ALL_SOURCES.get(random.nextInt(ALL_SOURCES.size()));
                switch (random.nextInt(12)) {
                    case 0 -> restart();
                    case 1 -> expire(source);
                    case 2 -> view.tick(time);
                    default -> observe(source);
                }
                check("seed " + seed + " step " + step);
            }
        }

        private void restart() {
            String saved = view.departuresAsText();
            view = new EndpointView(RULES, ALL_SOURCES);
            view.restore(time, saved);
            reporting.clear();
            // A source that only listed a name has said nothing that must outlast the restart.
            said.values().forEach(s -> s.values().removeIf(state -> state == EndpointState.READY));
        }

        private void expire(String source) {
            view.expireSource(time, source);
            reporting.remove(source);
        }

        private void observe(String source) {
            List<EndpointReport> reports = new ArrayList<>();
            Set<String> gone = new HashSet<>();
            Map<String, EndpointState> saidBySource = said.get(source);
            // One name is always listed, since a set that becomes empty has a grace period.
            reports.add(report("always", EndpointState.READY));
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                int choice = random.nextInt(6);
                if (choice > 1) {
                    EndpointState state =
                            choice == 2 ? EndpointState.DRAINING : EndpointState.READY;
                    reports.add(report(name, state));
                    saidBySource.put(name, state);
                } else if (choice == 1 && source.equals(DISCOVERY)) {
                    gone.add(name);
                    saidBySource.put(name, EndpointState.REMOVED);
                } else {
                    saidBySource.replace(name, EndpointState.REMOVED);
                }
            }
            view.observe(time, source, reports, gone);
            reporting.add(source);
        }

        private void check(String context) {
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                boolean withdrawn = false;
                boolean listed = false;
                for (String source : ALL_SOURCES) {
                    EndpointState state = said.get(source).get(name);
                    withdrawn |= state != null && state != EndpointState.READY;
                    listed |= state == EndpointState.READY && reporting.contains(source);
                }
                String text = context + " " + name + " " + said;
                boolean damped =
                        view.entries().stream()
                                .anyMatch(
                                        e ->
                                                e.searcher().name().equals(name)
                                                        && e.reason().startsWith("damped"));
                boolean ready =
                        view.entries().stream()
                                .anyMatch(
                                        e ->
                                                e.searcher().name().equals(name)
                                                        && e.searcher().state()
                                                                == EndpointState.READY);
                assertEquals(text, listed && !withdrawn && !damped, ready);
            }
        }
    }
}
