package reeldeal.opensearch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import reeldeal.config.OpenSearchConfig;
import reeldeal.core.RequestSubmitter;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.http.Exchange;
import reeldeal.http.HttpMessage;

/**
 * The OpenSearch-style front: serves {@code _search} and {@code _msearch} through the same core and
 * rules as the platform's front. Runs on the broker's event loop.
 */
public final class OpenSearchFront {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final String SEARCH = "_search";
    private static final String MULTIPLE_SEARCH = "_msearch";

    private final RequestSubmitter submitter;
    private final String brokerName;
    private final SearchParser parser;
    private final SearchExecutor executor;

    /** Creates a front; the broker's name is part of the names of the requests that it submits. */
    public OpenSearchFront(
            RequestSubmitter submitter,
            Settings settings,
            OpenSearchConfig config,
            String brokerName) {
        this.submitter = submitter;
        this.brokerName = brokerName;
        parser = new SearchParser(settings, config);
        executor = new SearchExecutor(submitter, settings, brokerName);
    }

    /**
     * Handles one HTTP request and writes the response to the exchange, unless the client
     * disconnects first.
     */
    public void accept(HttpMessage message, Exchange exchange) {
        String path = message.path();
        String[] pathParts = path.substring(Math.min(1, path.length())).split("/");
        String endpoint = pathParts[pathParts.length - 1];
        String index = pathParts.length == 2 ? pathParts[0] : null;
        String method = message.methodOrVersion();
        try {
            if (path.equals("/")) {
                respond(exchange, OK, 0, SearchJson.brokerInfo(brokerName));
            } else if (pathParts.length > 2
                    || (!endpoint.equals(SEARCH) && !endpoint.equals(MULTIPLE_SEARCH))) {
                respond(exchange, noHandler(message));
            } else if (!method.equals("POST") && !method.equals("GET")) {
                respond(
                        exchange,
                        SearchResult.error(
                                METHOD_NOT_ALLOWED, "method_not_allowed", "use GET or POST"));
            } else if (endpoint.equals(SEARCH)) {
                search(message, index, exchange);
            } else {
                multipleSearch(message, index, exchange);
            }
        } catch (UnsupportedRequestException e) {
            respond(exchange, SearchResult.unsupported(e));
        }
    }

    private static SearchResult noHandler(HttpMessage message) {
        return SearchResult.error(
                BAD_REQUEST,
                "illegal_argument_exception",
                "no handler found for uri [" + message.targetOrStatus() + "]");
    }

    private void search(HttpMessage message, String index, Exchange exchange)
            throws UnsupportedRequestException {
        double now = submitter.now() - exchange.waitedMs();
        Search search = parser.single(message, index, now);
        List<Runnable> onDisconnect = new ArrayList<>();
        exchange.onDisconnect(() -> onDisconnect.forEach(Runnable::run));
        onDisconnect.add(executor.execute(search, now, result -> respond(exchange, result)));
    }

    /**
     * Executes each search on its own. The response has a result with a status for each of them, in
     * the order of the request.
     */
    private void multipleSearch(HttpMessage message, String defaultIndex, Exchange exchange)
            throws UnsupportedRequestException {
        double now = submitter.now() - exchange.waitedMs();
        parser.checkMultipleParameters(message);
        List<byte[]> lines = SearchParser.lines(message.body());
        PendingResults pending = new PendingResults(lines.size() / 2, exchange, now);
        List<Runnable> onDisconnect = new ArrayList<>();
        exchange.onDisconnect(() -> onDisconnect.forEach(Runnable::run));
        for (int i = 0; i < lines.size() / 2; i++) {
            Consumer<SearchResult> onResult = pending.consumerFor(i);
            byte[] metadata = lines.get(2 * i);
            byte[] body = lines.get(2 * i + 1);
            try {
                Search search = parser.partOfMultiple(message, metadata, body, defaultIndex, now);
                onDisconnect.add(executor.execute(search, now, onResult));
            } catch (UnsupportedRequestException e) {
                onResult.accept(SearchResult.unsupported(e));
            }
        }
    }

    /** Collects the results of one {@code _msearch} and responds once all are complete. */
    private final class PendingResults {
        private final SearchResult[] results;
        private final Exchange exchange;
        private final double startedAt;
        private int outstanding;

        PendingResults(int count, Exchange exchange, double startedAt) {
            results = new SearchResult[count];
            outstanding = count;
            this.exchange = exchange;
            this.startedAt = startedAt;
        }

        Consumer<SearchResult> consumerFor(int index) {
            return result -> {
                results[index] = result;
                if (--outstanding == 0) {
                    double tookMs = submitter.now() - startedAt;
                    respond(exchange, OK, 0, SearchJson.multiple(Arrays.asList(results), tookMs));
                }
            };
        }
    }

    private static void respond(Exchange exchange, SearchResult result) {
        respond(exchange, result.status(), result.retryAfterMs(), SearchJson.single(result));
    }

    private static void respond(Exchange exchange, int status, double retryAfterMs, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json; charset=UTF-8");
        if (retryAfterMs > 0) {
            long seconds = (long) Math.ceil(retryAfterMs / 1000);
            headers.put("Retry-After", String.format(Locale.ROOT, "%d", seconds));
        }
        exchange.respond(status, headers, body);
    }
}
