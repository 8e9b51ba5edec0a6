package reeldeal.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Limits;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;
import reeldeal.decision.DecisionModule.Server;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.ShardRequest;

/**
 * Simulates many brokers with the real engine in virtual time, and searchers with two cores, a
 * bounded queue and slow start. The brokers share no state; their combined results are counted
 * here. Times are in milliseconds.
 */
final class VirtualFleet {
    static final int CELLS = 20;
    static final int SERVERS_PER_CELL = 3;
    static final int CORES = 2;
    static final int QUEUE_LIMIT = 30;
    static final double CALL_WORK_MS = 14;
    static final double SHARD_WORK_MS = 12;
    static final double OBJECTIVE_MS = 400;
    static final double DEADLINE_MS = 1400;
    static final double TICK_MS = 5;
    static final double NETWORK_MS = 1;
    static final Rules RULES = new Rules(500, 0.18, 18_000, 2.5, 3_000, 0, 0, 0, 10_000);

    private record ScheduledTask(double atMs, long sequence, Runnable action) {}

    /** A simulated searcher, with the times at which it received shard requests. */
    final class Searcher {
        final long id;
        final int cell;
        final double startedMs;
        final List<Double> sentAtMs = new ArrayList<>();
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private int busyCores;
        boolean hung;

        Searcher(long id, int cell, double startedMs) {
            this.id = id;
            this.cell = cell;
            this.startedMs = startedMs;
        }

        /**
         * Returns the share of full capacity at a time, on the slowest ramp that the rules allow.
         */
        double capacityShare(double atMs) {
            return startedMs == 0
                    ? 1
                    : RULES.slowStartCapacity()
                            + (1 - RULES.slowStartCapacity())
                                    * Math.min(
                                            1, Math.max(0, atMs - startedMs) / RULES.slowStartMs());
        }

        private void receive(Job job) {
            sentAtMs.add(now);
            if (hung) {
                return;
            }
            if (queue.size() >= QUEUE_LIMIT) {
                rejectedBySearchers++;
                schedule(NETWORK_MS, () -> job.broker.complete(job, Outcome.REJECTED));
                return;
            }
            queue.add(job);
            startWork();
        }

        private void startWork() {
            while (busyCores < CORES && !queue.isEmpty()) {
                Job job = queue.poll();
                busyCores++;
                double workMs =
                        (CALL_WORK_MS + SHARD_WORK_MS * (0.5 + random.nextDouble()))
                                / capacityShare(now);
                schedule(
                        workMs,
                        () -> {
                            busyCores--;
                            schedule(NETWORK_MS, () -> job.broker.complete(job, Outcome.OK));
                            startWork();
                        });
            }
        }
    }

    private record Job(Broker broker, long shardRequest, int attemptNumber, double sentAtMs) {}

    /** A simulated broker, which counts the results of its queries in the fleet. */
    final class Broker implements DecisionModule.Actions {
        final DecisionEngine engine;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<String, Job> inFlight = new HashMap<>();
        private final Map<Long, Double> submittedAtMs = new HashMap<>();
        private boolean killed;

        Broker(int index, int brokerCount) {
            engine =
                    new DecisionEngine(
                            now,
                            new Settings(
                                    1000 + index,
                                    index,
                                    brokerCount,
                                    index % 3,
                                    TICK_MS,
                                    false,
                                    new Layout(CELLS, 1, 4, CALL_WORK_MS),
                                    List.of(
                                            new QueryClass(
                                                    OBJECTIVE_MS,
                                                    0,
                                                    DEADLINE_MS,
                                                    1,
                                                    0.1,
                                                    RepeatSafety.IDEMPOTENT,
                                                    5000,
                                                    1,
                                                    1,
                                                    0.9,
                                                    0)),
                                    List.of(),
                                    0.1,
                                    new Limits(4, false, true, false, maxInFlight, 1000),
                                    RULES,
                                    List.of()),
                            this);
            engine.servers(
                    now,
                    EndpointListKind.CACHED,
                    searchers.stream().map(VirtualFleet::listEntry).toList());
        }

