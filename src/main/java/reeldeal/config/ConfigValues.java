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
 * The settings of one file by their paths, with validating accessors. Every error names the key,
 * the expected value and the value found.
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

    /** Reads a JSON file; error messages put {@code source} before the key. */
    static ConfigValues read(String source, Path file) throws InvalidConfigException {
        Map<String, String> values = new HashMap<>();
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException(source + ": expected a JSON object");
            }
            JsonPaths.read(json, "", values, 0);
        } catch (IOException e) {
            throw new InvalidConfigException(
                    source + ": cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
        }
        return new ConfigValues(source, values);
    }

    /** Returns an exception whose message names the source, the key and the problem. */
    InvalidConfigException invalid(String key, String problem) {
        return new InvalidConfigException(source + " " + key + ": " + problem);
    }

    /** Returns all keys in alphabetical order. */
    Set<String> keys() {
        return new TreeSet<>(values.keySet());
    }

    /** Returns whether any key starts with the prefix. */
    boolean hasKeysUnder(String prefix) {
        return values.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /**
     * Throws if a key under the prefix is unknown.
     *
     * @param listedFirst text that the error puts before the list of known keys
     */
    void checkKnown(String prefix, Set<String> known, String listedFirst)
            throws InvalidConfigException {
        for (String key : keys()) {
            if (key.startsWith(prefix) && !known.contains(key.substring(prefix.length()))) {
                throw invalid(
                        key,
                        "no such setting; expected one of "
                                + listedFirst
                                + String.join(", ", new TreeSet<>(known)));
            }
        }
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns the value of a setting, or null if it is not set. */
    String get(String key) {
        return values.get(key);
    }

    String get(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    /** Returns the value of a setting that must be set and not empty. */
    String required(String key) throws InvalidConfigException {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            throw invalid(key, "not set");
        }
        return value;
    }

    /** Returns a boolean setting, which is false if it is not set. */
    boolean flag(String key) throws InvalidConfigException {
        String value = values.getOrDefault(key, "false");
        if (!value.matches("true|false")) {
            throw invalid(key, "expected true or false, found " + value);
        }
        return value.equals("true");
    }

    /** Returns the items of a comma-separated setting. */
    List<String> list(String key, String defaultValue) {
        String joined = values.getOrDefault(key, defaultValue);
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    /** Returns the number of objects in a list, 0 if the list is not set. */
    int count(String key) {
        return Integer.parseInt(values.getOrDefault(key + ".count", "0"));
    }

    /** Returns a whole number between {@code min} and {@code max}, both inclusive. */
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

    /** Returns a whole number of at most seven digits that is not below {@code min}. */
    long numberAtLeast(String key, long defaultValue, long min) throws InvalidConfigException {
        String value = values.getOrDefault(key, String.valueOf(defaultValue));
        if (!value.matches("[0-9]{1,7}") || Long.parseLong(value) < min) {
            throw invalid(
                    key, "expected a whole number from " + min + " to 9999999, found " + value);
        }
        return Long.parseLong(value);
    }

    /** Returns a percentage setting as a share from 0 to 1. */
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

    /** Returns a loopback address, configured as {@code host:port}. */
    InetSocketAddress loopbackAddress(String key) throws InvalidConfigException {
        InetSocketAddress address = BrokerConfig.address(values, key);
        if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
            throw invalid(key, "expected a loopback address, found " + address.getHostString());
        }
        return address;
    }
}
