package reeldeal.opensearch;

import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reeldeal.config.OpenSearchConfig;
import reeldeal.config.OpenSearchConfig.Index;
import reeldeal.config.OpenSearchConfig.Segment;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.http.HttpMessage;

/** Parses HTTP requests into searches; errors name the unsupported key or parameter. */
final class SearchParser {
    private static final int MAX_SEARCHES = 100;
    private static final String IDEMPOTENCY_KEY_PATTERN = "[!-+\\--~]{1,128}";
    private static final String WHOLE_NUMBER_PATTERN = "[0-9]{1,9}";

    private final Settings settings;
    private final OpenSearchConfig config;

    SearchParser(Settings settings, OpenSearchConfig config) {
        this.settings = settings;
        this.config = config;
    }

    /** Parses a {@code _search} request; {@code indexName} is null if the path names no index. */
    Search single(HttpMessage message, String indexName, double now)
            throws UnsupportedRequestException {
        SearchBody body = SearchBody.parse(message.body());
        for (Map.Entry<String, String> parameter : parameters(message).entrySet()) {
            apply(message, parameter.getKey(), parameter.getValue(), body);
        }
        return search(message, indexName, body, now);
    }

    /**
     * Checks the parameters of an {@code _msearch} request; none that affect its searches are
     * supported.
     */
    void checkMultipleParameters(HttpMessage message) throws UnsupportedRequestException {
        for (String name : parameters(message).keySet()) {
            if (!isIgnored(name)) {
                throw unsupportedParameter(message, name);
            }
        }
    }

    /**
     * Parses one search of an {@code _msearch} request from its metadata line and its body line.
     */
    Search partOfMultiple(
            HttpMessage message, byte[] metadata, byte[] body, String defaultIndex, double now)
            throws UnsupportedRequestException {
        String index = MsearchHeader.index(metadata, defaultIndex);
        return search(message, index, SearchBody.parse(body), now);
    }

    /**
     * Splits an {@code _msearch} body into lines, which are alternately metadata and search bodies.
     */
    static List<byte[]> lines(byte[] body) throws UnsupportedRequestException {
        List<byte[]> lines = new ArrayList<>();
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (byte nextByte : body) {
            if (nextByte == '\n') {
                lines.add(line.toByteArray());
                line.reset();
            } else {
                line.write(nextByte);
            }
        }
        if (line.size() > 0 || lines.isEmpty()) {
            throw UnsupportedRequestException.illegalArgument(
                    "The msearch request must be terminated by a newline [\\n]");
        }
        if (lines.size() % 2 != 0) {
            throw UnsupportedRequestException.illegalArgument("a header without a body");
        }
        if (lines.size() / 2 > MAX_SEARCHES) {
            throw UnsupportedRequestException.illegalArgument(
                    "more than " + MAX_SEARCHES + " searches");
        }
        return lines;
    }

    // ---- parameters ----

    private static Map<String, String> parameters(HttpMessage message)
            throws UnsupportedRequestException {
        String target = message.targetOrStatus();
        int queryStart = target.indexOf('?');
        Map<String, String> parameters = new HashMap<>();
        if (queryStart < 0 || queryStart == target.length() - 1) {
            return parameters;
        }
        for (String pair : target.substring(queryStart + 1).split("&")) {
            int separator = pair.indexOf('=');
            String name = separator < 0 ? pair : pair.substring(0, separator);
            String value = separator < 0 ? "" : pair.substring(separator + 1);
            try {
                parameters.put(decode(name), decode(value));
            } catch (IllegalArgumentException e) {
                throw UnsupportedRequestException.illegalArgument("malformed parameter");
            }
        }
        return parameters;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static boolean isIgnored(String name) {
        return name.equals("pretty") || name.equals("human");
    }

    private static void apply(HttpMessage message, String name, String value, SearchBody body)
            throws UnsupportedRequestException {
        switch (name) {
            case "pretty", "human" -> {
                // Ignored: all responses have the same format.
            }
            case "q" -> body.setText(value);
            case "timeout" -> body.setTimeout(value);
            case "from" -> body.setFrom(number(name, value));
            case "size" -> body.setSize(number(name, value));
            default -> throw unsupportedParameter(message, name);
        }
    }

    private static UnsupportedRequestException unsupportedParameter(
            HttpMessage message, String name) {
        return UnsupportedRequestException.illegalArgument(
                "request [" + message.path() + "] contains unsupported parameter: [" + name + "]");
    }

    private static int number(String name, String value) throws UnsupportedRequestException {
        if (!value.matches(WHOLE_NUMBER_PATTERN)) {
            throw UnsupportedRequestException.illegalArgument("[" + name + "] is no whole number");
        }
        return Integer.parseInt(value);
    }

    // ---- search ----

    private Search search(HttpMessage message, String indexName, SearchBody body, double now)
            throws UnsupportedRequestException {
        Index index = index(indexName);
        List<Segment> segments = segments(index, body);
        QueryClass queryClass = settings.classes().get(index.classIndex());
        double timeoutMs = timeoutMs(message, body, queryClass);
        String key =
                body.idempotencyKey() == null
                        ? message.header("idempotency-key")
                        : body.idempotencyKey();
        boolean validKey = key != null && key.matches(IDEMPOTENCY_KEY_PATTERN);
        boolean needsKey = queryClass.repeatSafety() == RepeatSafety.IDEMPOTENT_WITH_KEY;
        if (needsKey && !validKey) {
            throw UnsupportedRequestException.illegalArgument(
                    "index ["
                            + index.name()
                            + "] needs an idempotency key, as the header Idempotency-Key or as ext.idempotency_key");
        }
        return new Search(
                index,
                segments,
                body,
                now + timeoutMs,
                needsKey ? key : null,
                validKey ? key : null);
    }

    private Index index(String name) throws UnsupportedRequestException {
        if (name == null && config.indices().size() > 1) {
            throw UnsupportedRequestException.illegalArgument("an index is needed");
        }
        Index index =
                name == null
                        ? config.indices().values().iterator().next()
                        : config.indices().get(name);
        if (index == null) {
            throw UnsupportedRequestException.indexNotFound(name);
        }
        return index;
    }

    private static List<Segment> segments(Index index, SearchBody body)
            throws UnsupportedRequestException {
        Set<String> requested = body.segments();
        List<Segment> segments =
                requested == null
                        ? index.segments()
                        : index.segments().stream()
                                .filter(segment -> requested.contains(segment.name()))
                                .toList();
        boolean hasUnknown = requested != null && segments.size() < requested.size();
        if (segments.isEmpty() || hasUnknown) {
            throw UnsupportedRequestException.illegalArgument(
                    "no such segment in index [" + index.name() + "]");
        }
        return segments;
    }

    private static double timeoutMs(HttpMessage message, SearchBody body, QueryClass queryClass)
            throws UnsupportedRequestException {
        String timeLeft = message.header("x-time-left-ms");
        if (timeLeft != null && !timeLeft.matches(WHOLE_NUMBER_PATTERN)) {
            throw UnsupportedRequestException.illegalArgument("X-Time-Left-Ms is malformed");
        }
        double clientTimeoutMs =
                timeLeft == null ? Double.POSITIVE_INFINITY : Double.parseDouble(timeLeft);
        return Math.min(queryClass.deadlineMs(), Math.min(body.timeoutMs(), clientTimeoutMs));
    }
}
