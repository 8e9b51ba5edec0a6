package reeldeal.fleet.takeover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;
import static reeldeal.fleet.takeover.TestRecords.open;
import static reeldeal.fleet.takeover.TestRecords.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.takeover.InFlightRequests.RunOutcome;
import reeldeal.fleet.takeover.RequestAction.Drop;
import reeldeal.fleet.takeover.RequestAction.ProceedUnrecorded;
import reeldeal.fleet.takeover.RequestAction.Propose;
import reeldeal.fleet.takeover.RequestAction.Reject;
import reeldeal.fleet.takeover.RequestAction.Reply;
import reeldeal.fleet.takeover.RequestAction.Run;
import reeldeal.fleet.takeover.RequestAction.Stop;

/**
 * Tests one broker's requests if no record can be made, if clients disconnect, and in takeovers.
 */
public class InFlightRequestsTest {
    private final Map<String, RequestRecord> recordCopy = new HashMap<>();
    private final InFlightRequests requests =
            new InFlightRequests(
                    "a",
                    new TakeoverPolicy(),
                    queryClass -> TestRecords.WINDOW,
                    new InFlightRequests.Bounds(2, 3, 250, 300),
                    recordCopy::get);

    private List<?> actionTypes() {
        return requests.drainActions().stream().map(Object::getClass).toList();
    }

    private static String changeOf(RequestAction action, String key) {
        return ((Propose) action).write().changes().get(RequestRecord.storeKey(key));
    }

    private void register(long now, FleetView fleet) {
        requests.onFleetChanged(now, fleet, fleet.members().get("a"));
    }

    private void register() {
        register(1_000, TestRecords.fleet());
    }

    private void putOrphan(String key, long deadlineMs) {
        recordCopy.put(key, open(key, "dead", 1, deadlineMs));
    }

    @Test
    public void withoutALeaseNoRecordIsMade() {
        requests.submit(1_000, request(1, "k1", true));
        requests.submit(1_000, request(2, "k2", false));
        assertEquals(List.of(Reject.class, ProceedUnrecorded.class), actionTypes());
    }

    @Test
    public void noRecordIsMadeWhileTheStoreIsFull() {
        register();
        requests.setStoreFull(true);
        requests.submit(1_000, request(3, "k3", true));
        assertEquals(List.of(Reject.class), actionTypes());
        requests.setStoreFull(false);
        requests.submit(1_000, request(3, "k3", true));
        assertEquals(List.of(Propose.class), actionTypes());
    }

    @Test
    public void requestsBeyondTheInFlightLimitAreNotRecorded() {
        requests.submit(1_000, request(2, "k2", false));
        assertEquals(List.of(ProceedUnrecorded.class), actionTypes());
        register();
        for (int i = 4; i < 8; i++) {
            requests.submit(1_000, request(i, "k" + i, true));
        }
        assertEquals(
                "of three requests allowed in flight, one runs without a record",
                List.of(Propose.class, Propose.class, Reject.class, Reject.class),
                actionTypes());
    }

    @Test
    public void aRequestIsUnfinishedUntilARecordThatCameAfterItsRunIsGone() {
        register();
        requests.submit(1_000, request(2, "may", false));
        assertEquals(List.of(Propose.class), actionTypes());
        requests.tick(1_250); // goes on without the record, whose write is under way
        requests.runEnded(1_300, "may", InFlightRequests.RunOutcome.DONE, "whole=true");
        assertTrue(requests.hasUnfinished());
        recordCopy.put("may", open("may", "a", 1, 9_000));
        requests.recordsChanged(1_400, List.of("may"));
        requests.writeEnded(1_400, "may", true);
        assertTrue(requests.hasUnfinished());
        recordCopy.remove("may");
        requests.recordsChanged(1_500, List.of("may"));
        requests.writeEnded(1_500, "may", true);
        assertFalse(requests.hasUnfinished());
    }

    @Test
    public void aRecordOnItsWayIsUnfinishedThoughItsClientHasLeft() {
        register();
        assertFalse(requests.hasUnfinished());
        requests.submit(1_000, request(2, "k", true));
        assertEquals(List.of(Propose.class), actionTypes());
        requests.clientDisconnected("k", 2);
        assertTrue(requests.hasUnfinished());
        recordCopy.put("k", open("k", "a", 1, 9_000));
        requests.recordsChanged(1_400, List.of("k"));
        requests.writeEnded(1_400, "k", true);
        assertEquals(List.of(Propose.class), actionTypes());
        recordCopy.remove("k");
        requests.recordsChanged(1_500, List.of("k"));
        assertTrue(requests.hasUnfinished());
        requests.writeEnded(1_500, "k", true);
        assertFalse(requests.hasUnfinished());
    }

