package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.RepeatSafety;

/** Tests each rule of the greedy set cover with a small example. */
class ReplicaSelectorTest {
    private static Set<Long> serversSent(DecisionFixture fixture, long query) {
        return fixture.sendsOf(query).stream()
                .map(DecisionFixture.Sent::server)
                .collect(Collectors.toSet());
    }

    @Test
    void theServerThatHoldsMostShardsGetsThemAllInOneTick() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.replicas = 2;
        fixture.start(1);
        fixture.submit(1, 0, 1); // shard 0 is in cells 0 and 1, shard 1 in cells 1 and 2
        assertEquals(Set.of(10L), serversSent(fixture, 1));
        assertEquals(2, fixture.sendsOf(1).size());
    }

    @Test
    void aCallIsNoLargerThanTheLimit() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.cells = 2;
        fixture.maxShardsPerCall = 2;
        fixture.start(2);
        fixture.submit(1, 0, 2, 4, 6); // all in cell 0, held by servers 0 and 1
        assertEquals(Set.of(0L, 1L), serversSent(fixture, 1));
    }

    @Test
    void tiesGoToTheServerWithTheFewestCallsInFlight() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(2);
        fixture.submit(1, 0);
        fixture.submit(2, 0);
        assertEquals(
                2,
                Set.of(fixture.sendsOf(1).get(0).server(), fixture.sendsOf(2).get(0).server())
                        .size());
    }

    @Test
    void aServerMoreThanOneCallAboveTheLeastLoadedReplicaIsAvoided() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.replicas = 2;
        fixture.start(1);
        // Two calls are in flight at server 10, the only server that holds both shards.
        for (int i = 0; i < 2; i++) {
            fixture.submit(10 + i, 0, 1);
            fixture.now += 10;
        }
        fixture.submit(1, 0, 1);
        assertEquals(Set.of(0L, 20L), serversSent(fixture, 1));
    }

    @Test
    void aQueryThatNeedsAShareOfItsShardsIsSentToNoMore() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 0.5, 0.5));
        fixture.start(1);
        fixture.submit(1, 0, 1, 2, 3);
        assertEquals(2, fixture.sendsOf(1).size());
        fixture.now += 50;
        fixture.sendsOf(1)
                .forEach(send -> fixture.complete(send.shardRequest(), 0, Outcome.OK, 50));
        assertEquals("complete", fixture.resultOf(1));
    }

    @Test
    void aQueryThatAllowsPartialAnswersIsSentInFull() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.classes.set(0, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 0.5));
        fixture.start(1);
        fixture.submit(1, 0, 1, 2, 3);
        assertEquals(4, fixture.sendsOf(1).size());
    }

    @Test
    void theSameKeyGoesToTheSameIdleReplica() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(3);
        fixture.submit(1, 0);
        fixture.now += 50;
        fixture.complete(100, 0, Outcome.OK, 50);
        fixture.now += 50;
        fixture.submit(2, 0);
        assertEquals(fixture.sendsOf(1).get(0).server(), fixture.sendsOf(2).get(0).server());
    }

    @Test
    void aQueryWithoutReplicasOrShardRequestsEndsInTime() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(1);
        fixture.changeServers(DecisionFixture.server(0, 0, 0, EndpointState.REMOVED));
        fixture.submit(1, 0);
        fixture.submit(2);
        fixture.advance(2000);
        assertTrue(fixture.sendsOf(1).isEmpty());
        assertEquals("rejected", fixture.resultOf(1));
        assertTrue(Set.of("rejected", "failed").contains(fixture.resultOf(2)), fixture.resultOf(2));
        assertTrue(fixture.results.stream().allMatch(result -> result.atMs() < 2000));
    }
}
