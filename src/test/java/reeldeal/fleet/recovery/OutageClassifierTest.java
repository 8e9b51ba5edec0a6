package reeldeal.fleet.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;

/** Tests which crashes count as an outage of a zone or of the fleet. */
public class OutageClassifierTest {
    private final OutageClassifier classifier = new OutageClassifier(RecoveryRamp.DEFAULT);
    private final FleetValues fleet = new FleetValues();

    /** Adds a broker that was restarted after a crash. */
    private void addRestartedBroker(String name, String zone) {
        fleet.with(FleetView.REGISTRATION + name, "boot=" + name + "2 zone=" + zone + " after=3");
    }

    private OutageClassifier.Verdict classify() {
        return classifier.classify(fleet.view());
    }

    @Test
    public void restartsOfAllBrokersAreAnOutageOfTheFleet() {
        addRestartedBroker("a", "x");
        addRestartedBroker("b", "y");
        OutageClassifier.Verdict verdict = classify();
        assertEquals(Epoch.Kind.FLEET, verdict.kind());
        assertTrue(verdict.isCertain());
        assertEquals(2, verdict.lost());
        assertEquals("the version before the first registration", 9, verdict.sinceVersion());
    }

    @Test
    public void restartsOfAllBrokersOfAZoneAreAnOutageOfTheZone() {
        addRestartedBroker("a", "x");
        addRestartedBroker("b", "x");
        fleet.broker("c", "y", State.SERVING).broker("d", "y", State.SERVING);
        classify(); // the new restarts require new heartbeats of all members
        classifier.recordHeartbeat("c1");
        classifier.recordHeartbeat("d1");
        assertEquals(Epoch.Kind.ZONE, classify().kind());
        assertEquals("x", classify().zone());
    }

    @Test
    public void aSingleRestartedBrokerIsNotAnOutage() {
        addRestartedBroker("a", "x");
        fleet.broker("b", "x", State.SERVING).broker("c", "x", State.SERVING);
        classify();
        classifier.recordHeartbeat("b1");
        classifier.recordHeartbeat("c1");
        assertEquals(Epoch.Kind.NONE, classify().kind());
        assertTrue(classify().isCertain());
    }

    @Test
    public void heartbeatsBeforeARestartDoNotMakeItsClassificationCertain() {
        addRestartedBroker("a", "x");
        fleet.broker("b", "x", State.SERVING).broker("c", "x", State.SERVING);
        classifier.recordHeartbeat("b1");
        classifier.recordHeartbeat("c1");
        assertFalse("the heartbeats came before the restart", classify().isCertain());
    }

    @Test
    public void endedLeasesWithoutARestartAreNotAnOutage() {
        fleet.broker("a", "x", State.LAPSED).broker("b", "x", State.LAPSED);
        assertEquals(Epoch.Kind.NONE, classify().kind());
    }

    @Test
    public void crashesBeforeTheLastClassificationDoNotCount() {
        addRestartedBroker("a", "x");
        addRestartedBroker("b", "x");
        fleet.with(OutageClassifier.CLASSIFIED_KEY, "");
        classifier.recordHeartbeat("a2");
        classifier.recordHeartbeat("b2");
        assertEquals(Epoch.Kind.NONE, classify().kind());
    }

    @Test
    public void crashesThatTheRecoveryCoversAreNotANewOutage() {
        fleet.with(Epoch.KEY, "epoch=1 kind=whole step=1 since=50");
        addRestartedBroker("a", "x");
        addRestartedBroker("b", "x");
        classifier.recordHeartbeat("a2");
        classifier.recordHeartbeat("b2");
        assertEquals(Epoch.Kind.NONE, classify().kind());
    }
}
