package reeldeal.fleet.leader;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.disruption.DisruptionBudget;

/** Tests operators' requests: their answers, rejections and resulting writes. */
public class AdminRequestHandlerTest {
    private final AdminRequestHandler handler = new AdminRequestHandler(new DisruptionBudget());
    private final FleetValues fleet = new FleetValues().broker("a", "x", State.SERVING);

    private AdminResult handle(String request) {
        DisruptionBudget.Observations observations =
                new DisruptionBudget.Observations(
                        Map.of(), new DisruptionBudget.ShardLayout(0, 0, 0), Set.of(), 10_000);
        return handler.handle(request, fleet.view(), observations, member -> 40);
    }

    private String answer(String request) {
        return ((AdminResult.Answer) handle(request)).text();
    }

    private String rejection(String request) {
        return ((AdminResult.Rejection) handle(request)).reason();
    }

    private AdminResult.Write write(String request) {
        return (AdminResult.Write) handle(request);
    }

    @Test
    public void membersAreListedWithTheirStates() {
        assertEquals(
                "name=a state=serving incarnation=10 zone=x program=p config=c1 drain=false"
                        + " reason= silent_ms=40",
                answer("members"));
    }

    @Test
    public void membersThatAreOutAreListedWithAndWithoutAPermit() {
        fleet.broker("b", "x", State.LAPSED).permit(Kind.BROKER, "a", "a1");
        assertEquals(
                "kind=broker name=a by=operator planned=true version=14 reason=\n"
                        + "kind=broker name=b by=itself planned=false version=13 reason=lapsed\n"
                        + "kind=budget name= by= planned=false version=0"
                        + " reason=2+brokers+out%2C+1+allowed%3A+a+b",
                answer("permits"));
    }

    @Test
    public void theReleaseIsShownWithItsMembers() {
        assertEquals("no release has been planned", rejection("release show"));
        fleet.release().step("a", Stage.DRAIN, "a1");
        assertEquals(
                "id=r1 kind=broker what=config to=c2 way=forward progress=running reason="
                        + " settle_ms=5000 step_ms=60000\n"
                        + "name=a wave=1 way=forward stage=drain from=c1",
                answer("release show"));
    }

    @Test
    public void aPolicyIsChangedOnlyByValidSettings() {
        assertEquals(
                "policy brokers_out: expected a number or a share from 0% to 100%, found x",
                rejection("policy brokers_out=x"));
        assertTrue(
                write("policy brokers_out=2")
                        .write()
                        .changes()
                        .get(FleetView.POLICY)
                        .contains("brokers_out=2"));
    }

    @Test
    public void aDrainNeedsAPermitAndAKnownMember() {
        assertEquals(
                "drain: expected the name of a known member, and kind=broker or kind=searcher"
                        + " if both have that name; found nobody",
                rejection("drain name=nobody"));
        AdminResult.Write drain = write("drain name=a");
        assertEquals("drains a", drain.answer());
        assertEquals(
                "mark=a1 by=operator",
                drain.write().changes().get(FleetView.drainKey(Kind.BROKER, "a")));
        fleet.permit(Kind.BROKER, "a", "a1");
        assertEquals("not drained: a has a permit already: ", rejection("drain name=a"));
    }

    @Test
    public void anOperatorCannotUndrainAMemberThatAReleaseDrains() {
        assertEquals("no drain order for a is in the store", rejection("undrain name=a"));
        fleet.with(FleetView.drainKey(Kind.BROKER, "a"), "mark=a1 by=operator");
        assertEquals("the drain of a is taken back", write("undrain name=a").answer());
        fleet.release()
                .step("a", Stage.DRAIN, "a1")
                .with(FleetView.permitKey(Kind.BROKER, "a"), "mark=a1 by=release");
        assertEquals(
                "a is drained by release r1; roll the release back instead",
                rejection("undrain name=a"));
    }

    @Test
    public void onlyAMemberWithoutALeaseIsForgotten() {
        assertEquals(
                "forget: expected a reason, since the permit of a is released without evidence of"
                        + " its return",
                rejection("forget name=a"));
        assertEquals("a is serving; stop it first", rejection("forget name=a reason=r"));
        fleet.broker("a", "x", State.GONE);
        assertEquals(
                Set.of(
                        FleetView.REGISTRATION + "a",
                        FleetView.STATE + "a",
                        FleetView.PERMIT_SERIAL),
                write("forget name=a reason=r").write().changes().keySet());
    }

    @Test
    public void aConfigurationIsStoredOnce() {
        assertEquals(
                "config: expected a version of 12 hexadecimal digits, found 1",
                rejection("config version=1 text=t"));
        assertEquals("kept: 0123456789ab", write("config version=0123456789ab text=t").answer());
        fleet.with(FleetView.CONFIG + "0123456789ab", "t");
        assertEquals("kept already: 0123456789ab", answer("config version=0123456789ab text=t"));
    }

    @Test
    public void aPlanWithUnknownOrInvalidAttributesIsRejected() {
        assertEquals(
                "plan: expected what=config or what=program, and to=VERSION",
                rejection("release plan"));
        assertEquals(
                "plan: configuration c2 is not in the store",
                rejection("release plan what=config to=c2"));
        assertEquals(
                "plan: broker x is unknown",
                rejection("release plan what=program to=p2 members=a,x"));
        assertEquals(
                "plan: expected waves from 1 to 9999, found 0",
                rejection("release plan what=program to=p2 waves=0"));
        assertEquals("planned: r1, 1 members", write("release plan what=program to=p2").answer());
    }

    @Test
    public void aReleaseAcceptsOnlyOrdersThatItsProgressAllows() {
        fleet.release().step("a", Stage.DRAIN, "a1");
        assertEquals("release r1 is running; it cannot start", rejection("release start"));
        assertEquals("release r1: pause", write("release pause").answer());
        assertEquals("release r1: back", write("release back").answer());
    }

    @Test
    public void aReleaseCanOnlyBePausedOrHaltedInARecovery() {
        fleet.release().with("fleet/recovery", "epoch=3 kind=whole step=2 ended=false");
        assertEquals(
                "recovery 3 is at step 2; until it ends a release can only be paused or halted",
                rejection("release back"));
        assertEquals("release r1: halt", write("release halt").answer());
    }

    @Test
    public void anUnknownOperationIsRejected() {
        assertTrue(rejection("release stop").endsWith("halt, back; found release stop"));
    }
}
