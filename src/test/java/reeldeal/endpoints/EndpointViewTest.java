package reeldeal.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.Test;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;

/** Tests each rule of the view in the cases that the rule is for. */
public class EndpointViewTest {
    private static final EndpointView.Rules RULES = EndpointView.Rules.DEFAULT;
    private static final List<String> SOURCES = List.of("z1", "z2", "discovery");
    private static final EndpointReport S1 = report("s1", "h:1", 0);
    private static final EndpointReport S2 = report("s2", "h:2", 1);
    private static final EndpointReport S3 = report("s3", "h:3", 0);

    private final EndpointView view = new EndpointView(RULES, SOURCES);
    private long now = 1_000_000;

    private static EndpointReport report(String name, String addresses, Integer... cells) {
        return new EndpointReport(
                "set",
                name,
                addresses.isEmpty() ? List.of() : List.of(addresses.split(",")),
                0,
                0,
                Arrays.asList(cells),
                "a",
                "std",
                0,
                1,
                EndpointState.READY,
                addresses.isEmpty() && cells.length == 0);
    }

    private static EndpointReport copyOf(
            EndpointReport report,
            EndpointState state,
            double startedMs,
            int priority,
            int weight) {
        return new EndpointReport(
                report.set(),
                report.name(),
                report.addresses(),
                priority,
                weight,
                report.cells(),
                report.zone(),
                report.kind(),
                startedMs,
                report.size(),
                state,
                report.withoutRecords());
    }

    private static EndpointReport withWeight(EndpointReport report, int weight) {
        return copyOf(report, EndpointState.READY, 0, 0, weight);
    }

    private static EndpointReport withPriority(EndpointReport report, int priority) {
        return copyOf(report, EndpointState.READY, 0, priority, 0);
    }

    private static EndpointReport startedAt(EndpointReport report, double startedMs) {
        return copyOf(report, EndpointState.READY, startedMs, 0, 0);
    }

    private static EndpointReport draining(EndpointReport report) {
        return copyOf(report, EndpointState.DRAINING, 0, 0, 0);
    }

    private void observe(String source, EndpointReport... reports) {
        view.observe(now, source, List.of(reports));
    }

    private void advance(long ms) {
        now += ms;
        view.tick(now);
    }

    /** Returns the state and address of a published name, or "-" if it is not listed. */
    private String published(String name) {
        return view.entries().stream()
                .filter(
                        e ->
                                e.searcher().name().equals(name)
                                        && e.searcher().state() != EndpointState.REMOVED)
                .map(e -> e.searcher().state() + " " + e.searcher().address())
                .findFirst()
                .orElse("-");
    }

