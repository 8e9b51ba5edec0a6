package reeldeal.fleet.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.recovery.RollbackDetector.Verdict;

/** Tests when a node may vote, and when its data directory counts as rolled back. */
public class RollbackDetectorTest {
    private static final Set<String> OTHER_VOTERS = Set.of("b", "c");
    private static final long MAX_WAIT_MS = 500;

    private static RollbackDetector detector(long starts) {
        return new RollbackDetector(starts, OTHER_VOTERS, MAX_WAIT_MS);
    }

    @Test
    public void theDetectorWaitsForAVoterThatIsDownOnlyForALimitedTime() {
        RollbackDetector detector = detector(3);
        assertEquals("no voter was heard", Verdict.WAIT, detector.verdict(60_000));
        detector.onStartsReported(60_000, "b", 2);
        detector.onStartsReported(60_010, "learner", 1);
        assertEquals(Verdict.WAIT, detector.verdict(60_499));
        assertEquals("c is down", Verdict.SOUND, detector.verdict(60_500));
    }

    @Test
    public void aNewNodeVotesOnceAllVotersHaveAnswered() {
        RollbackDetector detector = detector(1);
        detector.onStartsReported(10, "b", 0);
        detector.onStartsReported(11, "c", 0);
        assertEquals(Verdict.SOUND, detector.verdict(11));
    }

    /** Guards against a node that waits for ever for voters that the group has replaced. */
    @Test
    public void theDetectorWaitsForTheVotersOfTheLatestConfiguration() {
        RollbackDetector detector = detector(2);
        detector.onStartsReported(10, "d", 1);
        assertEquals("d does not vote", Verdict.WAIT, detector.verdict(60_000));
        detector.setOtherVoters(Set.of("d", "e"));
        assertEquals(Verdict.WAIT, detector.verdict(60_000));
        detector.onStartsReported(60_000, "e", 1);
        assertEquals(Verdict.SOUND, detector.verdict(60_000));
    }

    @Test
    public void aStartInTheNodesOwnCopyIsProofToo() {
        RollbackDetector detector = detector(2);
        detector.onOwnCopyRead(1);
        assertEquals(Verdict.WAIT, detector.verdict(0));
        detector.onOwnCopyRead(3);
        assertEquals(Verdict.ROLLED_BACK, detector.verdict(0));
        assertTrue(
                detector.reason("a"),
                detector.reason("a")
                        .startsWith(
                                "this folder went back: the group knows start 3 of a, and this process"
                                        + " is start 2"));
    }

    @Test
    public void aLaterStartThatAnyPeerKnowsIsFinal() {
        RollbackDetector detector = detector(2);
        detector.onPeerHeard(5);
        detector.onStartsReported(20, "learner", 2);
        assertEquals("a learner knows the same count", Verdict.ROLLED_BACK, detector.verdict(20));
        detector.onStartsReported(21, "b", 1);
        detector.onStartsReported(22, "c", 1);
        assertEquals(Verdict.ROLLED_BACK, detector.verdict(600));
        assertTrue(
                detector.reason("a"),
                detector.reason("a")
                        .startsWith(
                                "this folder went back: learner knows start 2 of a, and this process is"
                                        + " start 2"));
    }
}
