package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Settings;

class SlowStartTest {
    private static final double STARTED_MS = 1000;

    private final EventClock clock = new EventClock(STARTED_MS, 5);
    private final Settings settings = new DecisionFixture().settings();
    private final ServerRegistry registry =
            new ServerRegistry(clock, settings.layout(), settings.rules().slowStartMs());
    private final SlowStart slowStart =
            new SlowStart(
                    settings,
                    clock,
                    1000,
                    registry,
                    new QueryTable(),
                    new RecoveryAdmission(settings.classes(), 7, 1000));

    SlowStartTest() {
        registry.update(
                EndpointListKind.COMPLETE,
                List.of(
                        DecisionFixture.server(1, 0, STARTED_MS, EndpointState.READY),
                        DecisionFixture.server(2, 0, 0, EndpointState.READY)));
        slowStart.onServersChanged();
    }

    @Test
    void slowStartEndsAfterTheConfiguredTime() {
        assertTrue(slowStart.isWarmingUp(registry.find(1)));
        clock.advance(STARTED_MS + 10_000, false);
        assertFalse(slowStart.isWarmingUp(registry.find(1)));
    }

    @Test
    void aServerThatStartedLongAgoIsNotLimited() {
        assertFalse(slowStart.isWarmingUp(registry.find(2)));
        assertEquals(8, slowStart.allowed(registry.find(2), 8, false));
    }

    @Test
    void aServerThatHasJustStartedGetsNothingBeforeItsFirstTokens() {
        assertEquals(0, slowStart.allowed(registry.find(1), 8, false));
    }

    @Test
    void tokensAccrueUpToTheLimitOfACall() {
        slowStart.allowed(registry.find(1), 8, false);
        clock.advance(STARTED_MS + 1000, false);
        assertEquals(8, slowStart.allowed(registry.find(1), 8, false));
    }

    @Test
    void joiningAnOpenCallSavesTheCallsOwnWork() {
        ServerState server = registry.find(1);
        slowStart.allowed(server, 8, false);
        clock.advance(STARTED_MS + 10, false);
        int inNewCall = slowStart.allowed(server, 8, false);
        assertEquals(inNewCall + 1, slowStart.allowed(server, 8, true));
    }

    @Test
    void theDelayIsTheTimeUntilEnoughTokensHaveAccrued() {
        ServerState server = registry.find(1);
        double delayMs = slowStart.delayMs(server, 1);
        assertTrue(delayMs > 0);
        clock.advance(STARTED_MS + Math.ceil(delayMs), false);
        assertEquals(1, slowStart.allowed(server, 1, false));
    }
}
