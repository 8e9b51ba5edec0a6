package reeldeal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.takeover.GroupCommit;
import reeldeal.fleet.takeover.InFlightRequests;
import reeldeal.fleet.takeover.InFlightRequests.RunOutcome;
import reeldeal.fleet.takeover.KeyedRequest;
import reeldeal.fleet.takeover.RequestAction;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.fleet.takeover.TakeoverPolicy;
import reeldeal.store.KeyValueState;

/**
 * Simulates keyed requests in the fleet simulation: brokers that are killed, paused and partitioned
 * with requests in flight, clients that retry at other brokers, and searchers that deduplicate
 * repeats of a key for a while. Checked against the runs at the searchers and the answers that
 * clients received.
 */
final class TakeoverSimulation implements FleetSimulation.Extension {
    static final TakeoverPolicy.Window WINDOW = new TakeoverPolicy.Window(5_500, 300, 400);
    static final InFlightRequests.Bounds BOUNDS = new InFlightRequests.Bounds(20, 100, 1_500, 300);
    static final long CLIENT_TIMEOUT_MS = 8_000;
    private static final long WALL_CLOCK_START = 1_000_000;
    private static final int CLIENTS = 60;
    private static final int MAX_ATTEMPTS = 3;

    /** The modules under test, which subclasses replace with broken ones. */
    static class Modules {
        TakeoverPolicy takeoverPolicy() {
            return new TakeoverPolicy();
        }

        InFlightRequests inFlightRequests(String name, Function<String, RequestRecord> records) {
            return new InFlightRequests(name, takeoverPolicy(), key -> WINDOW, BOUNDS, records);
        }

        boolean checksLease() {
            return true;
        }
    }

    /** The requests of one broker, its copy of the records, and its pending writes. */
    private final class Broker {
        private final InFlightRequests requests;
        private final GroupCommit groupCommit = new GroupCommit(16, 60_000, 2);
        private Map<String, RequestRecord> recordsCopy = Map.of();

        Broker(String name) {
            requests = modules.inFlightRequests(name, key -> recordsCopy.get(key));
        }

        /** Passes all records that have changed since the last call to the requests. */
        void applyRecords(long now) {
            Set<String> changed = new TreeSet<>();
            Map<String, RequestRecord> before = recordsCopy;
            recordsCopy = records;
            records.forEach(
                    (key, record) -> {
                        RequestRecord known = before.get(key);
                        if (known == null || known.version() != record.version()) {
                            changed.add(key);
                        }
                    });
            before.keySet().stream().filter(key -> !records.containsKey(key)).forEach(changed::add);
            requests.recordsChanged(now, changed);
        }
    }

    final FleetSimulation fleet;
    private final Modules modules;
    private final Map<SimulatedProcess, Broker> brokers = new HashMap<>();
    private final Map<SimulatedProcess, Long> wallClockErrors = new HashMap<>();
    private final Map<Long, String> keyByClient = new HashMap<>();
    private long nextClientId;

    /** The committed records, which may be newer than the copies of the brokers. */
    private Map<String, RequestRecord> records = new TreeMap<>();

    private final Set<String> sentKeys = new TreeSet<>();
    private final Map<String, Integer> runsAtSearchers = new TreeMap<>();
    private final Map<String, Long> deduplicatedSince = new HashMap<>();
    private final Map<String, String> answerByKey = new TreeMap<>();

    int answeredDone;
    int answeredUnknown;
    int answeredFailed;
    int claims;
    int repeatedRuns;

    TakeoverSimulation(long seed, Modules modules) {
        this.modules = modules;
        fleet = new FleetSimulation(seed, new FleetSimulation.Modules());
        fleet.extension = this;
        for (int i = 0; i < CLIENTS; i++) {
            String key = "k" + i;
            fleet.after(
                    4_000 + fleet.rng.nextInt(34_000),
                    () -> sendAsClient(key, fleet.now + CLIENT_TIMEOUT_MS));
        }
    }

    /** Runs to the end, and on until no request can be in flight any more. */
    TakeoverSimulation runToEnd() {
        fleet.runToEnd();
        fleet.runUntil(Math.max(fleet.now, 42_000) + 25_000);
        records.values()
                .forEach(
                        record ->
                                fleet.check(
                                        !record.isOpen(),
                                        "the record is still open at the end: " + record));
        return this;
    }

