package reeldeal.fleet.takeover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.ConditionalWrite;

/**
 * Groups the writes of many requests into commits: while the maximum number of batches is in
 * progress, further writes are queued and later sent together. A batch is applied completely or not
 * at all. The writes of a rejected batch are therefore sent again one by one, so that only the
 * conflicting write is rejected.
 *
 * <p>Used on the store's loop.
 */
public final class GroupCommit {
    /** A batch of writes that is sent as one command; {@code keys} are their request keys. */
    public record Batch(long id, ConditionalWrite write, Set<String> keys) {}

    /** A queued write; {@code sendAlone} if it was part of a rejected batch. */
    private record QueuedWrite(String key, ConditionalWrite write, boolean sendAlone) {}

    private final int maxWrites;
    private final int maxValueLength;
    private final int maxBatches;
    private final ArrayDeque<QueuedWrite> queue = new ArrayDeque<>();
    private final Map<Long, List<QueuedWrite>> inProgress = new HashMap<>();
    private long nextId = 1;

    /**
     * Creates an empty queue.
     *
     * @param maxWrites the maximum number of writes in a batch
     * @param maxValueLength the maximum total length of the values in a batch, in characters; a
     *     single longer write is sent as a batch of its own
     * @param maxBatches the maximum number of batches in progress
     */
    public GroupCommit(int maxWrites, int maxValueLength, int maxBatches) {
        this.maxWrites = maxWrites;
        this.maxValueLength = maxValueLength;
        this.maxBatches = maxBatches;
    }

    /** Queues a write for a key that has no other write queued or in progress. */
    public void add(String key, ConditionalWrite write) {
        queue.add(new QueuedWrite(key, write, false));
    }

    /** Returns the batches to send now; each is in progress until {@link #batchEnded}. */
    public List<Batch> dueBatches() {
        List<Batch> due = new ArrayList<>();
        while (!queue.isEmpty() && inProgress.size() < maxBatches) {
            due.add(nextBatch());
        }
        return due;
    }

    private Batch nextBatch() {
        QueuedWrite first = queue.poll();
        List<QueuedWrite> batch = new ArrayList<>(List.of(first));
        ConditionalWrite combined =
                ConditionalWrite.withReason(first.write().reason()).include(first.write());
        int totalLength = valueLength(first.write());
        while (batch.size() < maxWrites && mayJoin(first, combined, totalLength)) {
            QueuedWrite next = queue.poll();
            batch.add(next);
            totalLength += valueLength(next.write());
            combined.include(next.write());
        }
        long id = nextId++;
        inProgress.put(id, batch);
        return new Batch(
                id,
                batch.size() == 1 ? first.write() : withBatchReason(combined, batch),
                keys(batch));
    }

    private static ConditionalWrite withBatchReason(
            ConditionalWrite combined, List<QueuedWrite> batch) {
        return new ConditionalWrite(
                combined.expectedVersions(),
                combined.changes(),
                "work: batch of " + batch.size() + " record writes");
    }

    private boolean mayJoin(QueuedWrite first, ConditionalWrite combined, int totalLength) {
        QueuedWrite next = queue.peek();
        return next != null
                && !first.sendAlone()
                && !next.sendAlone()
                && totalLength + valueLength(next.write()) <= maxValueLength
                && isConsistent(combined, next.write());
    }

    /**
     * Whether a write can be combined with a batch. Writes that expect one key at different
     * versions, or that change the same key, were decided from different states.
     */
    private static boolean isConsistent(ConditionalWrite combined, ConditionalWrite next) {
        for (Map.Entry<String, Long> expected : next.expectedVersions().entrySet()) {
            Long version = combined.expectedVersions().get(expected.getKey());
            if (version != null && !version.equals(expected.getValue())) {
                return false;
            }
        }
        return next.changes().keySet().stream().noneMatch(combined.changes()::containsKey);
    }

    private static int valueLength(ConditionalWrite write) {
        return write.changes().values().stream()
                .mapToInt(value -> value == null ? 0 : value.length())
                .sum();
    }

    private static Set<String> keys(List<QueuedWrite> batch) {
        Set<String> keys = new TreeSet<>();
        batch.forEach(write -> keys.add(write.key()));
        return keys;
    }

    /**
     * Ends a batch and returns the keys whose writes have ended with it.
     *
     * @param rejected whether the batch was rejected, so that none of its writes was applied; if it
     *     had several, they are queued again, to be sent one by one
     */
    public Set<String> batchEnded(long id, boolean rejected) {
        List<QueuedWrite> batch = inProgress.remove(id);
        if (batch == null) {
            return Set.of();
        }
        if (rejected && batch.size() > 1) {
            for (int i = batch.size() - 1; i >= 0; i--) {
                QueuedWrite write = batch.get(i);
                queue.addFirst(new QueuedWrite(write.key(), write.write(), true));
            }
            return Set.of();
        }
        return keys(batch);
    }

    /** Removes the write of a key if it has not been sent yet; returns whether there was one. */
    public boolean drop(String key) {
        return queue.removeIf(write -> write.key().equals(key));
    }

    /** Returns the total length of the values that are queued or in progress, in characters. */
    public long valueLength() {
        long length = queue.stream().mapToLong(write -> valueLength(write.write())).sum();
        for (List<QueuedWrite> batch : inProgress.values()) {
            length += batch.stream().mapToLong(write -> valueLength(write.write())).sum();
        }
        return length;
    }

    /** Returns the number of writes that are queued or in progress. */
    public int size() {
        return queue.size() + inProgress.values().stream().mapToInt(List::size).sum();
    }
}
