package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Before;
import org.junit.Test;

/**
 * Tests which entries a leader may send to a follower, depending on the follower's
 * acknowledgements.
 */
public class PeerProgressTest {
    private static final int WINDOW = 2;

    private final PeerProgress peer = new PeerProgress();

    @Before
    public void beginAtIndexFive() {
        peer.nextIndex = 5;
    }

    @Test
    public void aProbeIsOneRequestAtATime() {
        peer.onRequestSent(3);
        assertFalse(peer.maySend(WINDOW));
        assertEquals(5, peer.nextIndex);
    }

    @Test
    public void anAcknowledgementEndsTheProbe() {
        peer.onRequestSent(3);
        peer.onAcknowledged(7);
        assertFalse(peer.probing);
        assertEquals(8, peer.nextIndex);
    }

    @Test
    public void theWindowLimitsUnansweredRequests() {
        peer.onAcknowledged(4);
        peer.onRequestSent(1);
        peer.onRequestSent(1);
        assertFalse(peer.maySend(WINDOW));
        peer.onAcknowledged(5);
        assertTrue(peer.maySend(WINDOW));
    }

    @Test
    public void aStalledFollowerIsProbedFromItsMatchIndex() {
        peer.onAcknowledged(4);
        peer.probeIfStalled();
        peer.onRequestSent(3);
        peer.probeIfStalled();
        assertTrue(peer.probing);
        assertEquals(5, peer.nextIndex);
    }

    @Test
    public void aRejectionOfAnEarlierProbeIsStale() {
        peer.onRequestSent(1);
        assertTrue(peer.isStaleRejection(3));
        assertFalse(peer.isStaleRejection(4));
    }

    @Test
    public void aSecondAnswerToAHeartbeatRoundIsNotNew() {
        assertTrue(peer.onHeartbeatAcknowledged(2));
        assertFalse(peer.onHeartbeatAcknowledged(2));
        assertFalse(peer.onHeartbeatAcknowledged(1));
    }
}
