package reeldeal.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reeldeal.core.Reply;
import reeldeal.core.Request.ShardRequest;

/** The parsed JSON body of a platform query; also encodes the body of an answer. */
record QueryBody(String text, List<ShardRequest> shardRequests) {
    // Rejects duplicate fields, since it is ambiguous which of them applies.
    private static final JsonFactory JSON =
            new JsonFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    /** How far the sum of a query's weights may differ from 1, per shard request. */
    private static final double WEIGHT_TOLERANCE = 0.005;

    /** Limits the tolerance of queries with many shard requests to this multiple. */
    private static final int MAX_TOLERANCE_MULTIPLE = 10;

    /**
     * Parses a query's body.
     *
     * @param shards the number of shards, or 0 if the number is not limited
     * @param maxShardRequests the maximum number of shard requests in a query
     * @throws IOException if the body is invalid; the message describes the error to the client
     */
    static QueryBody parse(byte[] body, int shards, int maxShardRequests) throws IOException {
        try (JsonParser json = JSON.createParser(body)) {
            expect(json.nextToken() == JsonToken.START_OBJECT, "the body is no JSON object");
            String text = null;
            List<ShardRequest> shardRequests = null;
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                JsonToken value = json.nextToken();
                if (field.equals("q")) {
                    expect(value == JsonToken.VALUE_STRING, "q is no string");
                    text = json.getText();
                } else if (field.equals("shards")) {
                    expect(value == JsonToken.START_ARRAY, "shards is no list");
                    shardRequests = parseShardRequests(json, shards, maxShardRequests);
                } else {
                    json.skipChildren();
                }
            }
            expect(
                    json.currentToken() == JsonToken.END_OBJECT && json.nextToken() == null,
                    "the body is no single JSON object");
            expect(text != null, "q is missing");
            expect(shardRequests != null && !shardRequests.isEmpty(), "shards is missing or empty");
            return new QueryBody(text, shardRequests);
        }
    }

    private static List<ShardRequest> parseShardRequests(
            JsonParser json, int shards, int maxShardRequests) throws IOException {
        List<ShardRequest> shardRequests = new ArrayList<>();
        Set<Integer> seenShards = new HashSet<>();
        double weightSum = 0;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken() == JsonToken.START_OBJECT, "a shard is no object");
            expect(shardRequests.size() < maxShardRequests, "too many shards");
            ShardRequest shardRequest = parseShardRequest(json, shards);
            expect(seenShards.add(shardRequest.shard()), "shard named twice");
            shardRequests.add(shardRequest);
            weightSum += shardRequest.weight();
        }
        double tolerance =
                WEIGHT_TOLERANCE * Math.min(shardRequests.size(), MAX_TOLERANCE_MULTIPLE);
        expect(
                shardRequests.isEmpty() || Math.abs(weightSum - 1) <= tolerance,
                "the weights do not add up to 1");
        return shardRequests;
    }

    private static ShardRequest parseShardRequest(JsonParser json, int shards) throws IOException {
        int shard = -1;
        double weight = -1;
        long key = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken value = json.nextToken();
            switch (field) {
                case "shard" -> {
                    expect(value == JsonToken.VALUE_NUMBER_INT, "shard is no whole number");
                    shard = json.getIntValue();
                }
                case "weight" -> {
                    expect(value.isNumeric(), "weight is no number");
                    weight = json.getDoubleValue();
                }
                case "key" -> {
                    expect(json.getText().matches("[0-9a-fA-F]{1,16}"), "key is not hexadecimal");
                    key = Long.parseUnsignedLong(json.getText(), 16);
                }
                default -> json.skipChildren();
            }
        }
        expect(shard >= 0 && (shards == 0 || shard < shards), "shard out of range");
        expect(weight >= 0 && weight <= 1 + WEIGHT_TOLERANCE, "weight out of range");
        return new ShardRequest(shard, weight, key);
    }

    private static void expect(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
        }
    }

    /** Encodes the body of an answer. */
    static byte[] encodeAnswer(Reply.Served served) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeBooleanField("complete", served.complete());
            json.writeArrayFieldStart("hits");
            for (Reply.Hit hit : served.hits()) {
                json.writeStartObject();
                json.writeNumberField("shard", hit.shard());
                json.writeStringField("doc", hit.value());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: the stream writes to memory
        }
        return out.toByteArray();
    }
}
