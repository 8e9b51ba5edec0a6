package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;

class OutgoingCallsTest {
    private final SearcherDirectory searchers = new SearcherDirectory(List.of("a"), List.of());
    private final OutgoingCalls calls = new OutgoingCalls(2);
    private final long searcherId;

    OutgoingCallsTest() {
        searchers.update(
                EndpointListKind.COMPLETE, List.of(ReducerFixture.searcher("s", "h:1")), 0);
        searcherId = searchers.findId("s");
    }

    private static Effect.Send send(long shardRequestId) {
        Request request = ReducerFixture.request(1, "q", 2000, 1);
        return new Effect.Send(shardRequestId, 0, request, 0, 2000, 2000, null);
    }

    private List<List<Long>> drainedIds() {
        List<Effect> effects = new ArrayList<>();
        calls.drainTo(effects, searchers);
        return effects.stream()
                .map(effect -> ((Effect.Call) effect).sends())
                .map(sends -> sends.stream().map(Effect.Send::shardRequestId).toList())
                .toList();
    }

    @Test
    void sendsAreDrainedInOrderInCallsOfLimitedSize() {
        for (long id = 1; id <= 3; id++) {
            calls.add(searcherId, send(id));
        }
        assertEquals(List.of(List.of(1L, 2L), List.of(3L)), drainedIds());
        assertEquals(List.of(), drainedIds());
    }

    @Test
    void aWithdrawnAttemptIsNotSent() {
        calls.add(searcherId, send(1));
        calls.add(searcherId, send(2));
        assertTrue(calls.withdraw(1, 0));
        assertFalse(calls.withdraw(1, 0));
        assertEquals(List.of(List.of(2L)), drainedIds());
    }

    @Test
    void allSendsToASearcherCanBeWithdrawn() {
        calls.add(searcherId, send(1));
        assertEquals(List.of(send(1)), calls.withdrawAll(searcherId));
        assertEquals(List.of(), calls.withdrawAll(searcherId));
        assertEquals(List.of(), drainedIds());
    }
}
