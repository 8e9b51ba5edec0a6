package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;
import reeldeal.testing.EventDigest;

/** Runs long random sequences of events and checks the engine's actions against the rules. */
class RandomDayTest {
    private static final List<EndpointState> STATES =
            List.of(EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED);

    /** A query that was submitted. */
    private record SubmittedQuery(int classIndex, double deadlineMs, int shards) {}

    /** Work that counts towards the retry budget: a query and its shard requests. */
    private record SubmittedWork(double atMs, int units) {}

    /** A seeded random sequence of events, with a record of the events for the checks. */
    private static final class RandomEventSequence {
        final DecisionFixture fixture = new DecisionFixture();
        final Random random;
        final Map<Long, Double> notReadySinceMs = new HashMap<>();
        final Map<Long, SubmittedQuery> queries = new HashMap<>();
        final Map<String, Outcome> outcomes = new HashMap<>();
        final Map<String, Double> endedAtMs = new HashMap<>();
        final List<SubmittedWork> submitted = new ArrayList<>();

        RandomEventSequence(long seed) {
            random = new Random(seed);
            fixture.hedging = random.nextBoolean();
            fixture.cancel = random.nextBoolean();
            fixture.replicas = 2;
            fixture.rules = new Rules(250, 0.25, 5000, 2, 2000, 3, 0.1, 5000, 10000);
            fixture.classes.clear();
            fixture.classes.add(DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 0.5));
            fixture.classes.add(DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT_WITH_KEY, 1, 1));
            fixture.classes.add(DecisionFixture.queryClass(RepeatSafety.NOT_IDEMPOTENT, 1, 1));
            fixture.start(2);
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                fixture.advance(random.nextInt(30));
                int choice = random.nextInt(20);
                if (choice < 8) {
                    submitQuery(1 + i);
                } else if (choice < 19) {
                    completeRandomAttempt();
                } else {
                    changeEndpointList();
                }
            }
            fixture.advance(5000);
        }

        private void submitQuery(long id) {
            int[] shards = random.ints(0, 4).distinct().limit(1 + random.nextInt(4)).toArray();
            int classIndex = random.nextInt(3);
            double deadlineMs = fixture.now + 200 + random.nextInt(2800);
            queries.put(id, new SubmittedQuery(classIndex, deadlineMs, shards.length));
            submitted.add(new SubmittedWork(fixture.now, 1 + shards.length));
            fixture.submit(id, classIndex, deadlineMs, shards);
        }

        private void completeRandomAttempt() {
            List<DecisionFixture.Sent> inFlight =
                    fixture.sent.stream()
                            .filter(send -> !outcomes.containsKey(attemptName(send)))
                            .toList();
            if (inFlight.isEmpty()) {
                return;
            }
            DecisionFixture.Sent send = inFlight.get(random.nextInt(inFlight.size()));
            Outcome[] all = Outcome.values();
            Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : all[random.nextInt(all.length)];
            outcomes.put(attemptName(send), outcome);
            endedAtMs.put(attemptName(send), fixture.now);
            fixture.complete(
                    send.shardRequest(),
                    send.attemptNumber(),
                    outcome,
                    fixture.now - send.sentAtMs());
        }

        private void changeEndpointList() {
            long id = 10L * random.nextInt(4) + random.nextInt(2);
            EndpointState state = STATES.get(random.nextInt(STATES.size()));
            if (state == EndpointState.READY) {
                notReadySinceMs.remove(id);
            } else {
                notReadySinceMs.putIfAbsent(id, fixture.now);
            }
            fixture.changeServers(
                    DecisionFixture.server(
                            id, (int) id / 10, random.nextBoolean() ? fixture.now : 0, state));
            recordNotReady();
        }

        private void recordNotReady() {
            notReadyByChange.add(new HashMap<>(notReadySinceMs));
            sendsBeforeChange.add(fixture.sent.size());
        }

        final List<Map<Long, Double>> notReadyByChange = new ArrayList<>();
        final List<Integer> sendsBeforeChange = new ArrayList<>();

        static String attemptName(DecisionFixture.Sent send) {
            return send.shardRequest() + "/" + send.attemptNumber();
        }

        void checkRules() {
            Map<Long, DecisionFixture.Result> results = new HashMap<>();
            for (DecisionFixture.Result result : fixture.results) {
                assertTrue(
                        results.put(result.query(), result) == null,
                        "more than one final answer to query " + result.query());
            }
            queries.forEach(
                    (id, query) ->
                            assertTrue(
                                    results.get(id).atMs() <= query.deadlineMs() + 20,
                                    "no final answer in time to query " + id));
            List<DecisionFixture.Sent> all = fixture.sent;
            for (int i = 0; i < all.size(); i++) {
                checkSend(all.get(i), all, i, results);
            }
            results.values().forEach(this::checkResult);
        }

        private void checkSend(
                DecisionFixture.Sent send,
                List<DecisionFixture.Sent> all,
                int index,
                Map<Long, DecisionFixture.Result> results) {
            assertTrue(
                    send.sentAtMs() <= results.get(send.shardRequest() / 100).atMs(),
                    "a shard request was sent after the final answer");
            for (int i = sendsBeforeChange.size() - 1; i >= 0; i--) {
                if (sendsBeforeChange.get(i) <= index) {
                    assertTrue(
                            !notReadyByChange.get(i).containsKey(send.server()),
                            "a shard request was sent to a server that is not ready");
                    break;
                }
            }
            if (send.attemptNumber() == 0) {
                return;
            }
            int classIndex = queries.get(send.shardRequest() / 100).classIndex();
            long inFlight = 0;
            for (DecisionFixture.Sent earlier : all.subList(0, index)) {
                if (earlier.shardRequest() != send.shardRequest()) {
                    continue;
                }
                boolean ended =
                        endedAtMs.getOrDefault(attemptName(earlier), Double.MAX_VALUE)
                                <= send.sentAtMs();
                inFlight += ended ? 0 : 1;
                boolean provenNotRun = ended && outcomes.get(attemptName(earlier)).neverRan();
                assertTrue(
                        classIndex != 2 || provenNotRun,
                        "a shard request that is not idempotent was sent twice");
                assertTrue(
                        classIndex != 1
                                || provenNotRun
                                || send.sentAtMs() <= earlier.sentAtMs() + 2000,
                        "a shard request was sent again after its deduplication window");
            }
            assertTrue(
                    inFlight == 0 || fixture.hedging,
                    "two attempts in flight though hedging is off");
            double units =
                    submitted.stream()
                            .filter(
                                    work ->
                                            work.atMs() <= send.sentAtMs()
                                                    && work.atMs() > send.sentAtMs() - 5000)
                            .mapToDouble(SubmittedWork::units)
                            .sum();
            long retries =
                    all.subList(0, index + 1).stream()
                            .filter(
                                    earlier ->
                                            earlier.attemptNumber() > 0
                                                    && earlier.sentAtMs() >= send.sentAtMs() - 5000)
                            .count();
            assertTrue(
                    retries <= 3 + 0.1 * units + 1e-6,
                    "retry budget exceeded: " + retries + " retries, units of work: " + units);
        }

        private void checkResult(DecisionFixture.Result result) {
            SubmittedQuery query = queries.get(result.query());
            Set<Long> answered = new HashSet<>();
            boolean mayHaveRun = false;
            for (DecisionFixture.Sent send : fixture.sendsOf(result.query())) {
                boolean ended =
                        endedAtMs.getOrDefault(attemptName(send), Double.MAX_VALUE)
                                <= result.atMs();
                Outcome outcome = ended ? outcomes.get(attemptName(send)) : null;
                mayHaveRun |= outcome == null || !outcome.neverRan();
                if (outcome == Outcome.OK) {
                    answered.add(send.shardRequest());
                }
            }
            if (result.outcome().equals("complete")) {
                assertEquals(query.shards(), answered.size());
            } else if (result.outcome().equals("partial")) {
                assertTrue(
                        query.classIndex() == 0 && answered.size() >= 0.5 * query.shards() - 1e-4,
                        "a partial answer below the minimum share");
            } else if (result.outcome().equals("rejected")) {
                assertTrue(
                        query.classIndex() != 2 || !mayHaveRun,
                        "a query that may have run was rejected");
            }
        }
    }

    @Test
    void theRulesHoldForRandomEvents() {
        for (long seed = 1; seed <= 30; seed++) {
            RandomEventSequence sequence = new RandomEventSequence(seed);
            sequence.run(600);
            sequence.checkRules();
        }
    }

    @Test
    void randomEventsCauseTheRecordedActions() {
        EventDigest all = new EventDigest();
        for (long seed = 1; seed <= 60; seed++) {
            RandomEventSequence sequence = new RandomEventSequence(seed);
            sequence.run(600);
            sequence.fixture.transcript.forEach(all::add);
        }
        assertEquals("419de9ce9cc6c1ad178d9a93", all.hex(), "recorded after 0.5.0");
    }

    @Test
    void theSameEventsCauseTheSameActions() {
        RandomEventSequence first = new RandomEventSequence(5);
        first.run(400);
        RandomEventSequence second = new RandomEventSequence(5);
        second.run(400);
        assertEquals(first.fixture.transcript, second.fixture.transcript);
        assertTrue(first.fixture.transcript.size() > 400);
    }
}
