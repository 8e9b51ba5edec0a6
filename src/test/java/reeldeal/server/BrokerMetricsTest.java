package reeldeal.server;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import reeldeal.core.AttemptEnd;
import reeldeal.core.Reply;
import reeldeal.fleet.rollout.RolloutHealth;

/** Tests which replies and attempt ends a broker counts, and as what. */
public class BrokerMetricsTest {
    private final BrokerMetrics metrics = new BrokerMetrics();
    private final List<Reply> replies = new ArrayList<>();

    private void reply(Reply reply, double at) {
        metrics.countingReply(100, replies::add, () -> at).accept(reply);
    }

    @Test
    public void repliesArePassedOnAndCountedUnlessTheRequestIsInvalid() {
        reply(new Reply.Failed("x"), 1);
        reply(new Reply.Rejected(0), 1);
        reply(new Reply.Invalid("x"), 1);
        assertEquals(3, replies.size());
        assertEquals(new RolloutHealth.Counts(2, 1, 1, 0, 0), metrics.counts());
    }

    @Test
    public void attemptsThatTheBrokerCancelledAreNoFailures() {
        metrics.attemptsSent(3);
        metrics.attemptEnded(new AttemptEnd.Served(1, "x"));
        metrics.attemptEnded(new AttemptEnd.Abandoned(AttemptEnd.Reach.SENT, false));
        metrics.attemptEnded(new AttemptEnd.Abandoned(AttemptEnd.Reach.SENT, true));
        assertEquals(new RolloutHealth.Counts(0, 0, 0, 3, 1), metrics.counts());
    }
}
