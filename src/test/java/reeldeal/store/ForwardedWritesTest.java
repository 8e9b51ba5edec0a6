package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.Test;

/**
 * Simulates, for each seed, forwarded writes over a network that loses, duplicates and delays
 * messages, to nodes that may not lead any more.
 */
public class ForwardedWritesTest {
    private static final int WRITES = 60;
    private static final long END_MS = 20_000;

    /** Counts the writes by their result. */
    private static final class Results {
        private int committed;
        private int unknown;
        private int rejected;

        void count(StoreNode.Result result) {
            if (result instanceof StoreNode.Committed) {
                committed++;
            } else if (result instanceof StoreNode.Unknown) {
                unknown++;
            } else {
                rejected++;
            }
        }

        @Override
        public String toString() {
            return committed + " " + unknown + " " + rejected;
        }
    }

    private static final class Simulation {
        private record Event(long time, int order, Runnable action) {}

        private final UniformRandomProvider random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::time).thenComparingInt(Event::order));
        private final KeyValueState state = new KeyValueState();
        private final ForwardedWrites writes =
                new ForwardedWrites("n:1", new ForwardedWrites.Limits(3, 4, 1_000, 2_000, 100));
        private final Map<Integer, StoreNode.Result> results = new HashMap<>();
        private final Map<String, Integer> applied = new HashMap<>();
        private final List<String> errors = new ArrayList<>();
        private long now;
        private int nextOrder;

        Simulation(long seed) {
            random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        }

        private void schedule(long delay, Runnable action) {
            events.add(new Event(now + delay, nextOrder++, action));
        }

        /** Runs the simulation; returns the errors, or null if there were none. */
        String run(Results counts) {
            for (int i = 0; i < WRITES; i++) {
                int write = i;
                schedule(random.nextInt(6_000), () -> submit(write));
            }
            schedule(0, this::sendDue);
            while (!events.isEmpty()) {
                Event event = events.poll();
                now = event.time();
                event.action().run();
            }
            for (int write = 0; write < WRITES; write++) {
                check(write);
                counts.count(results.get(write));
            }
            return errors.isEmpty() && writes.isIdle() ? null : errors.toString();
        }

        private void submit(int write) {
            writes.submit(
                    now,
                    List.of(),
                    List.of(new Change("n" + write, state.version() + "")),
                    result -> {
                        if (results.put(write, result) != null) {
                            errors.add("write " + write + " was answered twice");
                        }
                    });
        }

        private void sendDue() {
            for (ForwardedWrites.Attempt attempt : writes.dueAttempts(now)) {
                boolean toLeader = random.nextInt(4) > 0;
                int copies = random.nextInt(8) == 0 ? 2 : random.nextInt(4) == 0 ? 0 : 1;
                for (int i = 0; i < copies; i++) {
                    boolean slow = random.nextInt(6) == 0;
                    int delay = slow ? random.nextInt(4_000) : 1 + random.nextInt(30);
                    schedule(delay, () -> receive(attempt, toLeader));
                }
            }
            if (now < END_MS) {
                schedule(20, this::sendDue);
            }
        }

        private void receive(ForwardedWrites.Attempt attempt, boolean byLeader) {
            StoreNode.Result result =
                    byLeader ? apply(attempt.command()) : new StoreNode.NotLeader("no");
            if (random.nextInt(4) > 0) {
                schedule(1 + random.nextInt(300), () -> writes.onResult(attempt, result));
            }
        }

        private StoreNode.Result apply(KeyValueState.Command command) {
            List<Change> changed = new ArrayList<>();
            KeyValueState.Outcome outcome =
                    state.apply(state.version() + 1, KeyValueState.encode(command), changed);
            changed.forEach(change -> applied.merge(change.key(), 1, Integer::sum));
            if (random.nextInt(6) == 0) {
                return new StoreNode.Unknown();
            }
            return outcome.isApplied()
                    ? new StoreNode.Committed(outcome.version())
                    : new StoreNode.Rejected(outcome.rejection());
        }

        private void check(int write) {
            int times = applied.getOrDefault("n" + write, 0);
            StoreNode.Result result = results.get(write);
            if (result == null
                    || times > 1
                    || (result instanceof StoreNode.Committed && times != 1)
                    || (result instanceof StoreNode.Rejected && times != 0)) {
                errors.add("write " + write + ": " + result + ", applied " + times + " times");
            }
        }
    }

    /** Guards against a queue that is bounded by its number of writes only. */
    @Test
    public void aQueueOfLargeWritesIsFull() {
        ForwardedWrites writes =
                new ForwardedWrites("n:1", new ForwardedWrites.Limits(1, 100, 10_000, 2_000, 100));
        List<StoreNode.Result> answers = new ArrayList<>();
        List<Change> large = List.of(new Change("k", "v".repeat(6_000)));
        writes.submit(0, List.of(), large, answers::add);
        assertEquals(1, writes.dueAttempts(0).size());
        writes.submit(0, List.of(), large, answers::add);
        assertEquals(List.of(), answers);
        writes.submit(0, List.of(), large, answers::add);
        assertEquals(List.of(new StoreNode.Rejected("too many writes are waiting")), answers);
    }

    @Test
    public void aWriteIsAppliedAtMostOnceAndAnsweredAccordingly() {
        Results counts = new Results();
        for (int seed = 1; seed <= 400; seed++) {
            assertNull("seed " + seed, new Simulation(seed).run(counts));
        }
        assertTrue(
                "each result must occur (committed, unknown, rejected): " + counts,
                counts.committed > 10_000 && counts.unknown > 30 && counts.rejected > 100);
    }
}
