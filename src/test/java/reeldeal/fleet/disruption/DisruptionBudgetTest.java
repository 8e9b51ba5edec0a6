package reeldeal.fleet.disruption;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.State;

/** Tests the grants of permits, the limits on them, and the evidence that a holder has returned. */
public class DisruptionBudgetTest {
    private static final DisruptionBudget.ShardLayout NO_LAYOUT =
            new DisruptionBudget.ShardLayout(0, 0, 0);
    private final DisruptionBudget budget = new DisruptionBudget();

    private static DisruptionBudget.Observations observed(ObservedSearcher... searchers) {
        Map<String, ObservedSearcher> list = new java.util.TreeMap<>();
        for (ObservedSearcher searcher : searchers) {
            list.put(searcher.name(), searcher);
        }
        return new DisruptionBudget.Observations(
                list, new DisruptionBudget.ShardLayout(2, 2, 1), Set.of(), 10_000);
    }

    private static ObservedSearcher listed(String name, int cell, long startedAt, boolean warm) {
        return new ObservedSearcher(name, "z", "k", cell, startedAt, true, warm, false);
    }

    private static FleetValues brokers(String policy) {
        return new FleetValues()
                .with(FleetView.POLICY, policy)
                .broker("a", "x", State.SERVING)
                .broker("b", "x", State.SERVING)
                .broker("c", "y", State.SERVING);
    }

    private String rejection(FleetView fleet, Kind kind, String name) {
        return budget.grant(fleet, observed(), kind, name, "operator", "").rejectionReason();
    }

    @Test
    public void aMajorityOfTheStoresVotersStays() {
        FleetView fleet =
                new FleetValues()
                        .with(FleetView.POLICY, "brokers_out=3 apart_ms=0")
                        .broker("a", "z", State.SERVING)
                        .broker("b", "z", State.LAPSED)
                        .broker("c", "z", State.SERVING)
                        .broker("d", "z", State.SERVING)
                        .broker("e", "z", State.SERVING)
                        .view();
        DisruptionBudget.Observations observations =
                new DisruptionBudget.Observations(null, NO_LAYOUT, Set.of("a", "b", "c"), 1_000);
        assertEquals(
                "a is a voter of the store, and 1 of 3 voters would remain, 2 required",
                budget.grant(fleet, observations, Kind.BROKER, "a", "operator", "")
                        .rejectionReason());
        assertNotNull(budget.grant(fleet, observations, Kind.BROKER, "d", "operator", "").write());
    }

    @Test
    public void aGrantExpectsAllVersionsItWasBasedOn() {
        ConditionalWrite write =
                budget.grant(brokers("").view(), observed(), Kind.BROKER, "a", "operator", "why")
                        .write();
        assertEquals(
                "mark=a1 by=operator planned=true reason=why",
                write.changes().get(FleetView.permitKey(Kind.BROKER, "a")));
        assertEquals(
                Set.of(
                        FleetView.POLICY,
                        FleetView.PERMIT_SERIAL,
                        FleetView.permitKey(Kind.BROKER, "a"),
                        FleetView.REGISTRATION + "a",
                        FleetView.STATE + "a",
                        FleetView.STATE + "b",
                        FleetView.STATE + "c"),
                write.expectedVersions().keySet());
    }

    @Test
    public void noMoreBrokersGoOutThanThePolicyAllows() {
        FleetView fleet = brokers("brokers_out=1").permit(Kind.BROKER, "a", "a1").view();
        assertEquals("2 brokers out, 1 allowed: a b", rejection(fleet, Kind.BROKER, "b"));
    }

    @Test
    public void noMoreBrokersOfOneZoneGoOutThanThePolicyAllows() {
        FleetView fleet =
                brokers("brokers_out=2 brokers_zone_out=1").permit(Kind.BROKER, "a", "a1").view();
        assertEquals("2 brokers out of zone x, 1 allowed", rejection(fleet, Kind.BROKER, "b"));
        assertNull(rejection(fleet, Kind.BROKER, "c"));
    }

    @Test
    public void eachShardKeepsAWarmSearcher() {
        FleetView fleet =
                new FleetValues()
                        .with(FleetView.POLICY, "searchers_out=1")
                        .searcher("s0", 0)
                        .searcher("s1", 1)
                        .view();
        DisruptionBudget.Observations observations =
                observed(listed("s0", 0, 1_000, true), listed("s1", 1, 1_000, true));
        assertEquals(
                "shard 1 would have 0 warm searchers, 1 required",
                budget.grant(fleet, observations, Kind.SEARCHER, "s1", "operator", "")
                        .rejectionReason());
    }

    @Test
    public void aTightenedPolicyIsNotViolatedWhileAllAreOutUnderPermits() {
        FleetView permitted = brokers("brokers_out=0").permit(Kind.BROKER, "a", "a1").view();
        assertNull(budget.limits().violation(permitted, observed()));
        FleetView lapsed = brokers("brokers_out=0").broker("d", "y", State.LAPSED).view();
        assertEquals("1 brokers out, 0 allowed: d", budget.limits().violation(lapsed, observed()));
    }

    @Test
    public void aBrokerIsBackOnceANewerProcessServes() {
        FleetView fleet = brokers("").permit(Kind.BROKER, "a", "a0").view();
        assertNull(
                "a state from before the permit is no evidence",
                budget.evidence().findEvidence(fleet, observed(), permit(fleet, "a")));
        FleetView restarted =
                brokers("").permit(Kind.BROKER, "a", "a0").broker("a", "x", State.SERVING).view();
        assertEquals(
                "a newer process serves, incarnation 18",
                budget.evidence().findEvidence(restarted, observed(), permit(restarted, "a")));
    }

    private static FleetView.Permit permit(FleetView fleet, String broker) {
        return fleet.permits(Kind.BROKER).get(broker);
    }

    @Test
    public void aSearcherIsBackOnceItsNewProcessIsWarm() {
        FleetView fleet =
                new FleetValues().searcher("s", 0).permit(Kind.SEARCHER, "s", "1000").view();
        FleetView.Permit permit = fleet.permits(Kind.SEARCHER).get("s");
        assertNull(
                budget.evidence()
                        .findEvidence(fleet, observed(listed("s", 0, 2_000, false)), permit));
        assertEquals(
                "a newer process is listed and warm",
                budget.evidence()
                        .findEvidence(fleet, observed(listed("s", 0, 2_000, true)), permit));
    }

    @Test
    public void aSearcherThatIsNoLongerListedGetsAnUnplannedPermit() {
        FleetView fleet = new FleetValues().searcher("s", 0).view();
        List<ConditionalWrite> writes = budget.pendingWrites(fleet, observed());
        assertEquals(1, writes.size());
        assertEquals(
                "mark=1000 by=found planned=false reason=not+listed+any+more",
                writes.get(0).changes().get(FleetView.permitKey(Kind.SEARCHER, "s")));
    }
}
