package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Rules;

class RetryBudgetTest {
    private static final Layout LAYOUT = new Layout(4, 1, 8, 50);

    private final DecisionFixture actions = new DecisionFixture();
    private final EventClock clock = new EventClock(1000, 5);

    private RetryBudget budget(double freeRetries, double ratio, double windowMs) {
        Rules rules = new Rules(250, 0.25, 10000, 2, 2000, freeRetries, ratio, windowMs, 10000);
        RateLimitedLog log = new RateLimitedLog(clock, actions, 250);
        return new RetryBudget(clock, rules, LAYOUT, 1000, log);
    }

    @Test
    void allowsFreeRetriesAndARatioOfTheWork() {
        RetryBudget budget = budget(2, 0.25, 5000);
        budget.recordWork(12);
        assertEquals(5, budget.remaining(1));
        budget.recordRetry();
        assertEquals(4, budget.remaining(1));
    }

    @Test
    void aShareOfTheBudgetIsRoundedDown() {
        RetryBudget budget = budget(5, 0, 5000);
        assertEquals(3, budget.remaining(RetryBudget.HEDGING_SHARE));
    }

    @Test
    void workAndRetriesExpireWithTheWindow() {
        RetryBudget budget = budget(2, 0.25, 5000);
        budget.recordWork(12);
        budget.recordRetry();
        clock.advance(6000, false);
        // Work expires at the end of the window, a retry just after it.
        assertEquals(1, budget.remaining(1));
        clock.advance(6001, false);
        assertEquals(2, budget.remaining(1));
    }

    @Test
    void withoutAConfiguredWindowAsManyRetriesAsShardRequestsInACallAreFree() {
        assertEquals(8, budget(1, 0, 0).remaining(1));
    }

    @Test
    void exhaustionAndRestorationAreLoggedOnce() {
        RetryBudget budget = budget(1, 0, 5000);
        clock.advance(2000, false);
        budget.logChange(0);
        budget.logChange(-1);
        clock.advance(3000, false);
        budget.logChange(1);
        assertEquals(List.of("retry budget exhausted", "retry budget restored"), actions.logLines);
    }
}
