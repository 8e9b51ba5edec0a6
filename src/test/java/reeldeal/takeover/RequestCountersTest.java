package reeldeal.takeover;

import static org.junit.Assert.assertEquals;

import org.junit.Test;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.takeover.RequestAction;
import reeldeal.fleet.takeover.RequestRecord;

/** Tests the counts in the replies to operators. */
public class RequestCountersTest {
    private final RequestCounters counters = new RequestCounters();

    private String counts() {
        FormAttributes attributes = new FormAttributes();
        counters.addTo(attributes);
        return attributes.toString();
    }

    @Test
    public void countsAreListedUnderTheirLabelsInOrder() {
        assertEquals(
                "recorded=0 taken_over=0 ended_for_others=0 alone=0 refused=0 done=0 failed=0"
                        + " unknown=0 barred=0",
                counts());
    }

    @Test
    public void clientActionsAreCountedByKind() {
        counters.increment(new RequestAction.ProceedUnrecorded(1, "k"));
        counters.increment(new RequestAction.Reject(2));
        counters.increment(new RequestAction.Conflict(3));
        counters.increment(new RequestAction.Reply(4, RequestRecord.State.DONE, ""));
        counters.increment(new RequestAction.Reply(5, RequestRecord.State.FAILED, ""));
        counters.increment(new RequestAction.Reply(6, RequestRecord.State.UNKNOWN, ""));
        assertEquals(
                "recorded=0 taken_over=0 ended_for_others=0 alone=1 refused=2 done=1 failed=1"
                        + " unknown=1 barred=0",
                counts());
    }
}
