package reeldeal.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.dns.Tsig;
import reeldeal.zones.ZonesConfig;

/** Tests valid and invalid {@code dns} sections of the store's file, and TSIG key files. */
public class ZonesConfigReaderTest {
    @Rule public TemporaryFolder folder = new TemporaryFolder();

    private StoreConfigReader read(String dns) throws Exception {
        Path file = folder.getRoot().toPath().resolve("store.json");
        Files.writeString(
                file,
                "{\"node\":\"a\",\"folder\":\"x\",\"nodes\":{\"a\":\"127.0.0.1:1\"},\"dns\":{\"listen\":\"127.0.0.1:2\","
                        + dns
                        + "}}");
        return StoreConfigReader.read(Map.of("REELDEAL_STORE", file.toString()));
    }

    private Path writeKeyFile(String mode) throws Exception {
        Path file = folder.getRoot().toPath().resolve("key" + mode);
        TsigKeyFile.write(file, new Tsig.Key("k.test.", "hmac-sha512.", new byte[32]));
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(mode));
        return file;
    }

    @Test
    public void theExampleConfigurationIsValid() throws Exception {
        ZonesConfig zones =
                StoreConfigReader.read(Map.of("REELDEAL_STORE", "deploy/example/store.json"))
                        .zones();
        assertEquals(2, zones.zones().size());
        assertTrue(zones.zones().get(0).searchers() && !zones.zones().get(1).searchers());
        assertEquals("hmac-sha256.", zones.keys().get("update.example.org.").algorithm());
    }

    @Test
    public void anInvalidSettingIsReportedWithItsKey() throws Exception {
        String zone = "\"zones\":[{\"origin\":\"z.test\",\"file\":\"deploy/example/tartu.zone\"";
        Map<String, String> expectedMessages = new LinkedHashMap<>();
        expectedMessages.put("\"orign\":\"z\"", "store dns.orign: no such setting");
        expectedMessages.put(
                zone + ",\"searcher\":true}]", "store dns.zones.0.searcher: no such setting");
        expectedMessages.put(
                zone + ",\"searchers\":\"yes\"}]",
                "store dns.zones.0.searchers: expected true or false, found yes");
        expectedMessages.put(
                zone + ",\"primaries\":[{\"address\":\"127.0.0.1:3\"}]}]",
                "store dns.zones.0.file: expected either a file or primaries");
        expectedMessages.put(
                zone + ",\"allow_query\":[\"10.0.0.1/8\"]}]",
                "store dns.zones.0.allow_query: expected any, loopback");
        expectedMessages.put(
                zone + ",\"allow_update\":[\"key:no\"]}]",
                "store dns.zones.0.allow_update: expected a key of dns.key_files, found key:no");
        expectedMessages.put(
                zone + ",\"notify\":[{\"address\":\"192.0.2.1:53\"}]}]",
                "store dns.zones.0.notify.0.address: expected a loopback address, found 192.0.2.1");
        expectedMessages.put(
                zone + "},{\"origin\":\"Z.test.\",\"file\":\"deploy/example/tartu.zone\"}]",
                "store dns.zones: zone z.test. is configured twice");
        expectedMessages.put(
                zone + "}],\"max_connections\":0",
                "store dns.max_connections: expected a whole number from 1 to 10000, found 0");
        expectedMessages.put(
                "\"origin\":\"z.test\",\"zone_file\":\"no/such\"",
                "store dns.zone_file: cannot be read: no/such");
        expectedMessages.put(
                "\"idle_ms\":500", "store dns: expected zones, or origin and zone_file");
        expectedMessages.forEach(
                (dns, expectedMessage) -> {
                    String message =
                            assertThrows(
                                            dns,
                                            BrokerConfig.InvalidConfigException.class,
                                            () -> read(dns))
                                    .getMessage();
                    assertTrue(
                            message + ", expected " + expectedMessage,
                            message.startsWith(expectedMessage));
                });
    }

    @Test
    public void aKeyFileReadableByOthersOrWithAShortSecretIsRejected() throws Exception {
        assertEquals("k.test.", TsigKeyFile.read(writeKeyFile("rw-------")).name());
        String message =
                assertThrows(
                                BrokerConfig.InvalidConfigException.class,
                                () -> TsigKeyFile.read(writeKeyFile("rw-r-----")))
                        .getMessage();
        assertTrue(
                message,
                message.contains("expected mode 600 or 400, found rw-r-----; run chmod 600"));
        Path shortSecretFile = folder.getRoot().toPath().resolve("short");
        Files.writeString(shortSecretFile, "{\"name\":\"k\",\"secret\":\"c2VjcmV0\"}");
        Files.setPosixFilePermissions(
                shortSecretFile, PosixFilePermissions.fromString("rw-------"));
        String shortSecretMessage =
                assertThrows(
                                BrokerConfig.InvalidConfigException.class,
                                () -> TsigKeyFile.read(shortSecretFile))
                        .getMessage();
        assertTrue(
                shortSecretMessage,
                shortSecretMessage.contains("secret: expected at least 16 bytes")
                        && !shortSecretMessage.contains("c2VjcmV0"));
    }
}
