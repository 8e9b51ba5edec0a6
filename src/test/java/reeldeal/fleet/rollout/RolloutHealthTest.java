package reeldeal.fleet.rollout;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.Set;
import org.junit.Test;

/** Tests when the members that a release has changed count as worse than the others. */
public class RolloutHealthTest {
    private static final Set<String> CHANGED = Set.of("a");
    private static final Set<String> OTHERS = Set.of("b");

    /**
     * Returns the first regression that is found if a fifth of the changed member's answers are
     * late from {@code lateFrom} to {@code lateTo}, in seconds.
     */
    private static String firstRegression(int seconds, int lateFrom, int lateTo, int perSecond) {
        RolloutHealth health = new RolloutHealth();
        String regression = null;
        long lateCount = 0;
        for (int second = 0; second <= seconds; second++) {
            lateCount += second >= lateFrom && second < lateTo ? perSecond / 5 : 0;
            health.record(
                    "a",
                    "a1",
                    second * 1_000L,
                    new RolloutHealth.Counts((long) second * perSecond, lateCount, 0, 0, 0));
            health.record(
                    "b",
                    "b1",
                    second * 1_000L,
                    new RolloutHealth.Counts((long) second * perSecond, second / 10, 0, 0, 0));
            if (regression == null) {
                regression = health.regression(CHANGED, OTHERS, second * 1_000L);
            }
        }
        return regression;
    }

    @Test
    public void aShareThatIsHigherForSecondsIsARegression() {
        String regression = firstRegression(10, 0, 10, 50);
        assertTrue(
                regression,
                regression.matches(
                        "not in time: 2[0-9]\\.[0-9]% of [0-9]+ in changed members, [01]\\.[0-9]% of [0-9]+ in the rest"));
    }

    @Test
    public void oneBadSecondIsNoRegression() {
        assertNull(firstRegression(25, 12, 13, 50));
    }

    @Test
    public void tooFewEventsAreNoRegression() {
        assertNull(firstRegression(10, 0, 10, 5));
        assertNotNull("200 events are reached at a later second", firstRegression(60, 0, 60, 10));
    }

    @Test
    public void theCountsOfARestartedMemberBeginAtZero() {
        RolloutHealth health = new RolloutHealth();
        for (int second = 0; second < 30; second++) {
            health.record(
                    "a",
                    "a1",
                    second * 1_000L,
                    new RolloutHealth.Counts(second * 50L, second * 50L, 0, 0, 0));
            health.record(
                    "b", "b1", second * 1_000L, new RolloutHealth.Counts(second * 50L, 0, 0, 0, 0));
        }
        for (int second = 30; second < 60; second++) {
            health.record(
                    "a",
                    "a2",
                    second * 1_000L,
                    new RolloutHealth.Counts((second - 30) * 50L, 0, 0, 0, 0));
            health.record(
                    "b", "b1", second * 1_000L, new RolloutHealth.Counts(second * 50L, 0, 0, 0, 0));
            assertNull(health.regression(CHANGED, OTHERS, second * 1_000L));
        }
    }
}
