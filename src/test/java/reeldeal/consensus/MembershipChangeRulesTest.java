package reeldeal.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.consensus.MembershipChangeRules.Change;
import reeldeal.consensus.MembershipChangeRules.Decision;

/** Tests which membership changes are allowed, depending on the members' progress. */
public class MembershipChangeRulesTest {
    private static final GroupConfiguration CURRENT =
            new GroupConfiguration(Set.of("a", "b", "c"), Set.of("d"));

    private final Map<String, RaftNode.NodeProgress> progress = new HashMap<>();

    private Decision evaluate(Change change, String node) {
        return MembershipChangeRules.evaluate(
                CURRENT,
                change,
                node,
                member -> progress.getOrDefault(member, new RaftNode.NodeProgress(true, 0)));
    }

    private void markUnreachable(String node) {
        progress.put(node, new RaftNode.NodeProgress(false, Long.MAX_VALUE));
    }

    private static void assertRejected(Decision decision, String reason) {
        assertNull(decision.configuration());
        assertTrue(decision.rejection(), decision.rejection().contains(reason));
    }

    @Test
    public void aNewNodeBecomesALearner() {
        assertEquals(Set.of("d", "e"), evaluate(Change.ADD, "e").configuration().learners());
        assertRejected(evaluate(Change.ADD, "a"), "in the group already");
    }

    @Test
    public void aLearnerThatHasCaughtUpBecomesAVoter() {
        progress.put(
                "d", new RaftNode.NodeProgress(true, MembershipChangeRules.MAX_ENTRIES_BEHIND));
        assertTrue(evaluate(Change.PROMOTE, "d").configuration().voters().contains("d"));
    }

    @Test
    public void aLearnerThatIsBehindIsNotPromoted() {
        progress.put(
                "d", new RaftNode.NodeProgress(true, MembershipChangeRules.MAX_ENTRIES_BEHIND + 1));
        assertRejected(evaluate(Change.PROMOTE, "d"), "lacks 1001 entries");
    }

    @Test
    public void anUnreachableLearnerIsNotPromoted() {
        markUnreachable("d");
        assertRejected(evaluate(Change.PROMOTE, "d"), "is not heard");
    }

    @Test
    public void aVoterIsNotRemovedIfTheOthersLackAMajority() {
        markUnreachable("b");
        assertRejected(evaluate(Change.REMOVE, "a"), "only 1 of the 2 voters");
        assertEquals(Set.of("a", "c"), evaluate(Change.REMOVE, "b").configuration().voters());
    }

    @Test
    public void aDemotedVoterIsALearner() {
        assertEquals(Set.of("c", "d"), evaluate(Change.DEMOTE, "c").configuration().learners());
        assertRejected(evaluate(Change.DEMOTE, "d"), "does not vote");
    }
}
