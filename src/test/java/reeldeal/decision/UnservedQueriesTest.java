package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;

class UnservedQueriesTest {
    private final EventClock clock = new EventClock(1000, 5);
    private final UnservedQueries unservedQueries = new UnservedQueries(clock, 1000);

    private static QueryState query(long key, boolean retry) {
        Query query = new Query(1, 0, 0, key, 9000, retry);
        return new QueryState(query, DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, 1, 1), 1);
    }

    private void addQuerySubmittedNow(long key) {
        QueryState query = query(key, false);
        query.startedAtMs = unservedQueries.startOf(query);
        unservedQueries.add(query);
    }

    @Test
    void aRetryKeepsTheStartOfItsFirstAttempt() {
        addQuerySubmittedNow(7);
        clock.advance(1500, false);
        assertEquals(1000, unservedQueries.startOf(query(7, true)));
    }

    @Test
    void aQueryThatIsNotARetryStartsNow() {
        addQuerySubmittedNow(7);
        clock.advance(1500, false);
        assertEquals(1500, unservedQueries.startOf(query(7, false)));
        assertEquals(1500, unservedQueries.startOf(query(8, true)));
    }

    @Test
    void oldQueriesAreForgotten() {
        addQuerySubmittedNow(7);
        clock.advance(5001, false);
        addQuerySubmittedNow(8);
        assertEquals(5001, unservedQueries.startOf(query(7, true)));
    }
}
