package reeldeal.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/** Tests what may be sent for a request, and that violations are counted. */
public class RequestGuardTest {
    private final List<String> log = new ArrayList<>();
    private double now;
    private final RequestGuard guard = new RequestGuard(() -> now, log::add);
    private final Request request = new Request(1, "q", 0, null, 1_000, false, "x", List.of());

    private Effect.Send send(double sendByMs) {
        return new Effect.Send(7, 0, request, 3, 500, sendByMs, null);
    }

    @Test
    public void nothingIsSentBeforeARequestIsOpenAndAfterItHasEnded() {
        assertFalse(guard.maySend(send(400)));
        guard.opened(request);
        assertTrue(guard.maySend(send(400)));
        guard.ended(1);
        assertFalse(guard.maySend(send(400)));
        assertEquals(Map.of(RequestGuard.Refusal.REQUEST_ENDED, 2), guard.refusals());
    }

    @Test
    public void nothingIsSentAfterTheDeadlineOrTheWindowOrWithoutOwnership() {
        guard.opened(request);
        now = 400;
        assertFalse(guard.maySend(send(400)));
        now = 500;
        assertFalse(guard.maySend(send(900)));
        now = 0;
        guard.setOwnership(send -> false);
        assertFalse(guard.maySend(send(400)));
        assertEquals(
                Map.of(RequestGuard.Refusal.TOO_LATE, 2, RequestGuard.Refusal.NOT_OWNED, 1),
                guard.refusals());
    }

    @Test
    public void aSuspendedBrokerSendsNothingAfterItsGrace() {
        guard.opened(request);
        guard.sendOnlyUntil(300);
        now = 300;
        assertTrue(guard.maySend(send(400)));
        now = 301;
        assertFalse(guard.maySend(send(400)));
        assertEquals(Map.of(RequestGuard.Refusal.SUSPENDED, 1), guard.refusals());
    }

    @Test
    public void whatReachesTheSocketTooLateIsCountedAndLogged() {
        guard.opened(request);
        guard.ended(1);
        now = 100;
        guard.sent(send(400), now);
        assertEquals(Map.of(), guard.violations());
        now = 101;
        guard.sent(send(400), now);
        now = 651;
        guard.sent(send(400), now);
        assertEquals(
                Map.of(
                        RequestGuard.Violation.SENT_AFTER_END, 2,
                        RequestGuard.Violation.SENT_AFTER_DEADLINE, 1),
                guard.violations());
        assertTrue(
                log.toString(), log.get(0).startsWith("VIOLATION SENT_AFTER_END: attempt 0 of q"));
    }

    @Test
    public void aRequestThatIsOpenAtTheEndOfTheProcessIsAViolation() {
        guard.opened(request);
        guard.checkNothingOpen();
        assertEquals(Map.of(RequestGuard.Violation.UNANSWERED_AT_EXIT, 1), guard.violations());
    }

    @Test
    public void nothingIsSentForAClientWhoseEndHasArrivedButIsUnread() {
        guard.opened(request);
        guard.setInputReader(() -> guard.ended(1));
        assertFalse(guard.maySend(send(400)));
        assertEquals(Map.of(RequestGuard.Refusal.REQUEST_ENDED, 1), guard.refusals());
    }

    @Test
    public void anAttemptWhoseStatedTimeIsOldIsCounted() {
        guard.opened(request);
        now = 151;
        guard.sent(send(400), 1);
        assertEquals(Map.of(), guard.violations());
        guard.sent(send(400), 0.5);
        assertEquals(Map.of(RequestGuard.Violation.STATED_TIME_TOO_OLD, 1), guard.violations());
    }
}
