package reeldeal.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.takeover.TakeoverConfig;
import reeldeal.takeover.TakeoverConfig.Mode;

/**
 * Tests the takeover settings in the store's file: their defaults, configured values and the errors
 * for invalid values.
 */
public class StoreConfigReaderTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private TakeoverConfig read(int nodes, String extraSettings) throws Exception {
        StringBuilder file = new StringBuilder("{\"node\":\"n0\",\"folder\":\"x\",\"nodes\":{");
        for (int i = 0; i < nodes; i++) {
            file.append(i > 0 ? "," : "")
                    .append("\"n")
                    .append(i)
                    .append("\":\"127.0.0.1:")
                    .append(1_000 + i)
                    .append('"');
        }
        return StoreConfigReader.read(
                        Map.of(
                                "REELDEAL_STORE",
                                Files.writeString(
                                                folder.newFile().toPath(),
                                                file + "}" + extraSettings + "}")
                                        .toString()))
                .takeover();
    }

    private void assertInvalid(String extraSettings, String expectedMessage) throws Exception {
        try {
            read(3, extraSettings);
            throw new AssertionError("invalid settings were accepted: " + extraSettings);
        } catch (BrokerConfig.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().contains(expectedMessage));
        }
    }

    @Test
    public void requestsWithKeysAreRecordedByDefaultInAFleetOfThreeVoters() throws Exception {
        String fleet = ",\"fleet\":{\"zone\":\"a\"}";
        assertNull(read(3, ""));
        assertNull(read(1, fleet));
        assertEquals(TakeoverConfig.DEFAULT, read(3, fleet));
        assertNull(read(3, fleet + ",\"handover\":{\"keyed\":\"off\"}"));
        TakeoverConfig configured =
                read(
                        1,
                        fleet
                                + ",\"handover\":{\"classes\":{\"audit-report\":\"required\"},\"keep_ms\":5000,\"learned\":\"paces\"}");
        assertEquals(Mode.REQUIRED, configured.mode("audit-report", false));
        assertEquals(Mode.OFF, configured.mode("bid-mark", true));
        assertEquals(5_000, configured.retentionMs());
        assertEquals("[paces]", configured.sharedStats().toString());
    }

    @Test
    public void anInvalidSettingIsReportedWithItsKey() throws Exception {
        String fleet = ",\"fleet\":{\"zone\":\"a\"}";
        assertInvalid(",\"handover\":{\"keyed\":\"required\"}", "handover: needs fleet");
        assertInvalid(
                fleet + ",\"handover\":{\"keyed\":\"always\"}",
                "handover.keyed: expected required, preferred or off, found always");
        assertInvalid(fleet + ",\"handover\":{\"keyd\":\"off\"}", "handover.keyd: no such setting");
        assertInvalid(
                fleet + ",\"handover\":{\"classes\":{\"bid-mark\":\"on\"}}",
                "handover.classes.bid-mark: expected required");
        assertInvalid(
                fleet + ",\"handover\":{\"make_ms\":\"soon\"}",
                "handover.make_ms: expected a whole number from 1 to 9999999, found soon");
        assertInvalid(
                fleet + ",\"handover\":{\"learned\":\"all\"}",
                "handover.learned: expected ejections, paces");
    }
}
