package reeldeal.faultinjection;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reeldeal.fleet.ConfigVersion;

/**
 * Writes the configuration files of the nodes of a fleet: one broker configuration that all nodes
 * share, and one store configuration for each node.
 */
final class NodeFiles {
    /** The name of the store's group. */
    static final String GROUP = "drill";

    /** The zone that lists the searchers. */
    static final String ORIGIN = "drill.test";

    private static final String TEMPLATE_WINDOW = "\"WindowMs\": 2500";
    private static final String TEMPLATE_SLOW_START = "\"ColdMs\": 2000";
    private static final String FLAP_LIMIT = "100000";
    private static final String EXIT_WAIT_MS = "3000";

    private final Path folder;
    private final Scenario scenario;
    private final List<String> voters;
    private String initialConfig;

    NodeFiles(Path folder, Scenario scenario, List<String> voters) {
        this.folder = folder;
        this.scenario = scenario;
        this.voters = voters;
    }

    /** Returns the path of the broker configuration. */
    Path brokerConfig() {
        return folder.resolve("broker.json");
    }

    /** Writes the broker configuration from the template among the program's resources. */
    void writeBrokerConfig() throws IOException {
        try (InputStream template = NodeFiles.class.getResourceAsStream("broker.json")) {
            initialConfig =
                    new String(template.readAllBytes(), StandardCharsets.UTF_8)
                            .replace(
                                    TEMPLATE_WINDOW,
                                    "\"WindowMs\": " + scenario.load().keyed().windowMs())
                            .replace(
                                    TEMPLATE_SLOW_START,
                                    "\"ColdMs\": " + scenario.power().slowStartMs());
        }
        Files.writeString(brokerConfig(), initialConfig);
    }

    /** Returns the version of the configuration that all brokers start with. */
    String initialVersion() {
        return ConfigVersion.of(initialConfig);
    }

    /** Returns the configuration that the rollout installs. */
    String rolledOutConfig() {
        return initialConfig.replace(scenario.rollout().find(), scenario.rollout().replace());
    }

    /** Returns the version of the configuration that the rollout installs. */
    String rolledOutVersion() {
        return ConfigVersion.of(rolledOutConfig());
    }

    /** Writes the zone file, which lists the searchers. */
    void writeZone(String records) throws IOException {
        Files.writeString(zoneFile(), records);
    }

    private Path zoneFile() {
        return folder.resolve("zone");
    }

    /**
     * Writes the store configuration of a node and returns its path.
     *
     * @param node the node's name
     * @param zone the zone of the node
     * @param joins whether the node joins a running group
     * @param peers the loopback port at which this node reaches each node, its own first
     * @param dnsPort the port at which the node serves the DNS zone
     */
    Path writeStoreFile(
            String node, String zone, boolean joins, Map<String, Integer> peers, int dnsPort)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("group", GROUP);
            json.writeStringField("node", node);
            json.writeStringField("folder", folder.resolve(node).toString());
            json.writeStringField("voters", String.join(",", voters));
            if (joins) {
                json.writeStringField("joins", "true");
            }
            json.writeObjectFieldStart("nodes");
            for (Map.Entry<String, Integer> peer : peers.entrySet()) {
                json.writeStringField(peer.getKey(), loopback(peer.getValue()));
            }
            json.writeEndObject();
            writeDns(json, dnsPort);
            writeFleet(json, zone);
            writeTakeover(json);
            json.writeEndObject();
        }
        return Files.writeString(folder.resolve(node + ".json"), text.toString());
    }

    private void writeDns(JsonGenerator json, int dnsPort) throws IOException {
        json.writeObjectFieldStart("dns");
        json.writeStringField("listen", loopback(dnsPort));
        json.writeStringField("origin", ORIGIN);
        json.writeStringField("zone_file", zoneFile().toString());
        json.writeObjectFieldStart("members");
        json.writeStringField("flap_limit", FLAP_LIMIT);
        json.writeEndObject();
        json.writeEndObject();
    }

    private void writeFleet(JsonGenerator json, String zone) throws IOException {
        json.writeObjectFieldStart("fleet");
        json.writeStringField("zone", zone);
        json.writeStringField("term_ms", String.valueOf(scenario.load().keyed().termMs()));
        json.writeStringField("exit_wait_ms", EXIT_WAIT_MS);
        json.writeObjectFieldStart("recovery");
        json.writeStringField("steps", scenario.power().recoverySteps());
        json.writeEndObject();
        json.writeEndObject();
    }

    private void writeTakeover(JsonGenerator json) throws IOException {
        String classPrefix = "classes.";
        Map<String, String> settings = scenario.load().keyed().takeover();
        json.writeObjectFieldStart("handover");
        for (Map.Entry<String, String> setting : settings.entrySet()) {
            if (!setting.getKey().startsWith(classPrefix)) {
                json.writeStringField(setting.getKey(), setting.getValue());
            }
        }
        if (scenario.load().keyed().perSecond() == 0) {
            json.writeStringField("keyed", "off");
        }
        if (settings.keySet().stream().anyMatch(key -> key.startsWith(classPrefix))) {
            json.writeObjectFieldStart("classes");
            for (Map.Entry<String, String> setting : settings.entrySet()) {
                if (setting.getKey().startsWith(classPrefix)) {
                    json.writeStringField(
                            setting.getKey().substring(classPrefix.length()), setting.getValue());
                }
            }
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static String loopback(int port) {
        return "127.0.0.1:" + port;
    }
}