        private void complete(Job job, Outcome outcome) {
            if (inFlight.remove(job.shardRequest + "/" + job.attemptNumber) != null) {
                engine.outcome(
                        now,
                        job.shardRequest,
                        job.attemptNumber,
                        outcome,
                        now - job.sentAtMs,
                        new double[0]);
            }
        }

        private void submit(int shards) {
            if (killed) {
                lost++;
                return;
            }
            long id = ++queries;
            submittedAtMs.put(id, now);
            List<ShardRequest> shardRequests = new ArrayList<>();
            int firstShard = random.nextInt(CELLS * 3);
            for (int i = 0; i < shards; i++) {
                shardRequests.add(
                        new ShardRequest(
                                id * 100 + i, (firstShard + i) % (CELLS * 3), 1.0 / shards, 0));
            }
            engine.query(now, new Query(id, 0, 0, 0, now + DEADLINE_MS, false), shardRequests);
        }

        @Override
        public void send(long shardRequest, long server, double timeoutMs) {
            int attemptNumber = attempts.merge(shardRequest, 1, Integer::sum) - 1;
            sent++;
            Job job = new Job(this, shardRequest, attemptNumber, now);
            inFlight.put(shardRequest + "/" + attemptNumber, job);
            Searcher target =
                    searchers.stream()
                            .filter(searcher -> searcher.id == server)
                            .findFirst()
                            .orElse(null);
            schedule(
                    NETWORK_MS,
                    () -> {
                        if (target != null) {
                            target.receive(job);
                        }
                    });
            schedule(timeoutMs, () -> complete(job, Outcome.TIMEOUT));
        }

        @Override
        public void cancel(long shardRequest, int attemptNumber) {
            schedule(
                    0,
                    () -> {
                        Job job = inFlight.get(shardRequest + "/" + attemptNumber);
                        if (job != null) {
                            complete(job, Outcome.CANCELLED);
                        }
                    });
        }

        @Override
        public void answer(long query, boolean complete) {
            if (now <= submittedAtMs.get(query) + OBJECTIVE_MS) {
                inTime++;
            } else {
                late++;
            }
        }

        @Override
        public void reject(long query, double retryAfterMs) {
            rejected++;
        }

        @Override
        public void fail(long query) {
            rejected++;
        }

        @Override
        public void scheduleTimer(double delayMs, int token) {
            schedule(
                    Math.max(TICK_MS, delayMs),
                    () -> {
                        if (!killed) {
                            engine.timer(now, token);
                        }
                    });
        }

        @Override
        public void probe(long server) {
            probes++;
        }

        @Override
        public void subscribe() {
            subscriptions++;
        }

        @Override
        public void log(String line) {}
    }