    private long wallClock(SimulatedProcess process) {
        long errorMs =
                wallClockErrors.computeIfAbsent(
                        process, key -> (long) fleet.rng.nextInt(280) - 140);
        return WALL_CLOCK_START + fleet.now + errorMs;
    }

    // ---- clients ----

    /**
     * Sends a request to a random broker, and repeats that after a while until it is answered or
     * its deadline has passed.
     */
    private void sendAsClient(String key, long deadline) {
        List<SimulatedProcess> serving =
                fleet.processes.values().stream()
                        .filter(process -> process.alive && process.serving)
                        .filter(brokers::containsKey)
                        .toList();
        boolean isDone = answerByKey.containsKey(key) && fleet.rng.nextInt(3) > 0;
        if (isDone || fleet.now >= deadline) {
            return;
        }
        if (!serving.isEmpty()) {
            SimulatedProcess process = serving.get(fleet.rng.nextInt(serving.size()));
            long client = nextClientId++;
            keyByClient.put(client, key);
            process.run(() -> submit(process, client, key, deadline));
        }
        fleet.after(1_200 + fleet.rng.nextInt(800), () -> sendAsClient(key, deadline));
    }

    private void submit(SimulatedProcess process, long client, String key, long deadline) {
        KeyedRequest request =
                new KeyedRequest(
                        client,
                        key,
                        new KeyedRequest.Content("d", "body"),
                        "bid-mark",
                        2,
                        WALL_CLOCK_START + deadline,
                        true);
        brokers.get(process).requests.submit(wallClock(process), request);
    }

    private void answer(String key, RequestAction.Reply reply) {
        fleet.digest.add(
                fleet.now + " " + key + " is told " + reply.state() + " " + reply.outcome());
        if (reply.state() == RequestRecord.State.FAILED) {
            answeredFailed++;
            RequestRecord record = records.get(key);
            fleet.check(
                    !reply.outcome().equals("unsent") || record == null || record.isOpen(),
                    key + " was answered as unsent, but its record is " + record);
            return; // its client retries
        }
        boolean isDone = reply.state() == RequestRecord.State.DONE;
        answeredDone += isDone ? 1 : 0;
        answeredUnknown += isDone ? 0 : 1;
        String answer = isDone ? reply.outcome() : "unknown";
        fleet.check(
                records.get(key) != null && records.get(key).state() == reply.state(),
                key + " was answered " + answer + " before it was recorded");
        String before = answerByKey.put(key, answer);
        fleet.check(
                before == null || before.equals(answer),
                key + " was answered " + before + " and " + answer);
    }

    // ---- brokers ----

    @Override
    public void onStarted(SimulatedProcess process) {
        brokers.put(process, new Broker(process.name));
    }

    @Override
    public void onTick(SimulatedProcess process) {
        Broker broker = brokers.get(process);
        if (broker == null) {
            return;
        }
        if (process.partitioned) {
            broker.requests.tick(wallClock(process));
        } else {
            Member member = process.appliedView.members().get(process.name);
            boolean isRegistered = member != null && member.bootId().equals(process.boot);
            broker.applyRecords(wallClock(process));
            broker.requests.onFleetChanged(
                    wallClock(process), process.appliedView, isRegistered ? member : null);
        }
        performActions(process, broker);
    }

    private void performActions(SimulatedProcess process, Broker broker) {
        for (RequestAction action : broker.requests.drainActions()) {
            if (action instanceof RequestAction.Propose propose) {
                claims += propose.purpose() == RequestAction.Purpose.TAKE_OVER ? 1 : 0;
                broker.groupCommit.add(propose.key(), propose.write());
            } else if (action instanceof RequestAction.Run run) {
                repeatedRuns += run.record().runs() > 1 ? 1 : 0;
                send(process, broker.requests, run.record(), 0);
            } else if (action instanceof RequestAction.Reply reply) {
                answer(keyByClient.get(reply.client()), reply);
            }
        }
        for (GroupCommit.Batch batch : broker.groupCommit.dueBatches()) {
            fleet.submit(
                    batch.write(),
                    process.partitioned,
                    committed -> process.run(() -> batchEnded(process, batch, committed)));
        }
    }

    private void batchEnded(SimulatedProcess process, GroupCommit.Batch batch, boolean committed) {
        Broker broker = brokers.get(process);
        broker.groupCommit
                .batchEnded(batch.id(), false)
                .forEach(key -> broker.requests.writeEnded(wallClock(process), key, committed));
    }

