package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.config.BrokerConfig.InvalidConfigException;

/**
 * The settings of one file by their paths, read with checks; every error names the key, what was
 * expected and what was found.
 */
final class ConfigValues {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_PERCENT = 100;

    private final String source;
    private final Map<String, String> values;

    private ConfigValues(String source, Map<String, String> values) {
        this.source = source;
        this.values = values;
    }

    /** The settings of a JSON file; {@code source} stands before the keys in errors. */
    static ConfigValues read(String source, Path file) throws InvalidConfigException {
        Map<String, String> values = new HashMap<>();
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException(source + ": not a JSON object");
            }
            JsonPaths.read(json, "", values, 0);
        } catch (IOException e) {
            throw new InvalidConfigException(
                    source + ": cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
        }
        return new ConfigValues(source, values);
    }

    /** An error about a key. */
    InvalidConfigException invalid(String key, String problem) {
        return new InvalidConfigException(source + " " + key + ": " + problem);
    }

    /** All keys, in order. */
    Set<String> keys() {
        return new TreeSet<>(values.keySet());
    }

    /** Whether any key begins so. */
    boolean hasKeysUnder(String prefix) {
        return values.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /** Throws where a key under the prefix is not known; the error lists those that are. */
    void checkKnown(String prefix, Set<String> known, String listedFirst)
            throws InvalidConfigException {
        for (String key : keys()) {
            if (key.startsWith(prefix) && !known.contains(key.substring(prefix.length()))) {
                throw invalid(
                        key,
                        "no such setting; there are "
                                + listedFirst
                                + String.join(", ", new TreeSet<>(known)));
            }
        }
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    /** A setting, or null where it is not there. */
    String get(String key) {
        return values.get(key);
    }

    String get(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    /** A setting that must be there. */
    String required(String key) throws InvalidConfigException {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            throw invalid(key, "not set");
        }
        return value;
    }

    /** {@code true} or {@code false}; false where it is not there. */
    boolean flag(String key) throws InvalidConfigException {
        String value = values.getOrDefault(key, "false");
        if (!value.matches("true|false")) {
            throw invalid(key, "expected true or false, found " + value);
        }
        return value.equals("true");
    }

    /** Values joined by commas. */
    List<String> list(String key, String defaultValue) {
        String joined = values.getOrDefault(key, defaultValue);
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    /** How many objects a list has. */
    int count(String key) {
        return Integer.parseInt(values.getOrDefault(key + ".count", "0"));
    }

    /** A whole number within bounds. */
    long number(String key, long defaultValue, long min, long max) throws InvalidConfigException {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.matches("[0-9]{1,12}")
                || Long.parseLong(value) < min
                || Long.parseLong(value) > max) {
            throw invalid(
                    key, "expected a whole number from " + min + " to " + max + ", found " + value);
        }
        return Long.parseLong(value);
    }

    /** A time in ms, of at least so many. */
    long numberAtLeast(String key, long defaultValue, long min) throws InvalidConfigException {
        String value = values.getOrDefault(key, String.valueOf(defaultValue));
        if (!value.matches("[0-9]{1,7}") || Long.parseLong(value) < min) {
            throw invalid(key, "expected a whole number of ms from " + min + " on, found " + value);
        }
        return Long.parseLong(value);
    }

    /** A percentage, as a share from 0 to 1. */
    double percent(String key, double defaultValue) throws InvalidConfigException {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.matches("[0-9]{1,3}") || Integer.parseInt(value) > MAX_PERCENT) {
            throw invalid(key, "expected a whole number from 0 to 100, found " + value);
        }
        return Integer.parseInt(value) / (double) MAX_PERCENT;
    }

    /** An address on this machine, {@code host:port}. */
    InetSocketAddress loopbackAddress(String key) throws InvalidConfigException {
        InetSocketAddress address = BrokerConfig.address(values, key);
        if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
            throw invalid(key, "not a loopback address: " + address.getHostString());
        }
        return address;
    }
}
