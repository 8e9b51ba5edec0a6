package reeldeal.opensearch;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import reeldeal.core.AttemptEnd;
import reeldeal.core.Effect;

/**
 * Encodes and decodes calls to searchers in OpenSearch's format: one {@code _msearch} with a search
 * for each shard request.
 */
final class OpenSearchCodec {
    private static final JsonFactory JSON = new JsonFactory().setRootValueSeparator("");
    static final String INDEX = "segments";

    private OpenSearchCodec() {}

    /** Encodes shard requests as one body; {@code preference} names the shard of each. */
    static byte[] encodeCall(List<Effect.Send> sends, double now) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256 * sends.size());
        try (JsonGenerator json = JSON.createGenerator(out)) {
            for (Effect.Send send : sends) {
                json.writeStartObject();
                json.writeStringField("index", INDEX);
                json.writeStringField("preference", "_shards:" + send.shard());
                json.writeEndObject();
                json.writeRaw('\n');
                json.writeStartObject();
                json.writeObjectFieldStart("query");
                json.writeObjectFieldStart("query_string");
                json.writeStringField("query", send.request().text());
                json.writeEndObject();
                json.writeEndObject();
                json.writeNumberField("size", 1);
                json.writeStringField("timeout", (long) send.remainingMs(now) + "ms");
                writeExt(json, send);
                json.writeEndObject();
                json.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: the output is in memory
        }
        return out.toByteArray();
    }

    private static void writeExt(JsonGenerator json, Effect.Send send) throws IOException {
        json.writeObjectFieldStart("ext");
        json.writeStringField("query", send.request().name());
        if (send.request().idempotencyKey() != null) {
            json.writeStringField("idempotency_key", send.request().idempotencyKey());
        }
        if (send.queryPhase() != null) {
            json.writeArrayFieldStart("from");
            for (int shard : send.queryPhase().answeredShards()) {
                json.writeNumber(shard);
            }
            json.writeEndArray();
            json.writeBooleanField("whole", send.queryPhase().complete());
        }
        json.writeEndObject();
    }

    /**
     * Decodes a response body into the end of each shard request, in the order of the searches.
     *
     * @throws IOException if the body is not a well-formed {@code _msearch} response
     */
    static List<AttemptEnd> decodeResponses(byte[] body) throws IOException {
        List<AttemptEnd> ends = null;
        try (JsonParser json = JSON.createParser(body)) {
            require(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                if (field.equals("responses")) {
                    require(json.currentToken() == JsonToken.START_ARRAY);
                    ends = new ArrayList<>();
                    while (json.nextToken() != JsonToken.END_ARRAY) {
                        ends.add(readResponse(json));
                    }
                } else {
                    json.skipChildren();
                }
            }
            require(json.currentToken() == JsonToken.END_OBJECT && ends != null);
            return ends;
        }
    }

    private static AttemptEnd readResponse(JsonParser json) throws IOException {
        require(json.currentToken() == JsonToken.START_OBJECT);
        int status = 200;
        boolean timedOut = false;
        AttemptEnd.Served served = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "status" -> status = json.getIntValue();
                case "timed_out" -> timedOut = json.getBooleanValue();
                case "hits" -> served = readHits(json);
                default -> json.skipChildren();
            }
        }
        if (status == 429) {
            return new AttemptEnd.Rejected();
        }
        // A shard's result counts only if it is complete: a search that timed out at the searcher
        // has failed.
        return status != 200 || timedOut || served == null ? new AttemptEnd.Failed() : served;
    }

    /**
     * Returns the first hit, or null if there is none. Its value is the field {@code doc} of its
     * source, or its id if the field is missing.
     */
    private static AttemptEnd.Served readHits(JsonParser json) throws IOException {
        require(json.currentToken() == JsonToken.START_OBJECT);
        AttemptEnd.Served firstHit = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            if (!field.equals("hits")) {
                json.skipChildren();
                continue;
            }
            require(json.currentToken() == JsonToken.START_ARRAY);
            while (json.nextToken() != JsonToken.END_ARRAY) {
                AttemptEnd.Served hit = readHit(json);
                firstHit = firstHit == null ? hit : firstHit;
            }
        }
        return firstHit;
    }

    private static AttemptEnd.Served readHit(JsonParser json) throws IOException {
        require(json.currentToken() == JsonToken.START_OBJECT);
        String id = null;
        String doc = null;
        double score = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken value = json.nextToken();
            switch (field) {
                case "_id" -> id = json.getText();
                case "_score" -> score = value == JsonToken.VALUE_NULL ? 0 : json.getDoubleValue();
                case "_source" -> {
                    require(value == JsonToken.START_OBJECT);
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        boolean isDoc = json.currentName().equals("doc");
                        if (json.nextToken() == JsonToken.VALUE_STRING && isDoc) {
                            doc = json.getText();
                        } else {
                            json.skipChildren();
                        }
                    }
                }
                default -> json.skipChildren();
            }
        }
        require(doc != null || id != null);
        return new AttemptEnd.Served(score, doc == null ? id : doc);
    }

    private static void require(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("malformed _msearch response");
        }
    }
}