    /** Makes one attempt, before which the broker checks its lease and its copy of the record. */
    private void send(
            SimulatedProcess process,
            InFlightRequests requests,
            RequestRecord record,
            int attempt) {
        String key = record.key();
        if (!requests.owns(key)) {
            return;
        }
        if (modules.checksLease() && !process.member.holdsLease(process.clock())) {
            fleet.after(150, () -> process.run(() -> send(process, requests, record, attempt)));
            return;
        }
        TakeoverPolicy.Verdict verdict =
                attempt == 0 && record.runs() == 1
                        ? TakeoverPolicy.Verdict.RUN
                        : modules.takeoverPolicy().verdict(record, wallClock(process), WINDOW);
        boolean isAdmitted = attempt > 0 || fleet.rng.nextInt(12) > 0;
        if (!isAdmitted) {
            requests.runEnded(wallClock(process), key, RunOutcome.UNSENT, "unsent");
            return;
        }
        if (verdict != TakeoverPolicy.Verdict.RUN || attempt >= MAX_ATTEMPTS) {
            requests.runEnded(wallClock(process), key, RunOutcome.FAILED, "failed");
            return;
        }
        RequestRecord trueRecord = records.get(key);
        fleet.check(
                trueRecord.owner().equals(process.name)
                        && trueRecord.incarnation() == record.incarnation(),
                process.boot + " sends " + key + ", which " + trueRecord.owner() + " owns");
        sentKeys.add(key);
        if (fleet.rng.nextInt(15) > 0) {
            fleet.after(1 + fleet.rng.nextInt(150), () -> runAtSearcher(process, requests, key));
        }
        fleet.after(900, () -> process.run(() -> send(process, requests, record, attempt + 1)));
    }

    // ---- searchers ----

    private void runAtSearcher(SimulatedProcess process, InFlightRequests requests, String key) {
        fleet.digest.add(fleet.now + " " + process.boot + " sends " + key);
        Long since = deduplicatedSince.get(key);
        boolean isRepeat = since != null && fleet.now - since < WINDOW.windowMs();
        if (!isRepeat) {
            deduplicatedSince.put(key, fleet.now);
            runsAtSearchers.merge(key, 1, Integer::sum);
            fleet.check(
                    runsAtSearchers.get(key) == 1,
                    key + " ran " + runsAtSearchers.get(key) + " times, expected once");
        }
        if (fleet.rng.nextInt(8) > 0) {
            fleet.after(
                    50 + fleet.rng.nextInt(500),
                    () ->
                            process.run(
                                    () ->
                                            requests.runEnded(
                                                    wallClock(process),
                                                    key,
                                                    RunOutcome.DONE,
                                                    "served " + key)));
        }
    }

    // ---- the store ----

    @Override
    public void onCommitted() {
        Map<String, RequestRecord> current = new TreeMap<>();
        fleet.state
                .valuesUnder(RequestRecord.ROOT)
                .forEach(
                        (storeKey, value) -> {
                            RequestRecord record = read(storeKey, value);
                            current.put(record.key(), record);
                        });
        for (String key : records.keySet()) {
            fleet.check(
                    current.containsKey(key) || !sentKeys.contains(key),
                    "the record of " + key + " was lost");
        }
        records = current;
    }

    /**
     * Returns the record that is already known at this version, or decodes and checks the new one.
     */
    private RequestRecord read(String storeKey, KeyValueState.Value value) {
        RequestRecord known = records.get(RequestRecord.requestKey(storeKey));
        if (known != null && known.version() == value.version()) {
            return known;
        }
        RequestRecord record = RequestRecord.parse(storeKey, value.text(), value.version());
        if (known != null) {
            checkChange(known, record);
        }
        return record;
    }

    private void checkChange(RequestRecord before, RequestRecord after) {
        boolean isFinal =
                before.state() == RequestRecord.State.DONE
                        || before.state() == RequestRecord.State.UNKNOWN;
        fleet.check(
                !isFinal
                        || before.toAttributes().toString().equals(after.toAttributes().toString()),
                "the final record of " + after.key() + " changed from " + before + " to " + after);
        fleet.check(
                before.firstSentAtMs() == after.firstSentAtMs(),
                after.key()
                        + " was first sent at "
                        + before.firstSentAtMs()
                        + ", but its record now has "
                        + after.firstSentAtMs());
    }
}
