package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Outcome;

/** Tests how outliers are detected, ejected and probed. */
class OutlierHandlingTest {
    @Test
    void aSilentServerIsAvoidedAndItsRequestHedged() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        long silent = fixture.sendsOf(1).get(0).server();
        fixture.advance(700);
        assertEquals(2, fixture.sendsOf(1).size());
        assertTrue(fixture.sendsOf(1).get(1).server() != silent);
        fixture.submit(2, 0);
        assertTrue(fixture.sendsOf(2).get(0).server() != silent);
    }

    @Test
    void fastErrorsDoNotAttractRequests() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        long bad = -1;
        for (int i = 1; i < 40; i++) {
            fixture.submit(i, 0);
            DecisionFixture.Sent first = fixture.sendsOf(i).get(0);
            bad = bad < 0 ? first.server() : bad;
            fixture.now += 10;
            fixture.complete(
                    first.shardRequest(),
                    0,
                    first.server() == bad ? Outcome.ERROR : Outcome.OK,
                    10);
            for (DecisionFixture.Sent retry : fixture.sendsOf(i)) {
                fixture.complete(retry.shardRequest(), retry.attemptNumber(), Outcome.OK, 10);
            }
            fixture.now += 40;
        }
        long failing = bad;
        long sentToFailing =
                fixture.sent.stream()
                        .filter(send -> send.shardRequest() < 4000 && send.server() == failing)
                        .count();
        assertTrue(sentToFailing <= 6, "sent to the failing server: " + sentToFailing);
    }

    @Test
    void noServerIsEjectedWhileAllAreSilent() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.logLines.clear();
        for (int i = 1; i <= 6; i++) {
            fixture.submit(i, 0, 1, 2, 3);
            fixture.advance(60);
        }
        assertTrue(fixture.sendsOf(6).size() >= 4);
        assertTrue(
                fixture.logLines.stream().noneMatch(line -> line.contains("ejected")),
                fixture.logLines.toString());
    }

    @Test
    void replicasOfAnOverloadedShardAreNotEjected() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.logLines.clear();
        // Every replica of shard 0 takes ten times as long as the replicas of the other shards.
        for (int i = 1; i <= 60; i++) {
            fixture.submit(i, 0);
            fixture.advance(45);
            for (DecisionFixture.Sent send : List.copyOf(fixture.sent)) {
                if (send.shardRequest() < 7000
                        && fixture.now - send.sentAtMs() >= 900
                        && fixture.now - send.sentAtMs() < 945) {
                    fixture.complete(
                            send.shardRequest(),
                            send.attemptNumber(),
                            Outcome.OK,
                            fixture.now - send.sentAtMs());
                }
            }
        }
        assertTrue(
                fixture.logLines.stream().noneMatch(line -> line.contains("ejected")),
                fixture.logLines.toString());
    }

    @Test
    void anOutlierIsProbedRarelyByABrokerWithFewQueries() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        long bad = fixture.sendsOf(1).get(0).server();
        fixture.advance(10);
        // One query for shard 0 every 200 ms; one server fails every shard request.
        for (int i = 1; i < 60; i++) {
            for (DecisionFixture.Sent send : fixture.sendsOf(i)) {
                fixture.complete(
                        send.shardRequest(),
                        send.attemptNumber(),
                        send.server() == bad ? Outcome.ERROR : Outcome.OK,
                        10);
            }
            for (DecisionFixture.Sent retry : fixture.sendsOf(i)) {
                fixture.complete(retry.shardRequest(), retry.attemptNumber(), Outcome.OK, 10);
            }
            fixture.advance(190);
            fixture.submit(i + 1, 0);
            fixture.advance(10);
        }
        long probes =
                fixture.sent.stream()
                        .filter(send -> send.shardRequest() < 6100 && send.server() == bad)
                        .count();
        assertTrue(probes >= 1 && probes <= 6, probes + " probes in 60 queries");
    }

    @Test
    void aBrokerNeitherHedgesNorEjectsAfterItsOwnStall() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.logLines.clear();
        fixture.submit(1, 0, 1, 2, 3);
        fixture.advance(40);
        // No tick in this time; then all events of that time are handled, timers first.
        fixture.now += 800;
        fixture.advance(0);
        assertEquals(4, fixture.sendsOf(1).size());
        for (DecisionFixture.Sent send : fixture.sendsOf(1)) {
            fixture.complete(send.shardRequest(), 0, Outcome.OK, 840);
        }
        assertEquals("complete", fixture.resultOf(1));
        assertTrue(fixture.logLines.isEmpty(), fixture.logLines.toString());
    }

    @Test
    void aSilentServerIsAvoidedEvenIfMostReplicasAreSilent() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.cells = 2;
        fixture.maxShardsPerCall = 1;
        fixture.cancel = false;
        fixture.hedging = false;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1);
        for (int query = 1; query <= 3; query++) {
            fixture.submit(query, 0); // one for each of the three replicas of this shard
        }
        long healthy = fixture.sendsOf(1).get(0).server();
        fixture.advance(100);
        fixture.complete(100, 0, Outcome.OK, 100);
        fixture.advance(600);
        for (int query = 4; query <= 6; query++) {
            fixture.submit(query, 0);
            assertEquals(healthy, fixture.sendsOf(query).get(0).server(), "query " + query);
        }
    }

    @Test
    void aSlowServerIsNotEjectedAndAFailingOneIs() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.hedging = false;
        fixture.submit(1, 0);
        long bad = fixture.sendsOf(1).get(0).server();
        fixture.advance(500);
        fixture.complete(100, 0, Outcome.OK, 500);
        fixture.advance(1500);
        for (int query = 2; query <= 6; query++) {
            fixture.submit(query, 0);
            fixture.advance(450);
            for (DecisionFixture.Sent send : fixture.sendsOf(query)) {
                fixture.complete(
                        send.shardRequest(),
                        send.attemptNumber(),
                        Outcome.OK,
                        send.server() == bad ? 450 : 100);
            }
        }
        assertEquals(
                List.of(),
                fixture.logLines.stream().filter(line -> line.contains("ejected")).toList());
        for (int query = 7; query <= 30; query++) {
            fixture.submit(query, 0);
            for (DecisionFixture.Sent send : fixture.sendsOf(query)) {
                fixture.complete(
                        send.shardRequest(),
                        send.attemptNumber(),
                        send.server() == bad ? Outcome.RESET : Outcome.OK,
                        100);
            }
            fixture.advance(400);
        }
        assertEquals(
                List.of("server " + bad + " ejected"),
                fixture.logLines.stream().filter(line -> line.contains("ejected")).toList());
    }

    /**
     * With many brokers, each of them sends to a server only once in several seconds. If a second
     * silent attempt were needed, the evidence of the first would have faded by then.
     */
    @Test
    void oneSilentAttemptIsEnoughToAvoidAServer() {
        DecisionFixture fixture = DecisionFixture.warmedUp();
        fixture.submit(1, 0);
        DecisionFixture.Sent silent = fixture.sendsOf(1).get(0);
        fixture.advance(400);
        fixture.complete(silent.shardRequest(), 0, Outcome.TIMEOUT, 400);
        fixture.advance(50);
        fixture.sendsOf(1).stream()
                .filter(send -> send.attemptNumber() > 0)
                .forEach(
                        send ->
                                fixture.complete(
                                        send.shardRequest(), send.attemptNumber(), Outcome.OK, 50));
        fixture.advance(1000);
        for (int i = 2; i < 6; i++) {
            fixture.submit(i, 0);
            assertTrue(fixture.sendsOf(i).get(0).server() != silent.server(), "query " + i);
            fixture.advance(100);
            fixture.complete(fixture.sendsOf(i).get(0).shardRequest(), 0, Outcome.OK, 100);
        }
    }
}
