package reeldeal.server;

import static org.junit.Assert.assertEquals;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.Test;
import reeldeal.config.BrokerConfig;

/** Tests the connect timeout to searchers that follows from the configuration. */
public class ConnectTimeoutTest {
    private static int connectTimeoutWith(String find, String replacement) throws Exception {
        try (InputStream in = JitWarmUp.class.getResourceAsStream("/reeldeal/rehearsal.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return BrokerServer.connectTimeoutMs(
                    BrokerConfig.parse(
                            text.replace(find, replacement).getBytes(StandardCharsets.UTF_8),
                            Map.of(),
                            false));
        }
    }

    @Test
    public void theConfiguredTimeoutAppliesIfTheShortestObjectiveLeavesTimeForAnotherReplica()
            throws Exception {
        assertEquals(250, connectTimeoutWith("8000.0", "8000.0"));
    }

    @Test
    public void theTimeoutIsAtMostAQuarterOfTheShortestObjective() throws Exception {
        assertEquals(95, connectTimeoutWith("8000.0", "380.0"));
    }
}
