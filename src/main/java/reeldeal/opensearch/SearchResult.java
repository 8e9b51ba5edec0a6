package reeldeal.opensearch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import reeldeal.config.OpenSearchConfig.Index;
import reeldeal.config.OpenSearchConfig.Segment;
import reeldeal.core.Reply;

/**
 * The outcome of one search.
 *
 * @param status of HTTP
 * @param retryAfterMs when the client should retry, ms; 0 where nothing is said
 * @param body what is written
 */
record SearchResult(int status, double retryAfterMs, Body body) {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int GATEWAY_TIMEOUT = 504;

    /** What stands in the body. */
    sealed interface Body {}

    /**
     * Hits in order of their scores.
     *
     * @param searched the segments that were asked
     * @param complete whether all of them are in
     * @param total how many hits there are, of which {@code hits} is a window
     * @param source whether hits are written with their source
     */
    record Found(
            Index index,
            List<Segment> searchedSegments,
            boolean complete,
            double tookMs,
            int total,
            double maxScore,
            List<Hit> hits,
            boolean includeSource)
            implements Body {}

    /** One hit. */
    record Hit(Segment segment, String value, double score) {}

    /** An error, by OpenSearch's name for it. */
    record ErrorBody(String type, String reason) implements Body {}

    static SearchResult error(int status, String type, String reason) {
        return new SearchResult(status, 0, new ErrorBody(type, reason));
    }

    /** The result of a request that was not taken. */
    static SearchResult unsupported(UnsupportedRequestException exception) {
        return error(exception.status(), exception.type(), exception.getMessage());
    }

    /** The result of a search by the core's reply. */
    static SearchResult fromReply(Search search, Reply reply, double tookMs) {
        if (reply instanceof Reply.Rejected rejected) {
            ErrorBody body =
                    new ErrorBody(
                            "rejected_execution_exception",
                            "the broker cannot serve this now; trying again is harmless");
            return new SearchResult(TOO_MANY_REQUESTS, rejected.retryAfterMs(), body);
        }
        if (reply instanceof Reply.Invalid invalid) {
            return error(CONFLICT, "version_conflict_engine_exception", invalid.reason());
        }
        if (reply instanceof Reply.Failed failed) {
            return error(GATEWAY_TIMEOUT, "search_phase_execution_exception", failed.reason());
        }
        return served(search, (Reply.Served) reply, tookMs);
    }

    private static SearchResult served(Search search, Reply.Served served, double tookMs) {
        List<Hit> hits = new ArrayList<>();
        for (Reply.Hit hit : served.hits()) {
            hits.add(new Hit(segmentOf(search, hit.shard()), hit.value(), hit.score()));
        }
        hits.sort(
                Comparator.comparingDouble((Hit hit) -> -hit.score())
                        .thenComparing(hit -> hit.segment().shard()));
        int from = Math.min(hits.size(), search.body().from());
        int to = Math.min(hits.size(), from + search.body().size());
        Found found =
                new Found(
                        search.index(),
                        search.segments(),
                        served.complete(),
                        tookMs,
                        hits.size(),
                        hits.isEmpty() ? 0 : hits.get(0).score(),
                        List.copyOf(hits.subList(from, to)),
                        search.body().includeSource());
        return new SearchResult(OK, 0, found);
    }

    private static Segment segmentOf(Search search, int shard) {
        return search.segments().stream()
                .filter(segment -> segment.shard() == shard)
                .findFirst()
                .orElseThrow();
    }
}
