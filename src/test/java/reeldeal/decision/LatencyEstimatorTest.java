package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Layout;

class LatencyEstimatorTest {
    private final LatencyEstimator latency = new LatencyEstimator(1000, new Layout(4, 1, 3, 50));

    @Test
    void withoutSamplesTheLatencyIsAShareOfTheObjective() {
        assertFalse(latency.hasSamples());
        assertEquals(200, latency.typicalMs(2));
    }

    @Test
    void aPositionWithoutSamplesHasTheLatencyOfTheNearestEarlierPosition() {
        latency.record(0, 100);
        assertTrue(latency.hasSamples());
        assertEquals(100, latency.typicalMs(2));
    }

    @Test
    void firstSamplesAreAveraged() {
        latency.record(1, 100);
        latency.record(1, 200);
        assertEquals(150, latency.typicalMs(1));
    }

    @Test
    void anAnswerFasterThanACallsWorkCountsWithItsOwnTime() {
        latency.record(0, 1);
        assertEquals(1, latency.typicalMs(0));
        latency.record(0, 3);
        assertEquals(2, latency.typicalMs(0));
    }

    @Test
    void aLateAnswerCountsAsAtMostFourTimesTheTypicalLatency() {
        latency.record(0, 100);
        latency.record(0, 100_000);
        assertEquals(250, latency.typicalMs(0));
    }
}