    @Test
    public void clientsStopWaitingForARecordAfterTheRecordTimeout() {
        register();
        requests.submit(1_000, request(1, "must", true));
        requests.submit(1_000, request(2, "may", false));
        assertEquals(List.of(Propose.class, Propose.class), actionTypes());
        requests.tick(1_200);
        assertEquals(List.of(), actionTypes());
        requests.tick(1_250);
        assertEquals(
                "the writes that have not been sent are dropped",
                List.of(ProceedUnrecorded.class, Drop.class, Reject.class, Drop.class),
                actionTypes());
    }

    @Test
    public void aRecordMadeAfterTheTimeoutIsWithdrawnOrAdopted() {
        register();
        requests.submit(1_000, request(1, "must", true));
        requests.submit(1_000, request(2, "may", false));
        requests.tick(1_250);
        requests.drainActions();
        recordCopy.put("must", open("must", "a", 2, 5_000));
        recordCopy.put("may", open("may", "a", 2, 5_000));
        requests.writeEnded(1_300, "must", true);
        requests.writeEnded(1_300, "may", true);
        requests.recordsChanged(1_300, recordCopy.keySet());
        List<RequestAction> lateActions = requests.drainActions();
        assertEquals(
                "only the record of the rejected request is withdrawn: " + lateActions,
                1,
                lateActions.size());
        assertNull(changeOf(lateActions.get(0), "must"));
        requests.runEnded(1_400, "may", RunOutcome.DONE, "o");
        RequestAction end = requests.drainActions().get(0);
        assertTrue(changeOf(end, "may").contains("state=DONE"));
    }

    @Test
    public void aRequestThatWasStoppedIsNotWithdrawnAsUnsent() {
        register();
        requests.submit(1_000, request(1, "k", true));
        recordCopy.put("k", open("k", "a", 2, 5_000));
        requests.drainActions();
        requests.writeEnded(1_010, "k", true);
        requests.recordsChanged(1_010, recordCopy.keySet());
        assertEquals(List.of(Run.class), actionTypes());
        requests.clientDisconnected("k", 1);
        requests.onFleetChanged(1_100, TestRecords.fleet(), null);
        assertEquals(List.of(Stop.class), actionTypes());
        register(1_200, TestRecords.fleet());
        RequestAction end = requests.drainActions().get(0);
        assertTrue(changeOf(end, "k").contains("state=FAILED"));
    }

    @Test
    public void aBrokerWhoseClockIsInDoubtMakesNoRecordsAndTakesOverNone() {
        requests.setClockInDoubt(true);
        putOrphan("k", 5_000);
        requests.recordsChanged(1_000, recordCopy.keySet());
        register(1_000, TestRecords.fleetWithDeadBroker());
        requests.submit(1_000, request(1, "new", true));
        assertEquals(List.of(Reject.class), actionTypes());
    }

    @Test
    public void aClientThatJoinsAnUnrecordedRunGetsItsOutcome() {
        requests.submit(1_000, request(1, "k", false));
        requests.submit(1_010, request(2, "k", false));
        assertEquals(List.of(ProceedUnrecorded.class), actionTypes());
        requests.runEnded(1_100, "k", RunOutcome.DONE, "o");
        assertEquals(List.of(new Reply(2, RequestRecord.State.DONE, "o")), requests.drainActions());
    }

    @Test
    public void anOrphanWithTooLittleTimeLeftIsClosedUnclaimedAndClaimsAreLimited() {
        for (int i = 0; i < 4; i++) {
            putOrphan("k" + i, 5_000);
        }
        putOrphan("late", 1_050);
        requests.recordsChanged(1_000, recordCopy.keySet());
        register(1_000, TestRecords.fleetWithDeadBroker());
        List<RequestAction> actions = requests.drainActions();
        assertEquals(3, actions.size());
        assertTrue(changeOf(actions.get(0), "late").contains("state=UNKNOWN"));
        register(3_500, TestRecords.fleetWithDeadBroker());
        assertEquals(
                "the window has ended, so the other two orphans are closed as well",
                List.of(Propose.class, Propose.class),
                actionTypes());
    }

    @Test
    public void anOrphanWhoseRepeatsAreNotDroppedIsClosedAsUnknown() {
        requests.setDeduplicationCheck(record -> false);
        putOrphan("k", 5_000);
        requests.recordsChanged(1_000, recordCopy.keySet());
        register(1_000, TestRecords.fleetWithDeadBroker());
        RequestAction end = requests.drainActions().get(0);
        assertTrue(changeOf(end, "k").contains("state=UNKNOWN"));
    }
}
