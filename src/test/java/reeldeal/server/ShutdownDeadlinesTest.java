package reeldeal.server;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Tests how the steps of a graceful shutdown follow from the longest deadline. */
public class ShutdownDeadlinesTest {
    @Test
    public void theStepsFollowFromTheLongestDeadline() {
        assertEquals(
                new ShutdownDeadlines(500, 1_400, 600, 1_900, 2_100), ShutdownDeadlines.of(1_500));
    }

    @Test
    public void withAShortDeadlineConnectionsAreServedAsLongAsTheyAreAccepted() {
        assertEquals(new ShutdownDeadlines(500, 500, 600, 800, 1_000), ShutdownDeadlines.of(400));
    }

    @Test
    public void aLongDeadlineCountsAsThreeSecondsUntilTheKill() {
        assertEquals(
                new ShutdownDeadlines(500, 2_900, 600, 3_400, 9_600), ShutdownDeadlines.of(9_000));
    }
}
