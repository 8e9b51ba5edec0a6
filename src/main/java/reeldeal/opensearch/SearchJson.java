package reeldeal.opensearch;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/** Writes response bodies in OpenSearch's format. */
final class SearchJson {
    private static final JsonFactory JSON = new JsonFactory();

    private SearchJson() {}

    private interface BodyWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private static byte[] write(BodyWriter body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            body.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: the output is in memory
        }
        return out.toByteArray();
    }

    /** Returns the response to a {@code _search}. */
    static byte[] single(SearchResult result) {
        return write(json -> writeResult(json, result, false));
    }

    /**
     * Returns the response to an {@code _msearch}, with the results in the order of its searches.
     */
    static byte[] multiple(List<SearchResult> results, double tookMs) {
        return write(
                json -> {
                    json.writeNumberField("took", (long) tookMs);
                    json.writeArrayFieldStart("responses");
                    for (SearchResult result : results) {
                        json.writeStartObject();
                        writeResult(json, result, true);
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    /** Returns the response to {@code GET /}: the broker's name and distribution. */
    static byte[] brokerInfo(String name) {
        return write(
                json -> {
                    json.writeStringField("name", name);
                    json.writeStringField("cluster_name", "reeldeal");
                    json.writeObjectFieldStart("version");
                    json.writeStringField("distribution", "reeldeal");
                    json.writeEndObject();
                });
    }

    private static void writeResult(JsonGenerator json, SearchResult result, boolean withStatus)
            throws IOException {
        if (result.body() instanceof SearchResult.ErrorBody error) {
            writeError(json, error);
            json.writeNumberField("status", result.status());
            return;
        }
        writeFound(json, (SearchResult.Found) result.body());
        if (withStatus) {
            json.writeNumberField("status", result.status());
        }
    }

    private static void writeError(JsonGenerator json, SearchResult.ErrorBody error)
            throws IOException {
        json.writeObjectFieldStart("error");
        json.writeArrayFieldStart("root_cause");
        json.writeStartObject();
        writeCause(json, error);
        json.writeEndObject();
        json.writeEndArray();
        writeCause(json, error);
        json.writeEndObject();
    }

    private static void writeCause(JsonGenerator json, SearchResult.ErrorBody error)
            throws IOException {
        json.writeStringField("type", error.type());
        json.writeStringField("reason", error.reason());
    }

    private static void writeFound(JsonGenerator json, SearchResult.Found found)
            throws IOException {
        json.writeNumberField("took", (long) found.tookMs());
        json.writeBooleanField("timed_out", !found.complete());
        writeShards(json, found);
        json.writeObjectFieldStart("hits");
        json.writeObjectFieldStart("total");
        json.writeNumberField("value", found.total());
        json.writeStringField("relation", "eq");
        json.writeEndObject();
        if (found.total() == 0) {
            json.writeNullField("max_score");
        } else {
            writeScore(json, "max_score", found.maxScore());
        }
        json.writeArrayFieldStart("hits");
        for (SearchResult.Hit hit : found.hits()) {
            writeHit(json, found, hit);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeShards(JsonGenerator json, SearchResult.Found found)
            throws IOException {
        int searched = found.searchedSegments().size();
        int successful = found.complete() ? searched : Math.min(searched, found.total());
        json.writeObjectFieldStart("_shards");
        json.writeNumberField("total", searched);
        json.writeNumberField("successful", successful);
        json.writeNumberField("skipped", 0);
        json.writeNumberField("failed", searched - successful);
        json.writeEndObject();
    }

    private static void writeHit(JsonGenerator json, SearchResult.Found found, SearchResult.Hit hit)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("_index", found.index().name());
        json.writeStringField("_id", hit.value());
        writeScore(json, "_score", hit.score());
        if (found.includeSource()) {
            json.writeObjectFieldStart("_source");
            json.writeStringField("segment", hit.segment().name());
            json.writeNumberField("shard", hit.segment().shard());
            json.writeStringField("doc", hit.value());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void writeScore(JsonGenerator json, String field, double score)
            throws IOException {
        if (score == Math.rint(score) && Math.abs(score) < 1e15) {
            json.writeNumberField(field, (long) score);
        } else {
            json.writeNumberField(field, score);
        }
    }
}
