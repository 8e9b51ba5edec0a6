package reeldeal.config;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.fleet.node.FleetConfig;
import reeldeal.store.StoreConfig;
import reeldeal.takeover.TakeoverConfig;
import reeldeal.zones.ZonesConfig;

/**
 * Reads the store's configuration file under {@code deploy/} and holds its sections.
 *
 * @param store the replicated store
 * @param zones the DNS zones that the broker serves, or null if there is no {@code dns} section
 * @param fleet the broker's membership of a fleet, or null if it is not a member
 * @param takeover records of in-flight requests and their takeover, or null if none are kept
 */
public record StoreConfigReader(
        StoreConfig store, ZonesConfig zones, FleetConfig fleet, TakeoverConfig takeover) {
    private static final String DEFAULT_FILE = "deploy/store.json";
    private static final String NODES_PREFIX = "nodes.";
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";

    /**
     * Reads the file named by REELDEAL_STORE, or else the default file; returns null if the
     * variable is not set and the default file does not exist.
     */
    public static StoreConfigReader read(Map<String, String> environment)
            throws InvalidConfigException {
        String configuredFile = environment.getOrDefault("REELDEAL_STORE", "");
        Path file = Path.of(configuredFile.isEmpty() ? DEFAULT_FILE : configuredFile);
        if (configuredFile.isEmpty() && !Files.exists(file)) {
            return null;
        }
        ConfigValues values = ConfigValues.read("store", file);
        StoreConfig store = store(values);
        int voters = store.voters().isEmpty() ? store.nodes().size() : store.voters().size();
        return new StoreConfigReader(
                store,
                values.hasKeysUnder("dns.") ? ZonesConfigReader.read(values) : null,
                values.hasKeysUnder("fleet.") ? FleetConfigReader.read(values) : null,
                TakeoverConfigReader.read(values, voters));
    }

    // The keys "writer" and "term" are ignored: they configured the leader by hand before version
    // 0.4, and the group now elects its leader.
    private static StoreConfig store(ConfigValues values) throws InvalidConfigException {
        Map<String, InetSocketAddress> nodes = nodes(values);
        String node = values.required("node");
        if (!nodes.containsKey(node)) {
            throw new InvalidConfigException("store node: " + node + " is not listed in nodes");
        }
        String group = values.get("group", "default");
        if (!group.matches(NAME_PATTERN) || !node.matches(NAME_PATTERN)) {
            throw new InvalidConfigException(
                    "store group, node: expected 1 to 64 letters, digits, hyphens, underscores and dots");
        }
        boolean joins = values.flag("joins");
        String backup = values.get("backup.file");
        long backupEveryMs = backupEveryMs(values);
        Set<String> voters = voters(values, nodes);
        if (joins && (nodes.size() < 2 || voters.equals(Set.of(node)))) {
            throw values.invalid(
                    "joins", "expected another node of the group in nodes, and in voters if set");
        }
        return new StoreConfig(
                group,
                node,
                nodes,
                voters,
                joins,
                Path.of(values.required("folder")),
                backup == null ? null : Path.of(backup),
                backupEveryMs);
    }

    private static Map<String, InetSocketAddress> nodes(ConfigValues values)
            throws InvalidConfigException {
        Map<String, InetSocketAddress> nodes = new TreeMap<>();
        for (String key : values.keys()) {
            if (key.startsWith(NODES_PREFIX)) {
                nodes.put(key.substring(NODES_PREFIX.length()), values.loopbackAddress(key));
            }
        }
        return nodes;
    }

    private static long backupEveryMs(ConfigValues values) throws InvalidConfigException {
        String seconds = values.get("backup.every_s", "3600");
        if (!seconds.matches("[1-9][0-9]{0,6}")) {
            throw values.invalid(
                    "backup.every_s",
                    "expected a whole number of seconds above 0, found " + seconds);
        }
        return Long.parseLong(seconds) * 1_000;
    }

    private static Set<String> voters(ConfigValues values, Map<String, InetSocketAddress> nodes)
            throws InvalidConfigException {
        Set<String> voters = new TreeSet<>();
        for (String voter : values.get("voters", "").split("[, ]+")) {
            if (voter.isEmpty()) {
                continue;
            }
            if (!nodes.containsKey(voter)) {
                throw new InvalidConfigException(
                        "store voters: " + voter + " is not listed in nodes");
            }
            voters.add(voter);
        }
        return voters;
    }
}
