package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.ShardRequest;

/** Tests admission of queries to one server whose typical latency is 100 ms. */
class AdmissionControllerTest {
    private static final double NOW_MS = 1000;
    private static final double OBJECTIVE_MS = 1000;

    private final DecisionFixture actions = new DecisionFixture();
    private final Settings settings = actions.settings();
    private final EventClock clock = new EventClock(NOW_MS, 5);
    private final RateLimitedLog log = new RateLimitedLog(clock, actions, 0);
    private final ServerRegistry registry = new ServerRegistry(clock, settings.layout(), 10_000);
    private final QueryTable queries = new QueryTable();
    private final LatencyEstimator latency = new LatencyEstimator(OBJECTIVE_MS, settings.layout());
    private final OutlierDetector outliers =
            new OutlierDetector(clock, OBJECTIVE_MS, registry, latency, log);
    private final SlowStart slowStart =
            new SlowStart(
                    settings,
                    clock,
                    OBJECTIVE_MS,
                    registry,
                    queries,
                    new RecoveryAdmission(settings.classes(), 7, 1000));
    private final WaitEstimator waitEstimator =
            new WaitEstimator(clock, OBJECTIVE_MS, registry, latency, slowStart, queries);
    private final AdmissionController controller =
            new AdmissionController(clock, 40, queries, latency, outliers, waitEstimator, log);

    AdmissionControllerTest() {
        registry.update(
                EndpointListKind.COMPLETE,
                List.of(DecisionFixture.server(1, 0, 0, EndpointState.READY)));
        latency.record(0, 100);
        addQuery(1, OBJECTIVE_MS); // a query is always admitted if it is the only one in flight
    }

    private QueryState addQuery(long id, double objectiveMs) {
        QueryState query =
                queries.add(
                        new Query(id, 0, 0, 0, 9000, false),
                        DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 1),
                        List.of(new ShardRequest(100 * id, 0, 1, 0)));
        query.objectiveAtMs = clock.now() + objectiveMs;
        query.endAtMs = query.objectiveAtMs;
        return query;
    }

    private void fillServer(int attempts) {
        ServerState server = registry.find(1);
        server.health.meanAnswerIntervalMs = 50;
        for (int i = 0; i < attempts; i++) {
            server.startAttempt(
                    addQuery(10 + i, OBJECTIVE_MS).phaseRequests.get(0), clock.now(), 8);
        }
    }

    @Test
    void aQueryWithAShortWaitIsAdmitted() {
        assertTrue(controller.admits(addQuery(2, OBJECTIVE_MS), false));
    }

    @Test
    void aQueryWithLessTimeThanTheTypicalLatencyIsRejected() {
        assertFalse(controller.admits(addQuery(2, 99), false));
    }

    @Test
    void aQueryWithALongWaitIsRejectedAndSheddingIsLogged() {
        fillServer(14); // a wait of 700 ms at 50 ms per answer: more than 0.65 of the objective
        assertFalse(controller.admits(addQuery(2, OBJECTIVE_MS), false));
        assertEquals(List.of("load shedding started"), actions.logLines);
    }

    @Test
    void aQueryBeyondItsTenantsQuotaIsRejectedSooner() {
        fillServer(6); // a wait of 300 ms: more than 0.4 of 0.65 of the objective
        assertTrue(controller.admits(addQuery(2, OBJECTIVE_MS), false));
        assertFalse(controller.admits(addQuery(3, OBJECTIVE_MS), true));
    }

    @Test
    void aNearlyFullBrokerShortensTheMaximumWait() {
        fillServer(6);
        for (int id = 50; id < 62; id++) {
            addQuery(id, OBJECTIVE_MS); // 40 units in flight, the maximum for this broker
        }
        assertFalse(controller.admits(addQuery(2, OBJECTIVE_MS), false));
    }
}
