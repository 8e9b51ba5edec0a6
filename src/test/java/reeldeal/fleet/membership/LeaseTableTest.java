package reeldeal.fleet.membership;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;

/** Tests when the leader renews and ends leases. */
public class LeaseTableTest {
    private static final long TERM_MS = 3_000;
    private final LeaseTable leases = new LeaseTable(TERM_MS);
    private final FleetView fleet =
            new FleetValues().broker("a", "z", State.SERVING).view(); // incarnation 10

    @Test
    public void aLeaseEndsATermAfterTheLastHeartbeat() {
        leases.beginLeadership(0);
        leases.onFleetChanged(fleet, 0);
        assertTrue(leases.recordHeartbeat(fleet, "a", 10, 5, 1_000));
        assertEquals(Set.of(), leases.expiredMembers(fleet, 3_999));
        assertEquals(Set.of("a"), leases.expiredMembers(fleet, 4_000));
    }

    @Test
    public void noLeaseEndsBeforeTheLeaderHasLedForATerm() {
        leases.beginLeadership(10_000);
        leases.onFleetChanged(fleet, 10_000);
        assertEquals(Set.of(), leases.expiredMembers(fleet, 12_999));
        assertEquals(Set.of("a"), leases.expiredMembers(fleet, 13_000));
    }

    @Test
    public void aNodeThatDoesNotLeadRenewsAndEndsNothing() {
        leases.onFleetChanged(fleet, 0);
        assertFalse(leases.recordHeartbeat(fleet, "a", 10, 5, 1_000));
        assertEquals(Set.of(), leases.expiredMembers(fleet, 100_000));
    }

    @Test
    public void anEarlierIncarnationRenewsNothing() {
        leases.beginLeadership(0);
        assertFalse(leases.recordHeartbeat(fleet, "a", 9, 5, 1_000));
    }

    @Test
    public void aLeaseThatIsBeingEndedIsNotRenewed() {
        leases.beginLeadership(0);
        leases.onFleetChanged(fleet, 0);
        leases.markExpiring(fleet.members().get("a"));
        assertFalse(leases.recordHeartbeat(fleet, "a", 10, 5, 1_000));
    }

    @Test
    public void aMemberIsBehindUntilItReportsTheVersion() {
        leases.beginLeadership(0);
        leases.onFleetChanged(fleet, 0);
        assertEquals(Set.of("a"), leases.membersBehind(fleet, 5));
        leases.recordHeartbeat(fleet, "a", 10, 5, 1_000);
        assertEquals(Set.of(), leases.membersBehind(fleet, 5));
        assertEquals(Set.of("a"), leases.membersBehind(fleet, 6));
    }

    @Test
    public void silenceIsUnknownBeforeTheFirstHeartbeat() {
        leases.beginLeadership(0);
        leases.onFleetChanged(fleet, 0);
        assertEquals(-1, leases.silenceMs(fleet.members().get("a"), 500));
        leases.recordHeartbeat(fleet, "a", 10, 5, 1_000);
        assertEquals(200, leases.silenceMs(fleet.members().get("a"), 1_200));
    }

    @Test
    public void theHolderFencesItselfBeforeTheLeaderEndsTheLease() {
        Lease lease = new Lease(TERM_MS);
        lease.renew(10, 1_000);
        assertTrue(lease.isValid(10, 3_699));
        assertFalse(lease.isValid(10, 3_700));
        assertFalse("the lease is not valid for another incarnation", lease.isValid(11, 1_000));
    }
}
