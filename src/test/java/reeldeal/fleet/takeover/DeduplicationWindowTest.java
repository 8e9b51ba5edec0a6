package reeldeal.fleet.takeover;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Test;
import reeldeal.fleet.FleetView.KnownSearcher;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;

/** Tests whether all replicas of a shard drop repeats. Cells s and s + 1 hold shard s. */
public class DeduplicationWindowTest {
    private static final DisruptionBudget.ShardLayout LAYOUT =
            new DisruptionBudget.ShardLayout(12, 4, 2);
    private static final Map<String, KnownSearcher> KNOWN =
            Map.of(
                    "s1",
                    new KnownSearcher("s1", "a", "", 1, 0, 1),
                    "s2",
                    new KnownSearcher("s2", "a", "", 2, 0, 1));
    private final Map<String, ObservedSearcher> listed =
            new TreeMap<>(
                    Map.of(
                            "s1",
                            observed("s1", 1, 0),
                            "s2",
                            observed("s2", 2, 700),
                            "s3",
                            observed("s3", 3, 5_000)));

    private static ObservedSearcher observed(String name, int cell, long startedAtMs) {
        return new ObservedSearcher(name, "a", "", cell, startedAtMs, true, true, false);
    }

    private boolean isDeduplicated(int shard, long firstSentAtMs) {
        return DeduplicationWindow.coversAllReplicas(
                List.of(shard), KNOWN, listed, LAYOUT, firstSentAtMs, 150);
    }

    @Test
    public void repeatsAreDroppedWhereAllReplicasStartedBeforeTheRequest() {
        assertTrue(isDeduplicated(1, 1_000));
    }

    @Test
    public void aReplicaThatStartedAfterTheRequestMayNotDropRepeats() {
        assertFalse(isDeduplicated(2, 1_000));
    }

    @Test
    public void aReplicaThatStartedWithinTheClockErrorMayNotDropRepeats() {
        assertFalse(isDeduplicated(1, 800));
    }

    @Test
    public void aKnownReplicaThatIsNotListedMayNotDropRepeats() {
        listed.remove("s2");
        assertFalse(isDeduplicated(1, 1_000));
    }

    @Test
    public void withoutAnEndpointListReplicasMayNotDropRepeats() {
        assertFalse(
                DeduplicationWindow.coversAllReplicas(List.of(1), KNOWN, null, LAYOUT, 1_000, 150));
    }
}
