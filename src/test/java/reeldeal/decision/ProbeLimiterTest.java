package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ProbeLimiterTest {
    private final EventClock clock = new EventClock(1000, 5);
    private final ProbeLimiter limiter = new ProbeLimiter(clock);
    private final ServerState ejected = new ServerState(1, false);

    ProbeLimiterTest() {
        ejected.health.ejections = 1;
        ejected.health.nextProbeAtMs = 2000;
    }

    @Test
    void anEjectedServerIsProbedOnceItsDelayIsOver() {
        assertFalse(limiter.mayProbe(ejected));
        clock.advance(2000, false);
        assertTrue(limiter.mayProbe(ejected));
    }

    @Test
    void aServerWithACallInFlightIsNotProbed() {
        clock.advance(2000, false);
        ejected.callsInFlight = 1;
        assertFalse(limiter.mayProbe(ejected));
    }

    @Test
    void theNextProbeWaitsForFourQueryIntervals() {
        clock.advance(2000, false);
        limiter.recordQuery(); // the mean interval becomes 0.3 x 1,000 ms
        limiter.recordSend(ejected);
        clock.advance(3199, false);
        assertFalse(limiter.mayProbe(ejected));
        clock.advance(3200, false);
        assertTrue(limiter.mayProbe(ejected));
    }

    @Test
    void aServerThatHasSucceededSinceItsEjectionIsProbedWithoutDelay() {
        ejected.health.consecutiveSuccesses = 1;
        assertTrue(limiter.mayProbe(ejected));
    }
}
