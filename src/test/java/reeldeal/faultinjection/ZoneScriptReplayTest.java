package reeldeal.faultinjection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/**
 * Replays the scripts of src/test/resources/zones. The long ones in deploy/drill/zones are replayed
 * by command only.
 */
@RunWith(Parameterized.class)
public class ZoneScriptReplayTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private final Path script;

    public ZoneScriptReplayTest(String name, Path script) {
        this.script = script;
    }

    @Parameterized.Parameters(name = "{0}")
    public static Collection<Object[]> scripts() throws java.io.IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/zones"))) {
            return files.filter(f -> f.toString().endsWith(".txt"))
                    .sorted()
                    .map(f -> new Object[] {f.getFileName().toString(), f})
                    .toList();
        }
    }

    @Test
    public void noShardRequestGoesToADrainedSearcherAndEachQueryHasOneAnswer() throws Exception {
        try (ZoneScriptReplay replay =
                new ZoneScriptReplay(folder.getRoot().toPath().resolve("run"), null)) {
            ScenarioRunner.Result result = replay.play(Files.readAllLines(script));
            assertEquals(result.figures().toString(), List.of(), result.violations());
        }
        List<History.Event> events =
                History.read(folder.getRoot().toPath().resolve("run/history.txt"));
        assertTrue(
                "expected at least 4 drains; number of events: " + events.size(),
                events.stream().filter(e -> e.kind().equals("drained")).count() >= 4);
        assertTrue(
                "expected more than 100 complete answers",
                events.stream().filter(e -> e.detail().contains("whole=true")).count() > 100);
    }
}
