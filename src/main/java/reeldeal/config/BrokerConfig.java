package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.discovery.EndpointListParser;

/**
 * The configuration of a broker, validated and with defaults applied.
 *
 * <p>{@code settings} is the input of the decision module; the other components are for the rest of
 * the broker. {@code search} is null if the OpenSearch-style front is off. {@code discovery} may be
 * null if {@code dns} is set, because searchers are then discovered from DNS zones.
 */
public record BrokerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int maxSockets,
        List<Searcher> knownSearchers,
        Settings settings,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        int shards,
        int shardRequestsPerConnection,
        double idleMs,
        int connectTimeoutMs,
        OpenSearchConfig search,
        boolean dnsDiscovery) {

    private static final JsonFactory JSON = new JsonFactory();

    /** Thrown for an invalid configuration; the message names the key at fault. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Takes a message that names the file or key, the expected value and the value found. */
        public InvalidConfigException(String message) {
            super(message);
        }
    }

    /** Returns the content of the file named by LB_CONFIG, or null if the variable is not set. */
    public static byte[] readFile(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            return null;
        }
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException | RuntimeException e) {
            throw new InvalidConfigException("LB_CONFIG: cannot be read: " + e.getMessage());
        }
    }

    /**
     * Parses the content of a configuration file. The environment variables LB_NAME, LB_LISTEN and
     * LB_DISCOVERY override its {@code name}, {@code listen} and {@code discovery}.
     *
     * @param dns whether searchers are discovered from DNS zones
     */
    public static BrokerConfig parse(byte[] bytes, Map<String, String> environment, boolean dns)
            throws InvalidConfigException {
        Map<String, String> values = new HashMap<>();
        List<Searcher> known = List.of();
        try (JsonParser json = JSON.createParser(bytes)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException("LB_CONFIG: expected a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                if (field.equals("known") && json.currentToken() != JsonToken.VALUE_NULL) {
                    try {
                        known = EndpointListParser.read(json).searchers();
                    } catch (JsonProcessingException e) {
                        throw e;
                    } catch (IOException e) {
                        throw new InvalidConfigException("known: " + e.getMessage());
                    }
                } else {
                    JsonPaths.read(json, field, values, 0);
                }
            }
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException("LB_CONFIG: not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException("LB_CONFIG: " + e.getMessage());
        }
        overrideFromEnvironment(values, environment, "name", "LB_NAME");
        overrideFromEnvironment(values, environment, "listen", "LB_LISTEN");
        overrideFromEnvironment(values, environment, "discovery", "LB_DISCOVERY");
        Map<String, String> settings = new HashMap<>();
        values.forEach(
                (path, value) -> {
                    if (path.startsWith("settings.")) {
                        settings.put(path.substring("settings.".length()), value);
                    }
                });
        int shards = (int) number(settings, "FamilyInfo.Ranges", 0, 0);
        return new BrokerConfig(
                values.getOrDefault("name", "broker"),
                address(values, "listen"),
                dns && !values.containsKey("discovery") ? null : address(values, "discovery"),
                (int) number(values, "limits.sockets", 1024, 64),
                known,
                settings(settings, values.getOrDefault("seed", "0")),
                classNames(settings),
                splitList(settings, "Zones"),
                splitList(settings, "Kinds"),
                shards,
                (int) number(settings, "PolicyLimits.StreamsPerConn", 32, 1),
                number(settings, "PolicyLimits.ConnIdleMs", 30_000, 1),
                (int) number(settings, "PolicyLimits.DialTimeoutMs", 250, 1),
                OpenSearchConfig.read(environment, classNames(settings), shards),
                dns);
    }

    private static void overrideFromEnvironment(
            Map<String, String> values,
            Map<String, String> environment,
            String key,
            String variable) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            values.put(key, value);
        }
    }

    private static Settings settings(Map<String, String> settings, String seed)
            throws InvalidConfigException {
        long parsedSeed;
        try {
            parsedSeed = Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed: not hexadecimal: " + seed);
        }
        try {
            return SettingsParser.parse(settings, parsedSeed);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(e.getMessage());
        }
    }

    private static List<String> classNames(Map<String, String> settings)
            throws InvalidConfigException {
        List<String> names = new ArrayList<>();
        for (int i = 0; settings.containsKey("Categories." + i + ".AimMs"); i++) {
            String name = settings.get("Categories." + i + ".Name");
            if (name == null || name.isEmpty()) {
                throw new InvalidConfigException("setting missing: Categories." + i + ".Name");
            }
            names.add(name);
        }
        return names;
    }

    private static List<String> splitList(Map<String, String> settings, String key) {
        String joined = settings.getOrDefault(key, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private static double number(
            Map<String, String> values, String key, double defaultValue, double min)
            throws InvalidConfigException {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed) && parsed >= min) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported by the exception below
        }
        throw new InvalidConfigException("setting malformed: " + key + "=" + value);
    }

    static InetSocketAddress address(Map<String, String> values, String key)
            throws InvalidConfigException {
        String value = values.get(key);
        if (value == null) {
            throw new InvalidConfigException(key + ": not set; expected host:port");
        }
        int colon = value.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(
                        value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // reported by the exception below
        }
        throw new InvalidConfigException(key + ": expected host:port, found " + value);
    }
}
