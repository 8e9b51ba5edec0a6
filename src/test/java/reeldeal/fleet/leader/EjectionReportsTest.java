package reeldeal.fleet.leader;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.disruption.ObservedSearcher;

/** Tests how many brokers' reports make a searcher count as ejected. */
public class EjectionReportsTest {
    private final EjectionReports reports = new EjectionReports();
    private final FleetView fleet =
            new FleetValues()
                    .broker("a", "z", State.SERVING)
                    .broker("b", "z", State.SERVING)
                    .broker("c", "z", State.SERVING)
                    .broker("d", "z", State.LAPSED)
                    .view();

    private boolean isEjected() {
        ObservedSearcher searcher =
                new ObservedSearcher("s", "z", "k", 0, 1_000, true, true, false);
        return reports.withReportedEjections(Map.of("s", searcher), fleet.members().values())
                .get("s")
                .ejected();
    }

    @Test
    public void aSearcherCountsAsEjectedIfMostBrokersWithALeaseEjectedIt() {
        reports.record("a", Set.of("s"));
        reports.record("d", Set.of("s"));
        assertFalse(isEjected());
        reports.record("b", Set.of("s"));
        assertTrue(isEjected());
    }

    @Test
    public void aBrokersLaterReportReplacesItsEarlierOne() {
        reports.record("a", Set.of("s"));
        reports.record("b", Set.of("s"));
        reports.record("b", Set.of());
        assertFalse(isEjected());
    }
}
