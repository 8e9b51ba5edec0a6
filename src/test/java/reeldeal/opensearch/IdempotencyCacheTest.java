package reeldeal.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;
import reeldeal.opensearch.IdempotencyCache.SubmitResult;

/** Tests how requests with an already used idempotency key are handled. */
class IdempotencyCacheTest {
    private static final double WINDOW_MS = 2_000;
    private static final int MAX_HEAP_BYTES = 100_000;
    private static final Reply SERVED = new Reply.Served(true, List.of());
    private static final Reply FAILED = new Reply.Failed("no answer");

    private final FakeSubmitter submitter = new FakeSubmitter();
    private final IdempotencyCache cache = new IdempotencyCache(submitter, MAX_HEAP_BYTES);
    private final List<Reply> firstReplies = new ArrayList<>();
    private final List<Reply> secondReplies = new ArrayList<>();
    private final Consumer<Reply> firstClient = firstReplies::add;
    private final Consumer<Reply> secondClient = secondReplies::add;

    /** Records submitted requests; the clock advances only when a test sets it. */
    private static final class FakeSubmitter implements RequestSubmitter {
        double now = 1_000;
        final List<Consumer<Reply>> submitted = new ArrayList<>();
        final List<Long> disconnected = new ArrayList<>();

        @Override
        public double now() {
            return now;
        }

        @Override
        public long nextRequestId() {
            return submitted.size() + 1L;
        }

        @Override
        public void submit(Request request, Consumer<Reply> reply) {
            submitted.add(reply);
        }

        @Override
        public void clientDisconnected(long requestId) {
            disconnected.add(requestId);
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            throw new UnsupportedOperationException("the cache must not schedule tasks");
        }

        @Override
        public boolean ready() {
            return true;
        }
    }

    private SubmitResult submit(String fingerprint, Consumer<Reply> client) {
        return submit("key", fingerprint, client);
    }

    private SubmitResult submit(String key, String fingerprint, Consumer<Reply> client) {
        long id = submitter.nextRequestId();
        Request request = new Request(id, "q" + id, 0, key, 9_000, false, "x", List.of());
        return cache.submit(request, fingerprint, WINDOW_MS, client);
    }

    @BeforeEach
    void submitFirstRequest() {
        assertEquals(SubmitResult.ACCEPTED, submit("a search", firstClient));
    }

    @Test
    void aRetryJoinsTheAttemptInFlight() {
        assertEquals(SubmitResult.ACCEPTED, submit("a search", secondClient));
        submitter.submitted.get(0).accept(SERVED);
        assertEquals(1, submitter.submitted.size());
        assertEquals(List.of(SERVED), firstReplies);
        assertEquals(List.of(SERVED), secondReplies);
    }

    @Test
    void aRetryAfterTheReplyGetsTheSameReply() {
        submitter.submitted.get(0).accept(SERVED);
        assertEquals(SubmitResult.ACCEPTED, submit("a search", secondClient));
        assertEquals(1, submitter.submitted.size());
        assertEquals(List.of(SERVED), secondReplies);
    }

    @Test
    void reusingAKeyForAnotherRequestIsAConflict() {
        assertEquals(SubmitResult.DIFFERENT_REQUEST, submit("another search", secondClient));
        assertEquals(List.of(), secondReplies);
    }

    @Test
    void aFailedRequestIsResubmittedWithinTheWindow() {
        submitter.submitted.get(0).accept(FAILED);
        submitter.now += WINDOW_MS - 1;
        assertEquals(SubmitResult.ACCEPTED, submit("a search", secondClient));
        assertEquals(2, submitter.submitted.size());
    }

    @Test
    void theWindowStartsAtTheFirstAttempt() {
        submitter.submitted.get(0).accept(FAILED);
        submitter.now += WINDOW_MS - 1;
        submit("a search", secondClient);
        submitter.submitted.get(1).accept(FAILED);
        submitter.now += 1;
        assertEquals(SubmitResult.WINDOW_EXPIRED, submit("a search", secondClient));
    }

    /** Guards against a cache of large replies that takes the whole heap. */
    @Test
    void theOldestReplyIsDroppedAtTheBoundAndItsRequestIsNotRunAgain() {
        Reply large = new Reply.Served(true, List.of(new Reply.Hit(0, "v".repeat(20_000), 1)));
        submitter.submitted.get(0).accept(large);
        for (int i = 1; i <= 4; i++) {
            submit("key" + i, "a search", firstClient);
            submitter.submitted.get(i).accept(large);
        }
        submitter.now += WINDOW_MS;
        assertEquals(SubmitResult.WINDOW_EXPIRED, submit("key", "a search", secondClient));
        assertEquals(SubmitResult.ACCEPTED, submit("key4", "a search", secondClient));
        assertEquals(List.of(large), secondReplies);
        assertEquals(5, submitter.submitted.size());
    }

    @Test
    void theRequestIsWithdrawnOnceAllClientsHaveDisconnected() {
        submit("a search", secondClient);
        cache.removeClient(0, "key", firstClient);
        assertEquals(List.of(), submitter.disconnected);
        cache.removeClient(0, "key", secondClient);
        assertEquals(List.of(1L), submitter.disconnected);
    }
}
