package reeldeal.opensearch;

import java.util.List;
import java.util.function.Consumer;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;
import reeldeal.decision.DecisionModule.Settings;

/**
 * Submits searches to the core as requests and converts the replies to search results. Runs on the
 * broker's event loop.
 */
final class SearchExecutor {
    private static final int CONFLICT = 409;
    private static final int ID_RADIX = 36;
    private static final int DEADLINE_MARGIN_TICKS = 2;

    private final RequestSubmitter submitter;
    private final Settings settings;
    private final String brokerName;
    private final IdempotencyCache cache;

    SearchExecutor(RequestSubmitter submitter, Settings settings, String brokerName) {
        this.submitter = submitter;
        this.settings = settings;
        this.brokerName = brokerName;
        cache = new IdempotencyCache(submitter);
    }

    /**
     * Submits one search. {@code onResult} is called exactly once, or never if the client
     * disconnects first.
     *
     * @return the action to run when the client disconnects
     */
    Runnable execute(Search search, double now, Consumer<SearchResult> onResult) {
        Request request = request(search, now);
        FirstReplyConsumer onReply =
                new FirstReplyConsumer(
                        reply ->
                                onResult.accept(
                                        SearchResult.fromReply(
                                                search, reply, submitter.now() - now)));
        if (search.idempotencyKey() == null || submitter.deduplicates(request.classIndex())) {
            submitter.submit(request, search.clientKey(), onReply);
            return () -> submitter.clientDisconnected(request.id());
        }
        return executeWithCache(search, request, onReply, onResult);
    }

    /** Submits a search with an idempotency key that this broker deduplicates in its own cache. */
    private Runnable executeWithCache(
            Search search,
            Request request,
            FirstReplyConsumer onReply,
            Consumer<SearchResult> onResult) {
        Runnable onDisconnect =
                () -> cache.removeClient(request.classIndex(), request.idempotencyKey(), onReply);
        double windowMs = settings.classes().get(request.classIndex()).deduplicationWindowMs();
        IdempotencyCache.SubmitResult submitResult =
                cache.submit(request, search.fingerprint(), windowMs, onReply);
        if (submitResult != IdempotencyCache.SubmitResult.ACCEPTED) {
            onReply.close();
            onResult.accept(conflict(submitResult));
            return onDisconnect;
        }
        // A retry that shares the reply of a first request with a later deadline must still be
        // answered before its own deadline.
        double waitMs =
                search.deadlineMs() - submitter.now() - DEADLINE_MARGIN_TICKS * settings.tickMs();
        submitter.schedule(
                Math.max(0, waitMs),
                () -> {
                    if (onReply.isOpen()) {
                        onDisconnect.run();
                        onReply.accept(new Reply.Failed("time is up"));
                    }
                });
        return onDisconnect;
    }

    private static SearchResult conflict(IdempotencyCache.SubmitResult submitResult) {
        String reason =
                submitResult == IdempotencyCache.SubmitResult.DIFFERENT_REQUEST
                        ? "the idempotency key belongs to another request"
                        : "an earlier try may have taken effect, and repeats of it are no longer dropped";
        return SearchResult.error(CONFLICT, "version_conflict_engine_exception", reason);
    }

    private Request request(Search search, double now) {
        long id = submitter.nextRequestId();
        String name = brokerName + "-" + Long.toString((long) now, ID_RADIX) + "-" + id;
        double weight = 1.0 / search.segments().size();
        List<Request.ShardRequest> shards =
                search.segments().stream()
                        .map(segment -> new Request.ShardRequest(segment.shard(), weight, 0))
                        .toList();
        return new Request(
                id,
                name,
                search.index().classIndex(),
                search.idempotencyKey(),
                search.deadlineMs(),
                false,
                search.body().text(),
                shards);
    }

    /** Passes the first reply on to the target and drops all others. */
    private static final class FirstReplyConsumer implements Consumer<Reply> {
        private final Consumer<Reply> target;
        private boolean open = true;

        FirstReplyConsumer(Consumer<Reply> target) {
            this.target = target;
        }

        @Override
        public void accept(Reply reply) {
            if (open) {
                open = false;
                target.accept(reply);
            }
        }

        boolean isOpen() {
            return open;
        }

        void close() {
            open = false;
        }
    }
}
