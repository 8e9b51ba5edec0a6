package reeldeal.opensearch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;

/**
 * Requests by their idempotency keys, in this broker's memory. A retry that comes while the first
 * attempt is in flight waits for its reply; one that comes after it was served gets the same reply.
 * A key whose effect is unknown may be submitted again while searchers drop repeats, and not after
 * that. Runs on the broker's event loop.
 */
final class IdempotencyCache {
    private static final int MAX_ENTRIES = 4_096;
    private static final double RETENTION_MS = 600_000;

    /** One key's request. */
    private static final class Entry {
        final long requestId;
        final String fingerprint;
        final double firstSubmittedAt;
        final List<Consumer<Reply>> waitingClients = new ArrayList<>();
        boolean inFlight = true;
        Reply.Served servedReply;

        Entry(long requestId, String fingerprint, double firstSubmittedAt) {
            this.requestId = requestId;
            this.fingerprint = fingerprint;
            this.firstSubmittedAt = firstSubmittedAt;
        }
    }

    /** Whether a request was accepted, and if not, why. */
    enum SubmitResult {
        /** Its reply will come, or has come. */
        ACCEPTED,
        /** The key belongs to another request. */
        DIFFERENT_REQUEST,
        /** An earlier attempt may have taken effect, and repeats are no longer dropped. */
        WINDOW_EXPIRED
    }

    private final RequestSubmitter submitter;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    IdempotencyCache(RequestSubmitter submitter) {
        this.submitter = submitter;
    }

    /**
     * Submits a request, or joins it to the first attempt under its key.
     *
     * @param fingerprint what a retry has to repeat
     * @param windowMs how long searchers drop repeats, ms
     */
    SubmitResult submit(
            Request request, String fingerprint, double windowMs, Consumer<Reply> client) {
        double now = submitter.now();
        entries.values()
                .removeIf(entry -> !entry.inFlight && entry.firstSubmittedAt < now - RETENTION_MS);
        String key = key(request.classIndex(), request.idempotencyKey());
        Entry earlier = entries.get(key);
        if (earlier == null) {
            submitNew(key, new Entry(request.id(), fingerprint, now), request, client);
            return SubmitResult.ACCEPTED;
        }
        if (!earlier.fingerprint.equals(fingerprint)) {
            return SubmitResult.DIFFERENT_REQUEST;
        }
        if (earlier.inFlight) {
            earlier.waitingClients.add(client);
            return SubmitResult.ACCEPTED;
        }
        if (earlier.servedReply != null) {
            client.accept(earlier.servedReply);
            return SubmitResult.ACCEPTED;
        }
        if (now >= earlier.firstSubmittedAt + windowMs) {
            return SubmitResult.WINDOW_EXPIRED;
        }
        Entry resubmitted = new Entry(request.id(), fingerprint, earlier.firstSubmittedAt);
        submitNew(key, resubmitted, request, client);
        return SubmitResult.ACCEPTED;
    }

    private void submitNew(String key, Entry entry, Request request, Consumer<Reply> client) {
        entry.waitingClients.add(client);
        entries.put(key, entry);
        if (entries.size() > MAX_ENTRIES) {
            evictOldestCompleted();
        }
        submitter.submit(
                request,
                reply -> {
                    entry.inFlight = false;
                    entry.servedReply = reply instanceof Reply.Served served ? served : null;
                    List.copyOf(entry.waitingClients)
                            .forEach(waitingClient -> waitingClient.accept(reply));
                });
    }

    /** Bounds the memory. */
    private void evictOldestCompleted() {
        entries.entrySet().stream()
                .filter(entry -> !entry.getValue().inFlight)
                .findFirst()
                .map(Map.Entry::getKey)
                .ifPresent(entries::remove);
    }

    /** One client that waits has disconnected; once all have, the request is withdrawn. */
    void removeClient(int classIndex, String idempotencyKey, Consumer<Reply> client) {
        Entry entry = entries.get(key(classIndex, idempotencyKey));
        if (entry != null
                && entry.inFlight
                && entry.waitingClients.remove(client)
                && entry.waitingClients.isEmpty()) {
            entry.inFlight = false;
            submitter.clientDisconnected(entry.requestId);
        }
    }

    private static String key(int classIndex, String idempotencyKey) {
        return classIndex + " " + idempotencyKey;
    }
}
