package reeldeal.serve;

import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.stream.Stream;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/** Plays the scripts of src/test/resources/zones; the long ones there are played by command. */
@RunWith(Parameterized.class)
public class DrainReplayTest {
    @Parameterized.Parameters(name = "{0}")
    public static Collection<Object[]> scripts() throws java.io.IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/zones"))) {
            return files.filter(f -> f.toString().endsWith(".txt")).sorted()
                    .map(f -> new Object[] {f.getFileName().toString(), f}).toList();
        }
    }

    private final Path script;

    public DrainReplayTest(String name, Path script) {
        this.script = script;
    }

    @Test
    public void noPartGoesToADrainedSearcherAndEachQueryHasOneAnswer() throws Exception {
        try (DrainReplay replay = new DrainReplay()) {
            DrainReplay.Result result = replay.play(Files.readAllLines(script));
            assertTrue(result.toString(), result.drains() > 0 && result.asked() > 50 && result.whole() > 0);
        }
    }
}
