package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reeldeal.config.BrokerConfig.InvalidConfigException;

/**
 * Configuration of the OpenSearch-style front and transport, read from a file under {@code
 * deploy/}. Without the file the front is off.
 *
 * @param listen the loopback address on which the front listens
 * @param indices the indices that clients can search, by name
 * @param searcherKinds the kinds of searcher that are called in OpenSearch's format
 */
public record OpenSearchConfig(
        InetSocketAddress listen, Map<String, Index> indices, Set<String> searcherKinds) {

    /** An index: its queries belong to one class and search named segments, each on one shard. */
    public record Index(String name, int classIndex, List<Segment> segments) {}

    /** The name of a segment and the number of the shard that holds it. */
    public record Segment(String name, int shard) {}

    private static final JsonFactory JSON = new JsonFactory();
    private static final String DEFAULT_FILE = "deploy/search.json";

    /**
     * Reads the file named by REELDEAL_SEARCH, or else the default file; returns null if the
     * variable is not set and the default file does not exist.
     *
     * @param shards the number of shards, or 0 if it is not configured
     */
    static OpenSearchConfig read(Map<String, String> environment, List<String> classes, int shards)
            throws InvalidConfigException {
        String configuredFile = environment.getOrDefault("REELDEAL_SEARCH", "");
        Path file = Path.of(configuredFile.isEmpty() ? DEFAULT_FILE : configuredFile);
        if (configuredFile.isEmpty() && !Files.exists(file)) {
            return null;
        }
        Map<String, String> values = new HashMap<>();
        Map<String, Map<String, Integer>> segments = new LinkedHashMap<>();
        parse(file, values, segments);
        InetSocketAddress listen = BrokerConfig.address(values, "listen");
        if (listen.isUnresolved() || !listen.getAddress().isLoopbackAddress()) {
            throw new InvalidConfigException(
                    "search listen: expected a loopback address, found " + listen.getHostString());
        }
        Map<String, Index> indices = new LinkedHashMap<>();
        for (Map.Entry<String, Map<String, Integer>> entry : segments.entrySet()) {
            String name = entry.getKey();
            String queryClass = values.get("indices." + name + ".class");
            int classIndex = classes.indexOf(queryClass);
            if (classIndex < 0) {
                throw new InvalidConfigException(
                        "search indices."
                                + name
                                + ".class: expected a configured class, found "
                                + queryClass);
            }
            indices.put(
                    name, new Index(name, classIndex, segments(name, entry.getValue(), shards)));
        }
        if (indices.isEmpty()) {
            throw new InvalidConfigException("search indices: expected at least one index");
        }
        String kinds = values.getOrDefault("searcher_kinds", "");
        return new OpenSearchConfig(
                listen, indices, kinds.isEmpty() ? Set.of() : Set.of(kinds.split(",")));
    }

    /** Reads the segments of each index into {@code segments}, and all other values by path. */
    private static void parse(
            Path file, Map<String, String> values, Map<String, Map<String, Integer>> segments)
            throws InvalidConfigException {
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException("search: expected a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                if (field.equals("indices") && json.currentToken() == JsonToken.START_OBJECT) {
                    parseIndices(json, values, segments);
                } else {
                    JsonPaths.read(json, field, values, 0);
                }
            }
        } catch (IOException e) {
            throw new InvalidConfigException(
                    "search: cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static void parseIndices(
            JsonParser json, Map<String, String> values, Map<String, Map<String, Integer>> segments)
            throws IOException {
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String index = json.currentName();
            json.nextToken();
            segments.put(index, parseIndex(json, index, values));
        }
    }

    /**
     * Reads one index. Returns the shard of each segment in the order of the file and puts the
     * index's other settings into {@code values}.
     */
    private static Map<String, Integer> parseIndex(
            JsonParser json, String name, Map<String, String> values) throws IOException {
        Map<String, Integer> segments = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            if (field.equals("segments") && json.currentToken() == JsonToken.START_OBJECT) {
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String segment = json.currentName();
                    json.nextToken();
                    segments.put(segment, json.getIntValue());
                }
            } else {
                JsonPaths.read(json, "indices." + name + "." + field, values, 1);
            }
        }
        return segments;
    }

    private static List<Segment> segments(
            String index, Map<String, Integer> shardsByName, int shards)
            throws InvalidConfigException {
        String key = "search indices." + index + ".segments";
        List<Segment> segments = new ArrayList<>();
        Set<Integer> usedShards = new HashSet<>();
        for (Map.Entry<String, Integer> segment : shardsByName.entrySet()) {
            int shard = segment.getValue();
            if (shard < 0 || (shards > 0 && shard >= shards) || !usedShards.add(shard)) {
                throw new InvalidConfigException(
                        key
                                + "."
                                + segment.getKey()
                                + ": expected an existing shard that no other segment uses, found "
                                + shard);
            }
            segments.add(new Segment(segment.getKey(), shard));
        }
        if (segments.isEmpty()) {
            throw new InvalidConfigException(key + ": expected at least one segment");
        }
        return List.copyOf(segments);
    }
}
