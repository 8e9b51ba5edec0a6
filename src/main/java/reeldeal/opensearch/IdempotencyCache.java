package reeldeal.opensearch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
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

    /** The share of the heap that the cached replies may take. */
    private static final double HEAP_SHARE = 0.06;

    /** The heap size of an entry or hit without the content of its texts, in bytes. */
    private static final int OBJECT_BYTES = 160;

    private static final double RETENTION_MS = 600_000;

    /** The latest request submitted under a key. */
    private static final class Entry {
        final long requestId;
        final String digest;
        final double firstSubmittedAt;
        final List<Consumer<Reply>> waitingClients = new ArrayList<>();
        boolean inFlight = true;
        long heapBytes;
        Reply.Served servedReply;

        Entry(long requestId, String digest, double firstSubmittedAt) {
            this.requestId = requestId;
            this.digest = digest;
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
    private final long maxHeapBytes;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** The heap size of the entries whose requests are not in flight. */
    private long heapBytes;

    /** Creates an empty cache, whose size limit derives from the heap of this process. */
    IdempotencyCache(RequestSubmitter submitter) {
        this(submitter, (long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /** Creates an empty cache with a limit for the approximate heap size of completed requests. */
    IdempotencyCache(RequestSubmitter submitter, long maxHeapBytes) {
        this.submitter = submitter;
        this.maxHeapBytes = maxHeapBytes;
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
        entries.values().removeIf(entry -> isExpired(entry, now) && release(entry));
        String key = key(request.classIndex(), request.idempotencyKey());
        String digest = digest(fingerprint);
        Entry earlier = entries.get(key);
        if (earlier == null) {
            submitNew(key, new Entry(request.id(), digest, now), request, client);
            return SubmitResult.ACCEPTED;
        }
        if (!earlier.digest.equals(digest)) {
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
        Entry resubmitted = new Entry(request.id(), digest, earlier.firstSubmittedAt);
        submitNew(key, resubmitted, request, client);
        return SubmitResult.ACCEPTED;
    }

    private void submitNew(String key, Entry entry, Request request, Consumer<Reply> client) {
        entry.waitingClients.add(client);
        Entry replaced = entries.put(key, entry);
        if (replaced != null) {
            release(replaced);
        }
        enforceBounds();
        submitter.submit(
                request,
                reply -> {
                    entry.inFlight = false;
                    entry.servedReply = reply instanceof Reply.Served served ? served : null;
                    retain(key, entry);
                    enforceBounds();
                    List<Consumer<Reply>> clients = List.copyOf(entry.waitingClients);
                    entry.waitingClients.clear(); // they refer to the texts of their searches
                    clients.forEach(waitingClient -> waitingClient.accept(reply));
                });
    }

    private static boolean isExpired(Entry entry, double now) {
        return !entry.inFlight && entry.firstSubmittedAt < now - RETENTION_MS;
    }

    /** Counts the memory of a completed request, if the cache still holds it. */
    private void retain(String key, Entry entry) {
        if (entries.get(key) == entry) {
            release(entry);
            entry.heapBytes = heapBytesOf(key, entry);
            heapBytes += entry.heapBytes;
        }
    }

    /** Stops counting the memory of an entry; always returns true. */
    private boolean release(Entry entry) {
        heapBytes -= entry.heapBytes;
        entry.heapBytes = 0;
        return true;
    }

    private static long heapBytesOf(String key, Entry entry) {
        long bytes = OBJECT_BYTES + 2L * (key.length() + entry.digest.length());
        if (entry.servedReply != null) {
            for (Reply.Hit hit : entry.servedReply.hits()) {
                bytes += OBJECT_BYTES + 2L * hit.value().length();
            }
        }
        return bytes;
    }

    /**
     * Brings the cache back within its bounds. First drops the oldest replies, and keeps their
     * keys: a retry outside the deduplication window is then rejected rather than run again. If
     * that is not enough, removes the oldest completed requests.
     */
    private void enforceBounds() {
        for (Map.Entry<String, Entry> cached : entries.entrySet()) {
            if (heapBytes <= maxHeapBytes) {
                break;
            }
            Entry entry = cached.getValue();
            if (entry.servedReply != null) {
                entry.servedReply = null;
                retain(cached.getKey(), entry);
            }
        }
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while ((entries.size() > MAX_ENTRIES || heapBytes > maxHeapBytes)
                && oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            if (!entry.inFlight) {
                oldestFirst.remove();
                release(entry);
            }
        }
    }

    /** Removes a disconnected client; withdraws the request once no client waits for it. */
    void removeClient(int classIndex, String idempotencyKey, Consumer<Reply> client) {
        Entry entry = entries.get(key(classIndex, idempotencyKey));
        if (entry != null
                && entry.inFlight
                && entry.waitingClients.remove(client)
                && entry.waitingClients.isEmpty()) {
            entry.inFlight = false;
            retain(key(classIndex, idempotencyKey), entry);
            submitter.clientDisconnected(entry.requestId);
        }
    }

    private static String digest(String fingerprint) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest(fingerprint.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    private static String key(int classIndex, String idempotencyKey) {
        return classIndex + " " + idempotencyKey;
    }
}
