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
 * @param status the HTTP status
 * @param retryAfterMs the time after which the client should retry, ms; 0 for no Retry-After
 * @param body the content of the response body
 */
record SearchResult(int status, double retryAfterMs, Body body) {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int GATEWAY_TIMEOUT = 504;

    /** The content of a response body: hits or an error. */
    sealed interface Body {}

    /**
     * The hits of a search, ordered by descending score.
     *
     * @param searchedSegments the segments that were searched
     * @param complete whether every segment that a complete result needs has answered
     * @param total the number of all hits
     * @param hits the hits from {@code from} on, at most {@code size}
     * @param includeSource whether hits are written with their source
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

    /** The hit of a segment; {@code value} is written as the document's id. */
    record Hit(Segment segment, String value, double score) {}

    /** An error with one of OpenSearch's error types. */
    record ErrorBody(String type, String reason) implements Body {}

    static SearchResult error(int status, String type, String reason) {
        return new SearchResult(status, 0, new ErrorBody(type, reason));
    }

    /** Returns the error result for a malformed or unsupported request. */
    static SearchResult unsupported(UnsupportedRequestException exception) {
        return error(exception.status(), exception.type(), exception.getMessage());
    }

    /** Converts the core's reply to the result of a search. */
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
