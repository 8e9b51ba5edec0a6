package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.RepeatSafety;

class SendRulesTest {
    private static final AttemptEnd UNSENT =
            new AttemptEnd.Broken(AttemptEnd.Reach.UNSENT, "connection not established");

    private final SendRules rules = rules(RepeatSafety.IDEMPOTENT);
    private final PendingShardRequest shardRequest =
            new PendingShardRequest(
                    1, new PendingRequest(ReducerFixture.request(1, "q", 2000, 1)), 0);

    private static SendRules rules(RepeatSafety repeatSafety) {
        return new SendRules(
                ReducerFixture.settings(ReducerFixture.queryClass(repeatSafety, 600, 0)));
    }

    @Test
    void aFirstAttemptMayBeSent() {
        assertTrue(rules.maySend(shardRequest, shardRequest.startAttempt(0)));
    }

    @Test
    void withoutHedgingOnlyOneAttemptMayBeInFlight() {
        shardRequest.startAttempt(0);
        assertFalse(rules.maySend(shardRequest, shardRequest.startAttempt(10)));
    }

    @Test
    void noAttemptBeyondTheLimitMayBeSent() {
        for (int attempt = 0; attempt < 4; attempt++) {
            assertTrue(rules.maySend(shardRequest, shardRequest.startAttempt(0)));
            shardRequest.endAttempt(attempt, UNSENT);
        }
        assertFalse(rules.maySend(shardRequest, shardRequest.startAttempt(0)));
    }

    @Test
    void anAnsweredOrCompletedShardRequestMayNotBeSent() {
        shardRequest.startAttempt(0);
        shardRequest.endAttempt(0, new AttemptEnd.Served(1, "in"));
        assertFalse(rules.maySend(shardRequest, shardRequest.startAttempt(10)));
        PendingShardRequest completed = new PendingShardRequest(2, shardRequest.parent, 0);
        completed.completed = true;
        assertFalse(rules.maySend(completed, completed.startAttempt(10)));
    }

    @Test
    void withoutAKeyTheSendTimeIsUnlimited() {
        shardRequest.startAttempt(100);
        assertEquals(Double.POSITIVE_INFINITY, rules.sendByMs(shardRequest));
    }

    @Test
    void withAKeyTheWindowBeginsWithTheFirstAttemptThatMayHaveRun() {
        SendRules keyed = rules(RepeatSafety.IDEMPOTENT_WITH_KEY);
        assertEquals(Double.POSITIVE_INFINITY, keyed.sendByMs(shardRequest));
        shardRequest.startAttempt(100);
        shardRequest.endAttempt(0, UNSENT);
        assertEquals(Double.POSITIVE_INFINITY, keyed.sendByMs(shardRequest));
        shardRequest.startAttempt(200);
        assertEquals(200 + 600 - 5, keyed.sendByMs(shardRequest));
    }
}
