package reeldeal.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.InputStream;
import java.util.Map;
import org.junit.Test;
import reeldeal.config.Config;

/** The queries that a broker puts to itself before it is ready. */
public class PracticeTest {
    @Test
    public void allPracticeQueriesAreServedWithNoSocketAndNoSearcherKnown() throws Exception {
        Config config;
        try (InputStream in = Practice.class.getResourceAsStream("/reeldeal/rehearsal.json")) {
            config = Config.parse(in.readAllBytes(), Map.of(), false);
        }
        assertTrue(config.known().isEmpty());
        assertEquals(Practice.QUERIES, Practice.run(config, 1_000));
    }
}
