package reeldeal.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.Test;
import reeldeal.config.BrokerConfig;

/** Tests the warm-up queries that a broker runs before it is ready. */
public class JitWarmUpTest {
    /** A broker whose settings have no number of shards must still start. */
    @Test
    public void warmUpWorksWithoutAConfiguredNumberOfShards() throws Exception {
        BrokerConfig config;
        try (InputStream in = JitWarmUp.class.getResourceAsStream("/reeldeal/rehearsal.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            config =
                    BrokerConfig.parse(
                            text.replace("\"Ranges\": 12,", "").getBytes(StandardCharsets.UTF_8),
                            Map.of(),
                            false);
        }
        assertEquals(0, config.shards());
        assertEquals(JitWarmUp.QUERIES, JitWarmUp.run(config, 1_000));
    }

    @Test
    public void allWarmUpQueriesAreServedWithoutASocketOrAKnownSearcher() throws Exception {
        BrokerConfig config;
        try (InputStream in = JitWarmUp.class.getResourceAsStream("/reeldeal/rehearsal.json")) {
            config = BrokerConfig.parse(in.readAllBytes(), Map.of(), false);
        }
        assertTrue(config.knownSearchers().isEmpty());
        assertEquals(JitWarmUp.QUERIES, JitWarmUp.run(config, 1_000));
    }
}
