package reeldeal.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes of one node on their way to the leader, each applied at most once. A slot is a session of
 * the state with one write in flight: the same number is sent again until its result is known,
 * whoever leads by then, and the state applies it once. A write whose result is not known in time
 * is answered as unknown; its number is not used again, so that a copy that arrives late is either
 * the only one or rejected as past.
 *
 * <p>No I/O, clock or threads: time is an argument, in ms of any clock that never goes back.
 */
final class ForwardedWrites {
    /**
     * The limits of one node.
     *
     * @param slots writes in flight
     * @param queued writes that wait for a slot
     * @param timeoutMs after which a write is answered without a result
     * @param retryMs between two attempts of one write
     */
    record Limits(int slots, int maxQueued, long timeoutMs, long retryMs) {
        static final Limits DEFAULT = new Limits(8, 1_000, 5_000, 300);
    }

    /** A command to be sent to the leader. */
    record Attempt(int slot, long number, KeyValueState.Command command) {}

    private record Write(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
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

    /** Sessions whose names begin so; no other incarnation of any node may use the same. */
    ForwardedWrites(String session, Limits limits) {
        this.limits = limits;
        for (int i = 0; i < limits.slots(); i++) {
            slots.add(new Slot(session + ":" + i));
        }
    }

    /** Accepts a write, or rejects it if too many wait. */
    void submit(
            long nowMs,
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<StoreNode.Result> callback) {
        if (queue.size() >= limits.maxQueued()) {
            callback.accept(new StoreNode.Rejected("too many writes are waiting"));
            return;
        }
        queue.add(new Write(preconditions, changes, nowMs + limits.timeoutMs(), callback));
    }

    /** The attempts to send now, first ones and retries; answers the writes that timed out. */
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

    /** Begins the next queued write in a slot that is free. */
    private void assignQueued(Slot slot, long nowMs) {
        while (slot.write == null && !queue.isEmpty()) {
            Write next = queue.poll();
            if (nowMs >= next.deadlineMs()) {
                next.callback().accept(new StoreNode.Rejected("no leader was found in time"));
            } else {
                slot.assign(next, nowMs - limits.retryMs());
            }
        }
    }

    /** Ends the write of an attempt, unless the result calls for a retry. */
    void onResult(Attempt attempt, StoreNode.Result result) {
        Slot slot = slots.get(attempt.slot());
        boolean retry =
                result instanceof StoreNode.Unknown || result instanceof StoreNode.NotLeader;
        if (slot.write != null && slot.number == attempt.number() && !retry) {
            slot.release().callback().accept(result);
        }
    }

    /** Whether no write is in flight or waits. */
    boolean isIdle() {
        return queue.isEmpty() && slots.stream().allMatch(slot -> slot.write == null);
    }
}
