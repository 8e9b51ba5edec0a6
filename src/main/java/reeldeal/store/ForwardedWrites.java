package reeldeal.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tracks the writes that one node forwards to the leader, and retries them so that each is applied
 * at most once. A slot is a session of the state with one write in flight. The write is sent again
 * with the same number until its result is known, even if the leader changes, and the state applies
 * each number once. A write whose result does not arrive before its deadline is answered as
 * unknown. Its number is not reused: a copy that arrives late is applied only if no other copy was,
 * and is rejected once the session has moved on to a higher number.
 *
 * <p>The class does no I/O and has no clock or threads: the time is passed in, in ms of any
 * monotonic clock.
 */
final class ForwardedWrites {
    /**
     * The limits for the writes of one node.
     *
     * @param slots the maximum number of writes in flight
     * @param maxQueued the maximum number of writes that wait for a slot
     * @param maxQueuedBytes the maximum heap size of the writes that wait for a slot
     * @param timeoutMs the time after which a write is answered even though its result is not known
     * @param retryMs the interval between two attempts of one write
     */
    record Limits(int slots, int maxQueued, long maxQueuedBytes, long timeoutMs, long retryMs) {
        /** Returns the default limits with a maximum heap size of the waiting writes. */
        static Limits ofQueuedBytes(long maxQueuedBytes) {
            return new Limits(8, 1_000, maxQueuedBytes, 5_000, 300);
        }
    }

    /** A command to send to the leader, with the slot and the number of its write. */
    record Attempt(int slot, long number, KeyValueState.Command command) {}

    private record Write(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            long heapBytes,
            long deadlineMs,
            Consumer<StoreNode.Result> callback) {}

    private static final class Slot {
        private final String session;
        private long number;
        private Write write;
        private long lastSentMs;

        Slot(String session) {
            this.session = session;
        }

        void assign(Write next, long sentMs) {
            write = next;
            number++;
            lastSentMs = sentMs;
        }

        Write release() {
            Write released = write;
            write = null;
            return released;
        }

        KeyValueState.Command command() {
            return new KeyValueState.Command(
                    session, number, write.preconditions(), write.changes());
        }
    }

    private final Limits limits;
    private final List<Slot> slots = new ArrayList<>();
    private final ArrayDeque<Write> queue = new ArrayDeque<>();
    private long queuedBytes;

    /**
     * Creates the slots.
     *
     * @param session the prefix of the slots' session names; must be unique to this incarnation of
     *     this node
     */
    ForwardedWrites(String session, Limits limits) {
        this.limits = limits;
        for (int i = 0; i < limits.slots(); i++) {
            slots.add(new Slot(session + ":" + i));
        }
    }

    /** Queues a write, or rejects it if the queue is full. */
    void submit(
            long nowMs,
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<StoreNode.Result> callback) {
        long heapBytes = HeapSizes.of(changes);
        boolean isFull =
                queue.size() >= limits.maxQueued()
                        || (!queue.isEmpty() && queuedBytes + heapBytes > limits.maxQueuedBytes());
        if (isFull) {
            callback.accept(new StoreNode.Rejected("too many writes are waiting"));
            return;
        }
        queuedBytes += heapBytes;
        queue.add(
                new Write(preconditions, changes, heapBytes, nowMs + limits.timeoutMs(), callback));
    }

    /**
     * Returns the attempts to send now, both first attempts and retries, and answers the writes
     * that timed out.
     */
    List<Attempt> dueAttempts(long nowMs) {
        List<Write> timedOut = new ArrayList<>();
        List<Attempt> due = new ArrayList<>();
        for (int i = 0; i < slots.size(); i++) {
            Slot slot = slots.get(i);
            if (slot.write != null && nowMs >= slot.write.deadlineMs()) {
                timedOut.add(slot.release());
            }
            assignQueued(slot, nowMs);
            if (slot.write != null && nowMs - slot.lastSentMs >= limits.retryMs()) {
                slot.lastSentMs = nowMs;
                due.add(new Attempt(i, slot.number, slot.command()));
            }
        }
        timedOut.forEach(write -> write.callback().accept(new StoreNode.Unknown()));
        return due;
    }

    /**
     * Assigns the next queued write to a slot if the slot is free, and rejects queued writes that
     * are past their deadline.
     */
    private void assignQueued(Slot slot, long nowMs) {
        while (slot.write == null && !queue.isEmpty()) {
            Write next = queue.poll();
            queuedBytes -= next.heapBytes();
            if (nowMs >= next.deadlineMs()) {
                next.callback().accept(new StoreNode.Rejected("no leader was found in time"));
            } else {
                slot.assign(next, nowMs - limits.retryMs());
            }
        }
    }

    /**
     * Answers the write of an attempt with its result, unless the result calls for a retry or the
     * write was answered before.
     */
    void onResult(Attempt attempt, StoreNode.Result result) {
        Slot slot = slots.get(attempt.slot());
        boolean retry =
                result instanceof StoreNode.Unknown || result instanceof StoreNode.NotLeader;
        if (slot.write != null && slot.number == attempt.number() && !retry) {
            slot.release().callback().accept(result);
        }
    }

    /** Whether no write is in flight or queued. */
    boolean isIdle() {
        return queue.isEmpty() && slots.stream().allMatch(slot -> slot.write == null);
    }
}
