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
 * Deduplicates requests by idempotency key, in this broker's memory.
 *
 * <p>A retry that arrives while the first request is in flight waits for its reply; a retry that
 * arrives after the request was served gets the same reply. If it is unknown whether the request
 * took effect, it may be submitted again only within the deduplication window of the searchers, who
 * drop repeats until its end. Runs on the broker's event loop.
 */
final class IdempotencyCache {
    private static final int MAX_ENTRIES = 4_096;
    private static final double RETENTION_MS = 600_000;

    /** The latest request submitted under a key. */
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

    /** Whether a request was accepted, or the reason for its rejection. */
    enum SubmitResult {
        /** The request is in flight or was already answered from the cache. */
        ACCEPTED,
        /** The key was used before for a different request. */
        DIFFERENT_REQUEST,
        /** An earlier request may have taken effect, and searchers no longer drop its repeats. */
        WINDOW_EXPIRED
    }

    private final RequestSubmitter submitter;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    IdempotencyCache(RequestSubmitter submitter) {
        this.submitter = submitter;
    }

    /**
     * Submits a request, or lets it share the reply of an earlier request under the same key.
     *
     * @param fingerprint text that must equal that of the earlier request under the same key
     * @param windowMs the deduplication window of the searchers, ms
     * @param client takes the reply
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

    /** Removes the oldest key whose request is not in flight, which bounds the cache's memory. */
    private void evictOldestCompleted() {
        entries.entrySet().stream()
                .filter(entry -> !entry.getValue().inFlight)
                .findFirst()
                .map(Map.Entry::getKey)
                .ifPresent(entries::remove);
    }

    /** Removes a disconnected client; withdraws the request once no client waits for it. */
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
