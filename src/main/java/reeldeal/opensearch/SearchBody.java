package reeldeal.opensearch;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The body of a search, in the supported subset of OpenSearch's query language: {@code match_all},
 * {@code query_string}, and {@code bool} of one of these with a filter on {@code _segment}.
 * Anything else is rejected with an error that names it, never ignored: the result of a different
 * query is worse than an error.
 */
final class SearchBody {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_RESULT_WINDOW = 10_000;

    private static final int DEFAULT_SIZE = 10;
    private static final String NO_TIMEOUT = "-1";
    private static final Pattern TIMEOUT_PATTERN =
            Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s|m)");

    private String text = "*";
    private Set<String> segments;
    private int from;
    private int size = DEFAULT_SIZE;
    private boolean includeSource = true;
    private double timeoutMs = Double.POSITIVE_INFINITY;
    private String idempotencyKey;

    private JsonParser json;

    /** Parses a body; an empty body matches all documents of all segments. */
    static SearchBody parse(byte[] bytes) throws UnsupportedRequestException {
        SearchBody body = new SearchBody();
        if (new String(bytes, StandardCharsets.ISO_8859_1).isBlank()) {
            return body;
        }
        try (JsonParser json = JSON.createParser(bytes)) {
            body.json = json;
            body.readBody();
            if (json.nextToken() != null) {
                throw parsingError("more than one JSON object in a body");
            }
            return body;
        } catch (JsonProcessingException e) {
            throw parsingError(
                    "malformed JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw parsingError("malformed JSON");
        }
    }

    private static UnsupportedRequestException parsingError(String reason) {
        return UnsupportedRequestException.parsing(reason);
    }

    private void readBody() throws IOException, UnsupportedRequestException {
        expect(json.nextToken(), JsonToken.START_OBJECT, "body");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken value = json.nextToken();
            switch (field) {
                case "query" -> readQuery(value);
                case "from" -> setFrom(integer(value, field));
                case "size" -> setSize(integer(value, field));
                case "timeout" -> setTimeout(string(value, field));
                case "_source" -> includeSource = flag(value, field);
                case "track_total_hits" -> {
                    // Totals are always exact, which satisfies both values.
                    if (value != JsonToken.VALUE_NUMBER_INT) {
                        flag(value, field);
                    }
                }
                case "ext" -> readExt(value);
                default -> throw parsingError("unknown or unsupported key [" + field + "]");
            }
        }
    }

    /** Sets the position of the first hit to return, from 0. */
    void setFrom(int value) throws UnsupportedRequestException {
        from = value;
        checkWindow();
    }

    /** Sets the maximum number of hits to return. */
    void setSize(int value) throws UnsupportedRequestException {
        size = value;
        checkWindow();
    }

    private void checkWindow() throws UnsupportedRequestException {
        if (from < 0 || size < 0 || (long) from + size > MAX_RESULT_WINDOW) {
            throw UnsupportedRequestException.illegalArgument(
                    "from and size must not be negative, nor together exceed " + MAX_RESULT_WINDOW);
        }
    }

    /**
     * Sets the timeout from a number and unit such as {@code 500ms} or {@code 1.5s}; {@code -1} is
     * none.
     */
    void setTimeout(String value) throws UnsupportedRequestException {
        if (value.equals(NO_TIMEOUT)) {
            return;
        }
        Matcher matcher = TIMEOUT_PATTERN.matcher(value);
        if (!matcher.matches()) {
            throw UnsupportedRequestException.illegalArgument(
                    "failed to parse [timeout] with value ["
                            + value
                            + "]: a number with ms, s or m is needed");
        }
        timeoutMs = Double.parseDouble(matcher.group(1)) * unitMs(matcher.group(2));
    }

    private static int unitMs(String unit) {
        return switch (unit) {
            case "ms" -> 1;
            case "s" -> 1_000;
            default -> 60_000;
        };
    }

    /** Returns the query text that is sent to searchers. */
    String text() {
        return text;
    }

    void setText(String value) {
        text = value;
    }

    /** Returns the names of the segments to search, or null for all. */
    Set<String> segments() {
        return segments;
    }

    int from() {
        return from;
    }

    int size() {
        return size;
    }

    /** Returns whether hits include their source. */
    boolean includeSource() {
        return includeSource;
    }

    /** Returns the client's timeout, ms; infinite if the body sets none. */
    double timeoutMs() {
        return timeoutMs;
    }

    /** Returns the idempotency key in the body, or null. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    private void readQuery(JsonToken value) throws IOException, UnsupportedRequestException {
        expect(value, JsonToken.START_OBJECT, "query");
        if (json.nextToken() != JsonToken.FIELD_NAME) {
            throw parsingError("query clause is empty");
        }
        String clause = json.currentName();
        expect(json.nextToken(), JsonToken.START_OBJECT, clause);
        switch (clause) {
            case "match_all" ->
                    expect(json.nextToken(), JsonToken.END_OBJECT, "match_all, with no options");
            case "query_string" -> readQueryString();
            case "bool" -> readBool();
            default -> throw parsingError("unknown or unsupported query [" + clause + "]");
        }
        expect(json.nextToken(), JsonToken.END_OBJECT, "query, with one clause");
    }

    private void readQueryString() throws IOException, UnsupportedRequestException {
        boolean found = false;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken value = json.nextToken();
            if (!field.equals("query")) {
                throw parsingError("[query_string] does not support [" + field + "]");
            }
            text = string(value, "query_string.query");
            found = true;
        }
        if (!found || text.isEmpty()) {
            throw parsingError("[query_string] needs [query]");
        }
    }

    private void readBool() throws IOException, UnsupportedRequestException {
        int mustClauses = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken value = json.nextToken();
            if (!field.equals("must") && !field.equals("filter")) {
                throw parsingError("[bool] does not support [" + field + "]");
            }
            boolean isArray = value == JsonToken.START_ARRAY;
            while (!isArray || json.nextToken() != JsonToken.END_ARRAY) {
                if (field.equals("filter")) {
                    readFilter(json.currentToken());
                } else if (++mustClauses > 1) {
                    throw parsingError("[bool] supports one [must] clause");
                } else {
                    readQuery(json.currentToken());
                }
                if (!isArray) {
                    break;
                }
            }
        }
    }

    private void readFilter(JsonToken value) throws IOException, UnsupportedRequestException {
        expect(value, JsonToken.START_OBJECT, "filter");
        json.nextToken();
        String clause = json.currentName();
        if (!"term".equals(clause) && !"terms".equals(clause)) {
            throw parsingError("unknown or unsupported filter [" + clause + "]");
        }
        expect(json.nextToken(), JsonToken.START_OBJECT, clause);
        json.nextToken();
        if (!"_segment".equals(json.currentName())) {
            throw parsingError("[" + clause + "] supports the field [_segment] only");
        }
        List<String> names = new ArrayList<>();
        JsonToken first = json.nextToken();
        if (clause.equals("term")) {
            names.add(string(first, "_segment"));
        } else {
            expect(first, JsonToken.START_ARRAY, "terms._segment");
            while (json.nextToken() != JsonToken.END_ARRAY) {
                names.add(string(json.currentToken(), "_segment"));
            }
        }
        expect(json.nextToken(), JsonToken.END_OBJECT, clause + ", with one field");
        expect(json.nextToken(), JsonToken.END_OBJECT, "filter, with one clause");
        if (segments == null) {
            segments = new LinkedHashSet<>(names);
        } else {
            segments.retainAll(names);
        }
    }

    private void readExt(JsonToken value) throws IOException, UnsupportedRequestException {
        expect(value, JsonToken.START_OBJECT, "ext");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            JsonToken fieldValue = json.nextToken();
            if (!field.equals("idempotency_key")) {
                throw parsingError("[ext] does not support [" + field + "]");
            }
            idempotencyKey = string(fieldValue, "ext.idempotency_key");
        }
    }

    private static void expect(JsonToken token, JsonToken expected, String name)
            throws UnsupportedRequestException {
        if (token != expected) {
            throw parsingError("[" + name + "] is malformed");
        }
    }

    private String string(JsonToken token, String name)
            throws IOException, UnsupportedRequestException {
        expect(token, JsonToken.VALUE_STRING, name);
        return json.getText();
    }

    private int integer(JsonToken token, String name)
            throws IOException, UnsupportedRequestException {
        expect(token, JsonToken.VALUE_NUMBER_INT, name);
        return json.getIntValue();
    }

    private boolean flag(JsonToken token, String name)
            throws IOException, UnsupportedRequestException {
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw parsingError("[" + name + "] is not true or false");
        }
        return json.getBooleanValue();
    }
}
