package reeldeal.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import org.junit.Test;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.State;

/** Tests the encoding and decoding of the fleet's stored values. */
public class FleetCodecTest {

    @Test
    public void aRegistrationIsReadAsItWasWritten() {
        FleetCodec.Registration registration =
                new FleetCodec.Registration("b1", "s1", "z", "p", "c", 7, 5);
        assertEquals(
                "boot=b1 session=s1 zone=z program=p config=c starts=7 after=5",
                FleetCodec.encode(registration).toString());
        FleetView fleet =
                new FleetValues()
                        .with(FleetView.REGISTRATION + "b", FleetCodec.encode(registration))
                        .view();
        assertEquals(
                new FleetView.Member("b", 10, "b1", "s1", "z", "p", "c", State.STARTING, 0, "", 5),
                fleet.members().get("b"));
        assertEquals(7, fleet.starts("b"));
    }

    @Test
    public void theStateOfAnEarlierIncarnationIsIgnored() {
        FleetView fleet =
                new FleetValues()
                        .broker("b", "z", State.SERVING)
                        .with(FleetView.STATE + "b", "incarnation=9 state=SERVING reason=old")
                        .view();
        assertEquals(State.STARTING, fleet.members().get("b").state());
        assertEquals("", fleet.members().get("b").reason());
    }

    @Test
    public void permitsAreDecodedByKind() {
        FleetView fleet = new FleetValues().permit(Kind.SEARCHER, "s", "1000").view();
        assertEquals("1000", fleet.permits(Kind.SEARCHER).get("s").processMark());
        assertFalse(fleet.permits(Kind.BROKER).containsKey("s"));
    }

    @Test
    public void unknownAttributesAreIgnored() {
        FleetView fleet =
                new FleetValues().with(FleetView.SEARCHER + "s", "since=5 later=x other").view();
        assertEquals(5, fleet.searchers().get("s").startedAtMs());
    }

    @Test
    public void aValueWithAnInvalidEscapeIsReadUnchanged() {
        assertEquals("25%", FormAttributes.of("brokers_out=25%").get("brokers_out"));
        assertEquals("a b", FormAttributes.of("reason=a+b").get("reason"));
    }
}
