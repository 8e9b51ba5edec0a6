package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import reeldeal.config.Config.Invalid;
import reeldeal.store.StoreConfig;
import reeldeal.zones.ZonesConfig;

/**
 * The replicated store and the zones kept in it, as a file under {@code deploy/} says; where there is none, both
 * are off. {@code zones} is null where only the store is wanted.
 */
public record StoreFile(StoreConfig store, ZonesConfig zones) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String FILE = "deploy/store.json";

    /** The file's content, or null where there is none; REELDEAL_STORE names another file. */
    public static StoreFile read(Map<String, String> environment) throws Invalid {
        String named = environment.getOrDefault("REELDEAL_STORE", "");
        Path file = Path.of(named.isEmpty() ? FILE : named);
        if (named.isEmpty() && !Files.exists(file)) {
            return null;
        }
        Map<String, String> values = new HashMap<>();
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new Invalid("store: not a JSON object");
            }
            JsonPaths.read(json, "", values, 0);
        } catch (IOException e) {
            throw new Invalid("store: cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
        }
        Map<String, InetSocketAddress> nodes = new TreeMap<>();
        for (String key : values.keySet()) {
            if (key.startsWith("nodes.")) {
                nodes.put(key.substring("nodes.".length()), loopback(values, key));
            }
        }
        String node = text(values, "node");
        if (!nodes.containsKey(node)) {
            throw new Invalid("store nodes: " + node + " is not among them");
        }
        if (!values.getOrDefault("group", "default").matches("[A-Za-z0-9_.-]{1,64}") || !node.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new Invalid("store group, node: expected letters, digits, - _ . and 64 of them at most");
        }
        String joins = values.getOrDefault("joins", "false");
        if (!joins.matches("true|false")) {
            throw new Invalid("store joins: expected true or false, found " + joins);
        }
        String backup = values.get("backup.file");
        String every = values.getOrDefault("backup.every_s", "3600");
        if (!every.matches("[1-9][0-9]{0,6}")) {
            throw new Invalid("store backup.every_s: expected a whole number of seconds above 0, found " + every);
        }
        // "writer" and "term" named a writer by hand before version 0.4; the group elects one now.
        Set<String> voters = new TreeSet<>();
        for (String voter : values.getOrDefault("voters", "").split("[, ]+")) {
            if (!voter.isEmpty() && !nodes.containsKey(voter)) {
                throw new Invalid("store voters: " + voter + " is not among nodes");
            } else if (!voter.isEmpty()) {
                voters.add(voter);
            }
        }
        if (joins.equals("true") && (nodes.size() < 2 || voters.equals(Set.of(node)))) {
            throw new Invalid("store joins: expected nodes of the group that is joined among nodes");
        }
        StoreConfig store = new StoreConfig(values.getOrDefault("group", "default"), node, nodes, voters,
                joins.equals("true"), Path.of(text(values, "folder")), backup == null ? null : Path.of(backup),
                Long.parseLong(every) * 1_000);
        return new StoreFile(store, values.keySet().stream().anyMatch(k -> k.startsWith("dns.")) ? ZonesFile.read(values)
                : null);
    }

    static String text(Map<String, String> values, String key) throws Invalid {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            throw new Invalid("store " + key + ": not set");
        }
        return value;
    }

    static InetSocketAddress loopback(Map<String, String> values, String key) throws Invalid {
        InetSocketAddress address = Config.address(values, key);
        if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
            throw new Invalid("store " + key + ": not a loopback address: " + address.getHostString());
        }
        return address;
    }
}
