package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.ShardRequest;

class QueryStateTest {
    private final QueryTable queries = new QueryTable();

    private QueryState query(double completeShare, double minimumShare) {
        return queries.add(
                new Query(1, 0, 0, 0, 9000, false),
                DecisionFixture.queryClass(RepeatSafety.IDEMPOTENT, completeShare, minimumShare),
                List.of(new ShardRequest(100, 0, 0.5, 0), new ShardRequest(101, 1, 0.5, 0)));
    }

    @Test
    void aQueryIsCompleteOnceEveryShardRequestIsAnswered() {
        QueryState query = query(1, 1);
        query.recordAnswer(query.phaseRequests.get(0), 50);
        assertFalse(query.isComplete());
        query.recordAnswer(query.phaseRequests.get(1), 50);
        assertTrue(query.isComplete());
    }

    @Test
    void aQueryWhoseClassNeedsAShareIsCompleteAtThatShare() {
        QueryState query = query(0.5, 0.5);
        query.recordAnswer(query.phaseRequests.get(1), 50);
        assertTrue(query.isComplete());
    }

    @Test
    void aPartialAnswerNeedsTheMinimumShare() {
        QueryState query = query(1, 0.5);
        assertTrue(query.mayBePartial());
        assertFalse(query.minimumAnswered());
        query.recordAnswer(query.phaseRequests.get(0), 50);
        assertTrue(query.minimumAnswered());
    }

    @Test
    void theTailBeginsOnceMostShardRequestsAreAnswered() {
        QueryState query = query(1, 1);
        query.recordAnswer(query.phaseRequests.get(0), 50);
        assertEquals(Double.POSITIVE_INFINITY, query.majorityAnsweredAfterMs);
        query.recordAnswer(query.phaseRequests.get(1), 70);
        assertEquals(70, query.majorityAnsweredAfterMs);
    }

    @Test
    void theFetchPhaseStartsWithoutShardRequests() {
        QueryState query = query(1, 1);
        query.beginFetchPhase(true);
        assertTrue(query.awaitsFetchPhase());
        queries.addToPhase(query, List.of(new ShardRequest(102, 0, 1, 0)));
        assertFalse(query.awaitsFetchPhase());
        assertFalse(query.isComplete());
        assertEquals(3, query.shardRequests.size());
    }

    @Test
    void theTableCountsAQueryAndItsShardRequestsUntilItIsRemoved() {
        QueryState query = query(1, 1);
        assertEquals(3, queries.unitsInFlight());
        queries.remove(query);
        assertEquals(0, queries.unitsInFlight());
        assertEquals(3, queries.largestQueryUnits());
    }
}