    private EndpointView.Entry entry(String name) {
        return view.entries().stream()
                .filter(e -> e.searcher().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Searcher searcher(String name) {
        return entry(name).searcher();
    }

    private String reason(String name) {
        return entry(name).reason();
    }

    @Test
    public void aNameThatLeavesDrainsImmediatelyAndComesBackAsANewProcess() {
        observe("z1", S1, S2);
        assertEquals("READY h:1", published("s1"));
        assertEquals("not a new process when first listed", 0, searcher("s1").startedMs(), 0);
        observe("z1", S2);
        assertEquals("drains immediately", "DRAINING h:1", published("s1"));
        advance(3_000);
        observe("z1", S1, S2);
        assertEquals("READY h:1", published("s1"));
        assertEquals(
                "a new process at the same address", (double) now, searcher("s1").startedMs(), 0);
    }

    @Test
    public void aNameThatLeftIsRemovedAfterTheDrainingPeriod() {
        observe("z1", S1, S2);
        observe("z1", S2);
        advance(RULES.goneAfterMs());
        assertEquals("-", published("s1"));
        assertTrue(
                view.takeChanges().stream()
                        .anyMatch(
                                s -> s.name().equals("s1") && s.state() == EndpointState.REMOVED));
    }

    @Test
    public void aDrainingStatusIsWithdrawnWithoutANewProcess() {
        observe("z1", S1, S2);
        observe("z1", draining(S1), S2);
        assertEquals("DRAINING h:1", published("s1"));
        observe("z1", S1, S2);
        assertEquals("READY h:1", published("s1"));
        assertEquals(0, searcher("s1").startedMs(), 0);
        observe("z1", startedAt(S1, 5_000), S2);
        assertEquals("the reported start time", 5_000, searcher("s1").startedMs(), 0);
    }

    @Test
    public void anEmptySetThatIsFilledAgainWithinTheGracePeriodChangesNothing() {
        observe("z1", S1, S2);
        observe("z1");
        advance(200);
        assertEquals("READY h:1", published("s1"));
        observe("z1", S1, S2);
        advance(1_000);
        assertEquals("the same process", 0, searcher("s1").startedMs(), 0);
    }

    @Test
    public void anEmptySetDrainsItsSearchersAfterTheGracePeriod() {
        observe("z1", S1, S2);
        observe("z1");
        advance(RULES.emptyGraceMs() - 1);
        assertEquals("READY h:1", published("s1"));
        advance(1);
        assertEquals("DRAINING h:1", published("s1"));
        assertTrue("within the time limit of a drain", RULES.emptyGraceMs() < 500);
        advance(RULES.goneAfterMs());
        assertEquals("-", published("s1"));
    }

    @Test
    public void aNameMissingWhenAnEmptySetIsFilledAgainLeavesImmediately() {
        observe("z1", S1, S2);
        observe("z1");
        advance(100);
        observe("z1", S2);
        assertEquals("DRAINING h:1", published("s1"));
        assertEquals("READY h:2", published("s2"));
    }

    @Test
    public void aNameWithoutAnyValidReportIsNotListed() {
        observe("z1", report("new", ""), S2);
        assertEquals("never valid", "-", published("new"));
        observe("z1", report("new", "h:9", 2), S2);
        assertEquals("READY h:9", published("new"));
    }

    @Test
    public void theLastValidReportIsHeldWhileOnlyInvalidOnesAreListed() {
        observe("z1", report("new", "h:9", 2), S2);
        observe("z1", report("new", "", 2), S2);
        advance(RULES.holdMs() - 1);
        assertEquals("READY h:9", published("new"));
        assertTrue(reason("new"), reason("new").contains("held: no address"));
        observe("z1", report("new", "h:10", 2), S2);
        assertEquals("valid again", "READY h:10", published("new"));
        assertEquals(
                "a new process at another address", (double) now, searcher("new").startedMs(), 0);
        observe("z1", report("new", "h:10"), S2);
        assertTrue(reason("new").contains("held: no cell"));
        advance(RULES.holdMs());
        assertEquals("DRAINING h:10", published("new"));
    }

    @Test
    public void aNameWithoutAnyRecordsIsHeldForTheGracePeriodOnly() {
        observe("z1", report("new", "h:10", 2), S2);
        observe("z1", report("new", ""), S2);
        advance(RULES.emptyGraceMs());
        assertEquals("within the time limit of a drain", "DRAINING h:10", published("new"));
    }

    @Test
    public void anInvalidReportWithADrainingStatusDrainsTheName() {
        observe("z1", S1, draining(report("s1", "", 0)));
        assertEquals("DRAINING h:1", published("s1"));
    }

    @Test
    public void reportsAreChosenByPriorityThenPublishedAddressThenWeight() {
        observe("z1", withPriority(S1, 5), withPriority(report("s1", "h:7", 0), 1));
        assertEquals("the lowest priority", "READY h:7", published("s1"));
        observe("z1", report("s1", "h:7", 0), withWeight(report("s1", "h:8", 0), 100));
        assertEquals("the published address", "READY h:7", published("s1"));
        assertTrue(reason("s1"), reason("s1").contains("of the addresses h:7, h:8 h:7 counts"));
        observe("z1", report("t", "h:20", 0), withWeight(report("t", "h:21", 0), 100));
        assertEquals("the highest weight", "READY h:21", published("t"));
    }

    @Test
    public void thePublishedAddressAndCellAreKeptOtherwiseTheLowestIsChosen() {
        observe("z1", report("u", "10.0.0.10:1,10.0.0.9:1", 4, 3));
        assertEquals("the lowest address", "READY 10.0.0.9:1", published("u"));
        assertEquals("the lowest cell", 3, searcher("u").cell());
        observe("z1", report("u", "10.0.0.1:1,10.0.0.9:1", 3, 1));
        assertEquals(
                "the published address and cell",
                "READY 10.0.0.9:1 3",
                published("u") + " " + searcher("u").cell());
        observe("z1", report("u", "10.0.0.9:1", 3), draining(report("u", "10.0.0.1:1", 3)));
        assertEquals(
                "a draining status of any report applies", "DRAINING 10.0.0.9:1", published("u"));
    }

    @Test
    public void aNameThatASourceDroppedIsListedAgainOnlyByThatSource() {
        observe("z1", S1, S2);
        observe("z1", S2);
        assertEquals("DRAINING h:1", published("s1"));
        observe("discovery", S1, S2);
        assertEquals("a source of lower rank may lag", "DRAINING h:1", published("s1"));
        advance(RULES.goneAfterMs());
        assertEquals("-", published("s1"));
        observe("discovery", startedAt(S1, (double) now), S2);
        assertEquals("not even as a process that started later", "-", published("s1"));
        observe("z1", S1, S2);
        assertEquals("READY h:1", published("s1"));
        assertEquals("a new process", (double) now, searcher("s1").startedMs(), 0);
    }

    @Test
    public void departedNamesAreRestoredAfterARestart() {
        observe("z1", S1, S2);
        observe("discovery", S1, S2);
        observe("z1", S2);
        EndpointView restarted = new EndpointView(RULES, SOURCES);
        restarted.restore(now + 10_000, view.departuresAsText() + "noise\nx y z\n");
        restarted.observe(now + 10_000, "z1", List.of(S2));
        restarted.observe(now + 10_000, "discovery", List.of(S1, S2));
        assertTrue(
                restarted.entries().stream()
                        .noneMatch(
                                e ->
                                        e.searcher().name().equals("s1")
                                                && e.searcher().state() != EndpointState.REMOVED));
        restarted.observe(now + 11_000, "z1", List.of(S1, S2));
        assertEquals(
                "a new process, although it never left the restarted view",
                (double) (now + 11_000),
                restarted.entries().get(0).searcher().startedMs(),
                0);
    }

    @Test
    public void theSourceOfHighestRankDescribesANameAndADrainingStatusOfAnySourceApplies() {
        observe("z2", report("s1", "h:5", 0));
        assertEquals("READY h:5", published("s1"));
        observe("z1", S1);
        assertEquals("the source of higher rank", "READY h:1", published("s1"));
        observe("z2", draining(report("s1", "h:5", 0)));
        assertEquals("DRAINING h:1", published("s1"));
    }

    @Test
    public void namesOfAnExpiredSourceAreTakenFromTheOtherSources() {
        observe("z1", S1);
        observe("z2", report("s1", "h:5", 0));
        view.expireSource(now, "z1");
        assertEquals("READY h:5", published("s1"));
        view.expireSource(now, "z2");
        assertEquals("no source lists it", "DRAINING h:5", published("s1"));
        observe("z1", S1);
        assertEquals("the source lists it again", "READY h:1", published("s1"));
    }

    @Test
    public void namesThatFlapAreDamped() {
        observe("z1", S1, S2, S3);
        for (int i = 0; i < 5; i++) {
            observe("z1", S2, S3);
            advance(100);
            observe("z1", S1, S2, S3);
            advance(100);
        }
        assertEquals("DRAINING h:1", published("s1"));
        assertTrue(reason("s1"), reason("s1").startsWith("damped: penalty 4"));
        assertTrue("the end of the damping is scheduled", view.nextTickAt() < now + 20_000);
        advance(view.nextTickAt() - now);
        assertEquals("READY h:1", published("s1"));
    }

    @Test
    public void theOnlyNameOfItsCellIsNotDamped() {
        observe("z1", S1, S2, S3);
        for (int i = 0; i < 8; i++) {
            observe("z1", S1, S3);
            advance(10);
            observe("z1", S1, S2, S3);
            advance(10);
        }
        assertEquals("its cell has no other ready searcher", "READY h:2", published("s2"));
    }

    @Test
    public void anAdministrativeOverrideTakesPrecedenceOverAllSources() {
        observe("z1", S1, S2);
        view.setOverrides(
                now,
                Map.of(
                        "s1",
                        EndpointView.AdministrativeOverride.DRAINING,
                        "s2",
                        EndpointView.AdministrativeOverride.REMOVED));
        assertEquals("DRAINING h:1", published("s1"));
        assertEquals("-", published("s2"));
        assertEquals("the operator's word", reason("s1"));
        observe("z1", draining(S1), S2);
        view.setOverrides(now, Map.of("s1", EndpointView.AdministrativeOverride.READY));
        assertEquals("READY h:1", published("s1"));
        assertEquals("READY h:2", published("s2"));
    }

    @Test
    public void randomHistoriesNeverPublishReadyAgainstTheSources() {
        for (long seed = 0; seed < 150; seed++) {
            new RandomHistory(seed).run();
        }
    }

    /** A random history of two sources, whose invariants are checked after each step. */
    private static final class RandomHistory {
        private static final int NAMES = 6;

        private final long seed;
        private final Random random;
        private final EndpointView view = new EndpointView(RULES, List.of("a", "b"));
        private final Map<String, Searcher> published = new HashMap<>();
        private final Map<String, Long> absentSince = new HashMap<>();
        private final List<List<EndpointReport>> latest =
                new ArrayList<>(List.of(List.of(), List.of()));
        private long time;

        RandomHistory(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
        }

        void run() {
            for (int step = 0; step < 120; step++) {
                time += random.nextInt(400);
                int source = random.nextInt(2);
                if (random.nextInt(4) > 0) {
                    observe(source);
                } else {
                    view.tick(time);
                }
                view.takeChanges().forEach(s -> published.put(s.name(), s));
                for (int i = 0; i < NAMES; i++) {
                    checkName("n" + i, "seed " + seed + " step " + step + " n" + i);
                }
                checkPublishedChangesMatchTheView();
            }
        }

        private void observe(int source) {
            List<EndpointReport> reports = new ArrayList<>();
            for (int i = 0; i < NAMES; i++) {
                if (random.nextInt(4) > 0) {
                    String address = random.nextInt(8) == 0 ? "" : "h:" + i;
                    EndpointReport report = report("n" + i, address, i % 3);
                    reports.add(random.nextInt(6) == 0 ? draining(report) : report);
                }
            }
            view.observe(time, source == 0 ? "a" : "b", reports);
            latest.set(source, reports);
        }

        private void checkName(String name, String context) {
            boolean listed = isListed(0, name) || isListed(1, name);
            if (listed) {
                absentSince.remove(name);
            } else {
                absentSince.putIfAbsent(name, time);
            }
            Searcher searcher = published.get(name);
            boolean ready = searcher != null && searcher.state() == EndpointState.READY;
            assertTrue(
                    context + ": ready though the first source drains it",
                    !(ready && isDraining(0, name)));
            assertTrue(
                    context + ": ready though unlisted for longer than the grace period",
                    !ready || listed || time - absentSince.get(name) <= RULES.emptyGraceMs());
            assertTrue(
                    context + ": ready though the only source that lists it drains it",
                    !(ready && (isDraining(0, name) || isDraining(1, name)) && !isListed(0, name)));
        }

        private boolean isListed(int source, String name) {
            return latest.get(source).stream().anyMatch(r -> r.name().equals(name));
        }

        private boolean isDraining(int source, String name) {
            return latest.get(source).stream()
                    .anyMatch(r -> r.name().equals(name) && r.state() != EndpointState.READY);
        }

        private void checkPublishedChangesMatchTheView() {
            Map<String, EndpointState> states = new HashMap<>();
            view.entries().forEach(e -> states.put(e.searcher().name(), e.searcher().state()));
            published.forEach(
                    (name, searcher) ->
                            assertEquals(
                                    searcher.state(),
                                    states.getOrDefault(name, EndpointState.REMOVED)));
        }
    }
}
