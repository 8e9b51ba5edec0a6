package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;

/** Tests how much work the whole engine sends to servers in slow start. */
class SlowStartBudgetTest {
    @Test
    void aQueryIsRejectedIfOnlyAServerWithoutTokensRemains() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.maxInFlight = Integer.MAX_VALUE; // implies no share of the load
        fixture.hedging = false;
        fixture.start(1);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.changeServers(
                DecisionFixture.server(0, 0, 0, EndpointState.REMOVED),
                DecisionFixture.server(1, 0, fixture.now - 1, EndpointState.READY));
        for (int query = 1; query <= 9; query++) {
            fixture.submit(query, 0);
        }
        assertEquals("rejected", fixture.resultOf(9));
        assertEquals(List.of(), fixture.sendsOf(9));
    }

    @Test
    void removedServersAreForgottenAfterTheSlowStartTime() {
        DecisionFixture fixture = new DecisionFixture().start(1);
        for (int i = 100; i < 150; i++) {
            fixture.changeServers(DecisionFixture.server(i, 0, fixture.now, EndpointState.READY));
            fixture.changeServers(DecisionFixture.server(i, 0, fixture.now, EndpointState.REMOVED));
            fixture.advance(1000);
        }
        assertTrue(
                fixture.engine.registry().servers().size() <= 4 + 11,
                fixture.engine.registry().servers().size() + " servers in the registry");
    }

    /**
     * A broker that has just started has observed no completed work, so it cannot estimate a
     * server's capacity from that, and all servers of a cell may be in slow start.
     */
    @Test
    void aBrokerThatHasJustStartedSendsItsConfiguredShare() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.brokers = 10;
        fixture.maxInFlight = 200;
        fixture.rules = new DecisionModule.Rules(250, 0.25, 10000, 2, 2000, 0, 0, 0, 10000);
        fixture.start(1);
        fixture.changeServers(DecisionFixture.server(0, 0, fixture.now, EndpointState.READY));
        int sent = 0;
        for (int i = 1; i <= 20; i++) {
            fixture.submit(i, 0);
            fixture.advance(100);
            for (DecisionFixture.Sent send : fixture.sendsOf(i)) {
                fixture.complete(send.shardRequest(), send.attemptNumber(), Outcome.OK, 50);
                sent++;
            }
        }
        assertTrue(sent >= 4, sent + " of 20");
        // 200 in flight over 4 s and 4 servers are 25 units per second at full capacity; a shard
        // request with its own call counts as two.
        assertTrue(sent <= 1 + 2 * 0.25 * 1.75 * 25 / 2 * 2, sent + " of 20");
    }

    @Test
    void aServerInSlowStartGetsNoMoreThanItsBudget() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.brokers = 3;
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        fixture.changeServers(DecisionFixture.server(0, 0, fixture.now, EndpointState.READY));
        int sentBefore = fixture.sent.size();
        for (int i = 0; i < 60; i++) { // 3 s of queries for cell 0 only
            fixture.submit(1000 + i, 0);
            fixture.now += 50;
        }
        long sent =
                fixture.sent.subList(sentBefore, fixture.sent.size()).stream()
                        .filter(send -> send.server() == 0)
                        .count();
        assertTrue(sent <= 4, "sent " + sent);
    }

    @Test
    void theOnlyReplicaInSlowStartGetsNoMoreThanItsBudget() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.maxInFlight = Integer.MAX_VALUE; // implies no share of the load
        fixture.start(1);
        fixture.changeServers(DecisionFixture.server(0, 0, fixture.now, EndpointState.READY));
        for (int i = 0; i < 20; i++) {
            fixture.submit(i, 0);
            fixture.now += 20;
        }
        assertTrue(fixture.sent.size() <= 2, "sent " + fixture.sent.size());
    }

    @Test
    void manyBrokersTogetherKeepTheBudgetThoughEachShareIsLessThanOneRequest() {
        int totalSent = 0;
        for (int broker = 0; broker < 60; broker++) {
            DecisionFixture fixture = new DecisionFixture();
            fixture.seed = 1000L + broker;
            fixture.brokers = 60;
            fixture.maxInFlight = Integer.MAX_VALUE; // implies no share of the load
            fixture.start(3);
            fixture.establishTypicalLatency(4, 0, 1, 2, 3);
            fixture.advance(2000);
            fixture.changeServers(DecisionFixture.server(0, 0, fixture.now, EndpointState.READY));
            int sentBefore = fixture.sent.size();
            // For 2 s the cell in slow start gets far more queries than before.
            for (int i = 0; i < 20; i++) {
                fixture.submit(1000 + i, 0);
                fixture.advance(100);
            }
            totalSent +=
                    (int)
                            fixture.sent.subList(sentBefore, fixture.sent.size()).stream()
                                    .filter(send -> send.server() == 0)
                                    .count();
        }
        // One shard request per broker and window would be 60 or more.
        assertTrue(totalSent < 40, "60 brokers sent " + totalSent);
    }
}
