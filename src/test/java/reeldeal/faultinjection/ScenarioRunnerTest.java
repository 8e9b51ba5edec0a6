package reeldeal.faultinjection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Test;
import reeldeal.config.BrokerConfig;

/**
 * Runs short scenarios with real processes, and checks the invariant checker on valid and on broken
 * histories.
 */
public class ScenarioRunnerTest {
    private static final Path RESOURCES = Path.of("src/test/resources/drill");
    private static final String OPEN_RECORD = "work/k=%2Bworth%3D1+state%3DOPEN+";
    private Path folder;

    @After
    public void deleteFolder() throws IOException {
        if (folder != null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(f);
                }
            }
        }
    }

    private List<History.Event> runScenario(String name) throws Exception {
        folder = Files.createTempDirectory("drill");
        try (ScenarioRunner drill =
                new ScenarioRunner(
                        ScenarioReader.read(RESOURCES.resolve(name + ".json")),
                        1,
                        folder.resolve("run"),
                        null,
                        null)) {
            ScenarioRunner.Result result = drill.run();
            assertEquals(result.figures().toString(), List.of(), result.violations());
        }
        assertTrue(Files.readString(folder.resolve("run/report.md")).contains("All rules hold."));
        return History.read(folder.resolve("run/history.txt"));
    }

    @Test
    public void rolloutCompletesWhenLeaderIsKilledAndFramesAreLost() throws Exception {
        List<History.Event> events = runScenario("short");
        assertEquals(
                "each broker was restarted once by the rollout",
                5,
                events.stream().filter(e -> e.detail().startsWith("fleet: ends: release")).count());
        assertEquals(
                5,
                events.stream()
                        .filter(
                                e ->
                                        e.kind().equals("final")
                                                && e.detail().equals("state=serving is=new"))
                        .count());
    }

    /** Guards against sound directories that are taken for rolled back while voters are down. */
    @Test
    public void minoritiesThatAreKilledAtRandomComeBackAsMembers() throws Exception {
        List<History.Event> events = runScenario("minorities");
        assertTrue("some were killed", events.stream().filter(e -> e.is("kill")).count() >= 6);
        Set<String> used = new HashSet<>();
        boolean usedWasRemoved = false;
        for (History.Event event : events) {
            usedWasRemoved |= event.is("drained") && used.contains(event.source());
            if (event.is("part")) {
                used.add(event.source());
            }
        }
        assertTrue("a searcher in use was taken out of the zone", usedWasRemoved);
    }

    @Test
    public void killedAndIsolatedBrokersServeFromStaleReplicasAndKeepDrains() throws Exception {
        List<History.Event> events = runScenario("apart");
        assertEquals(
                3,
                events.stream()
                        .filter(e -> e.detail().contains("going on from the copy here"))
                        .count());
        long isolatedAt =
                events.stream()
                        .filter(e -> e.detail().contains("going on from the copy here"))
                        .mapToLong(History.Event::atMs)
                        .max()
                        .orElseThrow();
        long healedAt =
                events.stream()
                        .filter(e -> e.kind().equals("heal"))
                        .mapToLong(History.Event::atMs)
                        .min()
                        .orElseThrow();
        assertTrue(
                "complete answers while the three brokers are isolated",
                events.stream()
                                .filter(
                                        e ->
                                                e.kind().equals("answer")
                                                        && e.atMs() > isolatedAt
                                                        && e.atMs() < healedAt
                                                        && e.detail().contains("whole=true"))
                                .count()
                        > 20);
    }

    @Test
    public void inFlightRequestsOfKilledOrPausedBrokersEndOnceOnOtherBrokers() throws Exception {
        List<History.Event> events = runScenario("work");
        assertEquals(
                "no client gave up before it learned the outcome of its request",
                0,
                events.stream().filter(e -> e.kind().equals("givesup")).count());
        assertTrue(
                "another broker ran the remaining shard requests",
                events.stream()
                        .anyMatch(e -> e.kind().equals("part") && e.detail().contains("~2.")));
        assertTrue(events.stream().filter(e -> e.kind().equals("want")).count() > 200);
    }

    @Test
    public void serviceRecoversInStepsAfterPowerLossWithRolloutHaltedAndDrainKept()
            throws Exception {
        List<History.Event> events = runScenario("power");
        assertEquals(
                1,
                events.stream()
                        .filter(e -> e.detail().startsWith("fleet: recovery 1 begins"))
                        .count());
        assertEquals(
                1,
                events.stream()
                        .filter(e -> e.detail().startsWith("fleet: recovery 1 is over"))
                        .count());
        assertEquals(
                "nodes that truncated a torn write from their log",
                5,
                events.stream()
                        .filter(e -> e.detail().startsWith("store: cut a torn write"))
                        .count());
        long powerLostAt =
                events.stream()
                        .filter(e -> e.kind().equals("power"))
                        .mapToLong(History.Event::atMs)
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                "the rollout is halted, by the power loss or by the budget used up before the loss was detected",
                events.stream()
                        .anyMatch(
                                e ->
                                        e.atMs() > powerLostAt
                                                && e.kind().equals("progress")
                                                && e.detail().contains("progress=halted")));
        long listedAt =
                events.stream()
                        .filter(e -> e.kind().equals("listing") && e.source().equals("s12"))
                        .mapToLong(History.Event::atMs)
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                "shard requests to the drained searcher before its new process is listed",
                0,
                events.stream()
                        .filter(
                                e ->
                                        e.kind().equals("part")
                                                && e.source().equals("s12")
                                                && e.atMs() > powerLostAt
                                                && e.atMs() < listedAt)
                        .count());
    }

    @Test
    public void voterWithRolledBackFolderIsDetectedBeforeItVotesAndReplacedByCommand()
            throws Exception {
        List<History.Event> events = runScenario("folders");
        long powerLostAt =
                events.stream()
                        .filter(e -> e.kind().equals("power"))
                        .mapToLong(History.Event::atMs)
                        .findFirst()
                        .orElseThrow();
        List<History.Event> rolledBack =
                events.stream()
                        .filter(e -> e.detail().startsWith("store: this folder went back"))
                        .toList();
        assertEquals(1, rolledBack.size());
        assertEquals("b1", rolledBack.get(0).source());
        long leaderElectedAt =
                events.stream()
                        .filter(e -> e.atMs() > powerLostAt && e.detail().contains(" leads, term "))
                        .mapToLong(History.Event::atMs)
                        .findFirst()
                        .orElseThrow();
        long othersStartedAt =
                events.stream()
                        .filter(
                                e ->
                                        e.atMs() > powerLostAt
                                                && e.kind().equals("start")
                                                && e.source().matches("b[02]"))
                        .mapToLong(History.Event::atMs)
                        .max()
                        .orElseThrow();
        assertTrue(
                "a leader was elected before the two other voters had started: elected at "
                        + leaderElectedAt
                        + " ms, started at "
                        + othersStartedAt,
                leaderElectedAt > othersStartedAt);
        assertEquals(
                "nodes that truncated a torn write from their log",
                3,
                events.stream()
                        .filter(e -> e.detail().startsWith("store: cut a torn write"))
                        .count());
        assertEquals(
                "a spare serves in place of b1",
                List.of("b0", "b2", "b3", "b4"),
                events.stream()
                        .filter(
                                e ->
                                        e.kind().equals("final")
                                                && e.detail().startsWith("state=serving"))
                        .map(History.Event::source)
                        .sorted()
                        .toList());
    }

    private static List<History.Event> events(String... lines) {
        List<History.Event> events = new ArrayList<>();
        for (String line : lines) {
            String[] fields = line.split(" ", 4);
            events.add(
                    new History.Event(
                            Long.parseLong(fields[0]),
                            fields[1],
                            fields[2],
                            fields.length > 3 ? fields[3] : ""));
        }
        return events;
    }

    @Test
    public void invariantCheckerReportsEveryBrokenHistory() {
        assertEquals(
                List.of(),
                InvariantChecker.check(
                                events(
                                        "1 c ask id=q to=b",
                                        "2 b kill",
                                        "3 c noanswer id=q to=b why=x",
                                        "4 s drained",
                                        "400 s part p",
                                        "500 s undrained",
                                        "2000 s part p",
                                        "2001 a older",
                                        "2002 a log store: this folder went back: b knows",
                                        "4000 c ask id=r to=a",
                                        "4001 c answer id=r to=a status=503"))
                        .violations());
        String[][] broken = {
            {"1 c ask id=q to=b", "3 c noanswer id=q to=b why=x"},
            {"1 c ask id=q to=b"},
            {
                "1 c ask id=q to=b",
                "2 c answer id=q to=b status=200",
                "3 c answer id=q to=b status=200"
            },
            {"4 s drained", "505 s part p"},
            {"1 a log store: this folder went back: b knows start 2 of a"},
            {
                "1 a older",
                "2 a log store: this folder went back: b knows start 2 of a",
                "3000 c ask id=q to=a",
                "3001 c answer id=q to=a status=200"
            },
            {"1 o policy 1", "2 a log fleet: drains", "3 b log fleet: drains"},
            {
                "2 a log fleet: ends: release r1",
                "3 a log serving as a",
                "4 a log fleet: ends: release r1"
            },
            {"1 o progress progress=done way=back", "2 a final state=serving is=new"},
            {
                "1 log commit version=1 fleet/policy=%2Bbrokers_out%3D1 fleet/boot/a=%2Bboot%3Da fleet/boot/b=%2Bboot%3Db fleet/permit/broker/a=%2Bplanned%3Dtrue",
                "2 log commit version=2 fleet/permit/broker/b=%2Bplanned%3Dtrue"
            },
            {
                "1 log commit version=1 fleet/boot/a=%2Bboot%3Da fleet/permit/broker/a=%2Bplanned%3Dtrue+mark%3Da",
                "2 log commit version=2 fleet/permit/broker/a=-"
            },
            {
                "0 o mode {keyed=required}",
                "1 k want",
                "2 s1 run part=k/1 times=1",
                "3 s2 run part=k/1 times=2"
            },
            {
                "0 o mode {keyed=required}",
                "1 k want",
                "2 k ask id=1 key=k to=a",
                "3 k answer id=1 key=k to=a status=200 body=x",
                "4 k ask id=2 key=k to=b",
                "5 k answer id=2 key=k to=b status=200 body=y"
            },
            {
                "1 log commit version=1 fleet/boot/a=%2Bboot%3Da "
                        + OPEN_RECORD
                        + "owner%3Da+incarnation%3D1",
                "2 log commit version=2 " + OPEN_RECORD + "owner%3Db+incarnation%3D2"
            },
            {
                "1 log commit version=1 " + OPEN_RECORD.replace("OPEN", "DONE") + "owner%3Da",
                "2 log commit version=2 " + OPEN_RECORD + "owner%3Da"
            }
        };
        for (String[] history : broken) {
            assertTrue(
                    String.join("; ", history),
                    !InvariantChecker.check(events(history)).violations().isEmpty());
        }
    }

    @Test
    public void shardRequestNamesAreReadByTextLength() {
        assertEquals(
                List.of("q.1", "q.2"),
                FakeSearcher.shardRequestNames("q.1 1 d=3 1\nxq.2 2 d=3,k=y 2\nzz"));
    }

    @Test
    public void invalidScenarioErrorNamesTheKey() throws Exception {
        folder = Files.createTempDirectory("drill");
        Path file =
                Files.writeString(
                        folder.resolve("s.json"),
                        "{\"voters\": 3, \"actions\": [{\"verb\": \"explode\"}]}");
        try {
            ScenarioReader.read(file);
            assertTrue("invalid scenario was accepted", false);
        } catch (BrokerConfig.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().contains("actions.0.verb: expected one of"));
        }
    }
}