    final Random random;
    final List<Searcher> searchers = new ArrayList<>();
    final List<Broker> brokers = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atMs != other.atMs
                                    ? Double.compare(one.atMs, other.atMs)
                                    : Long.compare(one.sequence, other.sequence));
    private final int maxInFlight;
    double now;
    double zoneSkew = 1; // load of the first zone's brokers relative to the others
    long queries;
    long sent;
    long inTime;
    long late;
    long rejected;
    long rejectedBySearchers;
    long probes;
    long subscriptions;
    long lost;
    private long nextSequence;

    /**
     * Creates brokers and warm searchers; each broker may hold {@code maxInFlight} units of work.
     */
    VirtualFleet(long seed, int brokerCount, int maxInFlight) {
        this(seed, brokerCount, maxInFlight, SERVERS_PER_CELL);
    }

    VirtualFleet(long seed, int brokerCount, int maxInFlight, int searchersPerCell) {
        random = new Random(seed);
        this.maxInFlight = maxInFlight;
        for (int i = 0; i < CELLS * searchersPerCell; i++) {
            searchers.add(new Searcher(i + 1, i % CELLS, 0));
        }
        now = 1000;
        for (int i = 0; i < brokerCount; i++) {
            brokers.add(new Broker(i, brokerCount));
        }
    }

    private static Server listEntry(Searcher searcher) {
        return new Server(
                searcher.id,
                (int) (searcher.id % 3),
                searcher.cell,
                searcher.startedMs,
                1,
                0,
                EndpointState.READY);
    }

    void schedule(double delayMs, Runnable action) {
        tasks.add(new ScheduledTask(now + delayMs, nextSequence++, action));
    }

    /**
     * Schedules queries for a duration at a total rate; one broker in eight gets four times as many
     * as the others.
     */
    void submitQueries(double perSecond, double durationMs) {
        double totalWeight = 0;
        for (int i = 0; i < brokers.size(); i++) {
            totalWeight += weight(i);
        }
        for (int i = 0; i < brokers.size(); i++) {
            int index = i;
            double meanIntervalMs = 1000 / (perSecond * weight(i) / totalWeight);
            for (double delayMs = meanIntervalMs * random.nextDouble();
                    delayMs < durationMs;
                    delayMs -= meanIntervalMs * Math.log(1 - random.nextDouble())) {
                int shards = 1 + random.nextInt(9);
                schedule(delayMs, () -> brokers.get(index).submit(shards));
            }
        }
    }

    private double weight(int broker) {
        return (broker % 8 == 0 ? 4 : 1) * (broker % 3 == 0 ? zoneSkew : 1);
    }

    /** Replaces a searcher by one that starts now, and notifies every broker. */
    Searcher replace(int index) {
        Searcher old = searchers.get(index);
        Searcher replacement = new Searcher(old.id + 1000, old.cell, now);
        searchers.set(index, replacement);
        for (Broker broker : brokers) {
            broker.engine.servers(
                    now,
                    EndpointListKind.CHANGES,
                    List.of(
                            new Server(
                                    old.id,
                                    (int) (old.id % 3),
                                    old.cell,
                                    old.startedMs,
                                    1,
                                    0,
                                    EndpointState.REMOVED),
                            listEntry(replacement)));
        }
        return replacement;
    }

    /** Kills a broker and starts it again with no state but the endpoint list. */
    void restart(int index) {
        Broker old = brokers.set(index, new Broker(index, brokers.size()));
        old.inFlight.clear();
        old.killed = true;
    }

    /** Kills a broker. */
    void kill(int index) {
        brokers.get(index).inFlight.clear();
        brokers.get(index).killed = true;
    }

    void run(double durationMs) {
        double untilMs = now + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
            ScheduledTask next = tasks.poll();
            now = next.atMs;
            next.action.run();
        }
        now = untilMs;
    }

    /**
     * Returns the largest amount of work that a searcher was sent in any overload window, as a
     * multiple of its capacity in that window.
     */
    double worstOverload(Searcher searcher) {
        double worst = 0;
        for (int first = 0, last = 0; last < searcher.sentAtMs.size(); last++) {
            while (searcher.sentAtMs.get(last) - searcher.sentAtMs.get(first)
                    > RULES.overloadWindowMs()) {
                first++;
            }
            // Counts a shard request's own work and that of its call; the capacity is that at the
            // start of the window.
            double capacity =
                    searcher.capacityShare(searcher.sentAtMs.get(first))
                            * CORES
                            * RULES.overloadWindowMs()
                            / (CALL_WORK_MS + SHARD_WORK_MS);
            worst = Math.max(worst, (last - first + 1) / capacity);
        }
        return worst;
    }

    /**
     * Returns the largest excess, in shard requests of mean work, of what a searcher was sent in
     * any overload window over N + 2 x sqrt(N) + 2; negative if there was none. N is the given
     * share of the work that the rules allow in that window; 2 x sqrt(N) + 2 is attributed to
     * chance.
     */
    double excessOverBudget(Searcher searcher, double budgetShare) {
        double worst = Double.NEGATIVE_INFINITY;
        for (int first = 0, last = 0; last < searcher.sentAtMs.size(); last++) {
            while (searcher.sentAtMs.get(last) - searcher.sentAtMs.get(first)
                    > RULES.overloadWindowMs()) {
                first++;
            }
            double budget =
                    budgetShare
                            * RULES.overloadFactor()
                            * searcher.capacityShare(searcher.sentAtMs.get(first))
                            * CORES
                            * RULES.overloadWindowMs()
                            / (CALL_WORK_MS + SHARD_WORK_MS);
            worst = Math.max(worst, last - first + 1 - (budget + 2 * Math.sqrt(budget) + 2));
        }
        return worst;
    }
}
