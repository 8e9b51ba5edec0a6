package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Server;
import reeldeal.decision.DecisionModule.ShardRequest;

class OutlierDetectorTest {
    private static final int SERVERS = 5;
    private static final double TYPICAL_MS = 100;

    private final DecisionFixture actions = new DecisionFixture();
    private final Layout layout = new Layout(SERVERS, 1, 8, 50);
    private final EventClock clock = new EventClock(1000, 5);
    private final ServerRegistry registry = new ServerRegistry(clock, layout, 10_000);
    private final LatencyEstimator latency = new LatencyEstimator(1000, layout);
    private final OutlierDetector detector =
            new OutlierDetector(
                    clock, 1000, registry, latency, new RateLimitedLog(clock, actions, 0));

    OutlierDetectorTest() {
        List<Server> servers = new ArrayList<>();
        for (int id = 0; id < SERVERS; id++) {
            servers.add(DecisionFixture.server(id, id, 0, EndpointState.READY));
        }
        registry.update(EndpointListKind.COMPLETE, servers);
        latency.record(0, TYPICAL_MS);
    }

    private Attempt startAttempt(long server) {
        QueryState query =
                new QueryState(
                        new Query(1, 0, 0, 0, 9000, false),
                        DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 1),
                        1);
        ShardRequestState shardRequest =
                new ShardRequestState(new ShardRequest(100, 0, 1, 0), query);
        return registry.find(server).startAttempt(shardRequest, clock.now(), 8);
    }

    private void complete(Attempt attempt, Outcome outcome, double elapsedMs) {
        attempt.server.endAttempt(attempt, outcome.neverRan());
        detector.recordOutcome(attempt, outcome, elapsedMs, TYPICAL_MS);
    }

    private ServerHealth health(long server) {
        return registry.find(server).health;
    }

    @Test
    void aServerWithTypicalAnswersIsNoOutlier() {
        complete(startAttempt(0), Outcome.OK, TYPICAL_MS);
        detector.refresh();
        assertEquals(1, health(0).outlierFactor);
        assertEquals(1, detector.referenceLatency());
    }

    @Test
    void aServerWithRepeatedErrorsIsAnOutlier() {
        for (int i = 0; i < 10; i++) {
            complete(startAttempt(0), Outcome.ERROR, 1);
        }
        detector.refresh();
        assertTrue(health(0).outlierFactor > 3, "outlier factor " + health(0).outlierFactor);
    }

    @Test
    void aSlowdownOfAllServersRaisesTheReferenceAndCausesNoOutlier() {
        for (int server = 0; server < SERVERS; server++) {
            for (int i = 0; i < 10; i++) {
                complete(startAttempt(server), Outcome.OK, 8 * TYPICAL_MS);
            }
        }
        detector.refresh();
        assertTrue(
                detector.referenceLatency() > 3,
                "reference latency " + detector.referenceLatency());
        assertEquals(1, health(0).outlierFactor);
    }

    @Test
    void aSilentServerWithWorkInFlightIsAnOutlier() {
        startAttempt(0);
        clock.advance(2000, false);
        detector.refresh();
        assertTrue(health(0).silent);
        assertEquals(1000 / TYPICAL_MS / 1.5, health(0).outlierFactor, 1e-9);
    }

    @Test
    void aTimeoutWithoutAnyAnswerEjectsAServer() {
        Attempt attempt = startAttempt(0);
        clock.advance(1400, false);
        complete(attempt, Outcome.TIMEOUT, 400);
        assertTrue(health(0).ejected());
        assertEquals(1400 + 2000, health(0).nextProbeAtMs);
    }

    @Test
    void aFailedProbeDoublesTheDelayBeforeTheNextProbe() {
        Attempt attempt = startAttempt(0);
        clock.advance(1400, false);
        complete(attempt, Outcome.TIMEOUT, 400);
        clock.advance(3400, false);
        complete(startAttempt(0), Outcome.ERROR, 10);
        assertEquals(3400 + 4000, health(0).nextProbeAtMs);
    }

    @Test
    void threeSuccessesInARowReadmitAServer() {
        Attempt attempt = startAttempt(0);
        clock.advance(1400, false);
        complete(attempt, Outcome.TIMEOUT, 400);
        complete(startAttempt(0), Outcome.OK, TYPICAL_MS);
        complete(startAttempt(0), Outcome.OK, TYPICAL_MS);
        assertFalse(health(0).trusted);
        complete(startAttempt(0), Outcome.OK, TYPICAL_MS);
        assertTrue(health(0).trusted);
        assertEquals(List.of("server 0 readmitted"), actions.logLines);
    }

    @Test
    void aRejectionCausesABackoffAndAnErrorDoesNot() {
        complete(startAttempt(0), Outcome.REJECTED, 1);
        assertEquals(1000 + 0.5 * TYPICAL_MS, health(0).backoffUntilMs);
        complete(startAttempt(1), Outcome.ERROR, 1);
        assertEquals(0, health(1).backoffUntilMs);
    }

    @Test
    void afterABrokerStallAnswersAndTimeoutsAreNoEvidence() {
        clock.advance(9000, true);
        assertFalse(detector.isEvidence(Outcome.OK));
        assertFalse(detector.isEvidence(Outcome.TIMEOUT));
        assertTrue(detector.isEvidence(Outcome.CONNECT_FAILED));
    }
}
