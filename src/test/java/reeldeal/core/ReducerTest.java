package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reeldeal.core.ReducerFixture.arrival;
import static reeldeal.core.ReducerFixture.ended;
import static reeldeal.core.ReducerFixture.queryClass;
import static reeldeal.core.ReducerFixture.request;
import static reeldeal.core.ReducerFixture.searcher;
import static reeldeal.core.ReducerFixture.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.Tenant;
import reeldeal.decision.ServerStatsSnapshot.ServerStats;

/** Tests what the reducer guarantees independently of the decision module. */
class ReducerTest {
    private static final Settings SETTINGS = settings(queryClass(RepeatSafety.IDEMPOTENT, 2000, 0));

    private final ReducerFixture fixture = new ReducerFixture(SETTINGS, searcher("s", "h:1"));

    @Test
    void sendsOfOneTickToOneSearcherFormCallsOfLimitedSize() {
        fixture.tick(arrival(1, 3), arrival(2, 2));
        assertEquals(
                List.of(2, 2, 1),
                fixture.calls().stream().map(call -> call.sends().size()).toList());
    }

    @Test
    void importedStatsApplyOnceTheObservedProcessIsListed() {
        Event.ImportedServerStats ejected =
                new Event.ImportedServerStats(5, new ServerStats(true, true, 2));
        fixture.tick(new Event.ServerStatsImported(Map.of("t", ejected, "u", ejected)));
        assertEquals(Map.of(), fixture.reducer.exportStats());
        fixture.changeEndpoints(
                EndpointListKind.CHANGES,
                searcher("t", "h:2", 5, EndpointState.READY),
                searcher("u", "h:3", 6, EndpointState.READY));
        assertEquals(
                Set.of("t"),
                fixture.reducer.exportStats().keySet(),
                "u has restarted since it was observed");
        for (long id = 1; id < 4; id++) {
            fixture.tick(arrival(id, 1));
            assertTrue(
                    fixture.calls().stream().noneMatch(call -> call.searcher().name().equals("t")),
                    "sent to ejected searcher t although others can serve");
        }
    }

    @Test
    void requestsBeyondMaxInFlightAreRejectedWithADelay() {
        for (long id = 1; id <= 5; id++) {
            fixture.tick(arrival(id, 4));
        }
        Reply reply = fixture.answers().get(0).reply();
        assertTrue(
                reply instanceof Reply.Rejected rejected && rejected.retryAfterMs() > 0,
                reply.toString());
        assertTrue(fixture.reducer.openRequests() <= 4);
    }

    @Test
    void aRequestThatTheModuleLeavesUnansweredIsAnsweredOnceAtItsDeadline() {
        fixture.tick(arrival(1, 1));
        fixture.tickAt(1995, new Event.DeadlineDue(1));
        assertEquals(1, fixture.answers().size());
        assertEquals(0, fixture.reducer.openRequests());
        fixture.tick(new Event.DeadlineDue(1), ended(1, 0, new AttemptEnd.Served(1, "late")));
        assertEquals(List.of(), fixture.answers());
    }

    @Test
    void withoutHedgingASecondAttemptIsNotSent() {
        fixture.tick(arrival(1, 1));
        assertEquals(1, fixture.calls().size());
        long server = ((0xcbf29ce484222325L ^ 's') * 0x100000001b3L) >>> 12;
        fixture.reducer.send(1, server, 100);
        fixture.tick();
        assertEquals(List.of(), fixture.calls());
        String line = fixture.effectsOf(Effect.Log.class).get(0).line();
        assertTrue(
                line.contains("not sent: searcher not listed, or not allowed by the send rules"),
                line);
    }

    @Test
    void aFaultOnOneEventDoesNotAffectTheOthers() {
        fixture.tick(new Event.Arrived(null), arrival(3, 1));
        assertEquals(1, fixture.calls().size());
        String line = fixture.effectsOf(Effect.Log.class).get(0).line();
        assertTrue(line.startsWith("fault on Arrived"), line);
    }

    @Test
    void anAbandonedAttemptThatWasNeverWrittenMayBeRetried() {
        fixture.tick(arrival(1, 1));
        AttemptEnd unsent = new AttemptEnd.Abandoned(AttemptEnd.Reach.UNSENT, false);
        fixture.tickAt(20, ended(1, 0, unsent));
        fixture.tickAt(600, new Event.TimerDue(1));
        assertEquals(1, fixture.calls().get(0).sends().get(0).attempt());
    }

    @Test
    void theNameOfAnOpenRequestIsInvalidUntilSomeTimeAfterItsEnd() {
        fixture.tick(arrival(1, 1));
        Event sameName = new Event.Arrived(request(2, "q1", 6000, 1));
        fixture.tick(sameName);
        assertEquals(
                List.of(new Effect.Answer(2, new Reply.Invalid("the request's id is in use"))),
                fixture.answers());
        assertEquals(List.of(), fixture.calls());
        fixture.tick(new Event.ClientDisconnected(1));
        int entriesBefore = fixture.reducer.retainedEntries();
        fixture.tickAt(4000, sameName);
        assertEquals(List.of(), fixture.calls(), "its first attempt is still in flight");
        fixture.tickAt(4010, ended(1, 0, new AttemptEnd.NeverSent()));
        fixture.tickAt(7000, sameName);
        assertEquals(List.of(), fixture.calls());
        fixture.tickAt(7020, new Event.Arrived(request(3, "q1", 9000, 1)));
        assertEquals(1, fixture.calls().size());
        assertEquals(entriesBefore, fixture.reducer.retainedEntries());
    }

    @Test
    void searchersThatAreRemovedOrNoLongerListedAreForgotten() {
        int entriesBefore = fixture.reducer.retainedEntries();
        for (int i = 0; i < 50; i++) {
            fixture.now += 100;
            String name = "new" + i;
            fixture.changeEndpoints(EndpointListKind.CHANGES, searcher(name, "h:2"));
            if (i % 2 == 0) {
                Searcher removed = new Searcher(name, "", "", "", 0, 0, 1, EndpointState.REMOVED);
                fixture.changeEndpoints(EndpointListKind.CHANGES, removed);
            } else {
                fixture.changeEndpoints(EndpointListKind.COMPLETE, searcher("s", "h:1"));
            }
            assertTrue(
                    fixture.effectsOf(Effect.StopSending.class).stream()
                            .anyMatch(stop -> stop.searcher().address().equals("h:2")));
        }
        assertEquals(entriesBefore, fixture.reducer.retainedEntries());
    }

    @Test
    void unwrittenAttemptsAreWithdrawnWhenTheClientDisconnects() {
        fixture.tick(arrival(1, 2));
        assertEquals(1, fixture.calls().size());
        fixture.tick(new Event.ClientDisconnected(1));
        assertEquals(
                List.of(new Effect.Withdraw(1, 0), new Effect.Withdraw(2, 0)),
                fixture.effectsOf(Effect.Withdraw.class));
    }

    @Test
    void nothingIsSentInTheTickInWhichTheClientDisconnects() {
        fixture.tick(arrival(2, 2), new Event.ClientDisconnected(2));
        assertEquals(List.of(), fixture.calls());
    }

    @Test
    void aRetryWithAKeyMayBeWrittenOnlyWithinTheDeduplicationWindow() {
        ReducerFixture fixtureWithKeys =
                new ReducerFixture(
                        settings(queryClass(RepeatSafety.IDEMPOTENT_WITH_KEY, 600, 0)),
                        searcher("s", "h:1"),
                        searcher("t", "h:2"));
        fixtureWithKeys.tickAt(100, arrival(1, 1));
        assertEquals(
                Double.POSITIVE_INFINITY,
                fixtureWithKeys.calls().get(0).sends().get(0).sendByMs(),
                "first attempt");
        AttemptEnd unsent =
                new AttemptEnd.Broken(AttemptEnd.Reach.UNSENT, "connection not established");
        fixtureWithKeys.tickAt(200, ended(1, 0, unsent));
        assertEquals(
                Double.POSITIVE_INFINITY,
                fixtureWithKeys.calls().get(0).sends().get(0).sendByMs(),
                "the first attempt never ran");
        AttemptEnd sent = new AttemptEnd.Broken(AttemptEnd.Reach.SENT, "reset");
        fixtureWithKeys.tickAt(300, ended(1, 1, sent));
        assertEquals(200 + 600 - 5, fixtureWithKeys.calls().get(0).sends().get(0).sendByMs());
    }

    @Test
    void requestsCountForNoTenantsQuota() {
        ReducerFixture fixtureWithTenants =
                new ReducerFixture(
                        settings(SETTINGS.classes().get(0), new Tenant(0.001), new Tenant(100)),
                        searcher("s", "h:1"));
        List<Effect> allEffects = new ArrayList<>();
        for (long id = 1; id <= 9; id++) {
            double arrivedMs = 400.0 * id;
            fixtureWithTenants.tickAt(
                    arrivedMs, new Event.Arrived(request(id, "q" + id, arrivedMs + 560, 1)));
            allEffects.addAll(fixtureWithTenants.effects);
        }
        assertTrue(
                allEffects.stream().noneMatch(effect -> effect instanceof Effect.Answer),
                "rejected for the quota of the first tenant");
    }

    @Test
    void aClientThatDisconnectsBetweenThePhasesGetsNoFetchPhase() {
        ReducerFixture fixtureWithFetchPhase =
                new ReducerFixture(
                        settings(queryClass(RepeatSafety.IDEMPOTENT, 2000, 1)),
                        searcher("s", "h:1"));
        fixtureWithFetchPhase.tickAt(10, arrival(1, 1));
        assertEquals(1, fixtureWithFetchPhase.calls().size());
        fixtureWithFetchPhase.tickAt(100, ended(1, 0, new AttemptEnd.Served(1, "in")));
        assertTrue(
                fixtureWithFetchPhase.effects.contains(
                        new Effect.ScheduleTimer(0, new Event.FetchPhaseDue(1))),
                fixtureWithFetchPhase.effects.toString());
        fixtureWithFetchPhase.tickAt(
                105, new Event.ClientDisconnected(1), new Event.FetchPhaseDue(1));
        assertEquals(
                List.of(), fixtureWithFetchPhase.calls(), fixtureWithFetchPhase.effects.toString());
        assertEquals(0, fixtureWithFetchPhase.reducer.openRequests());
    }

    @Test
    void theFetchPhaseGoesToTheBestShardsAndCarriesTheQueryPhasesResult() {
        ReducerFixture fixtureWithFetchPhase =
                new ReducerFixture(
                        settings(queryClass(RepeatSafety.IDEMPOTENT, 2000, 1)),
                        searcher("s", "h:1"));
        fixtureWithFetchPhase.tickAt(10, arrival(1, 2));
        fixtureWithFetchPhase.tickAt(
                100,
                ended(1, 0, new AttemptEnd.Served(1, "low")),
                ended(2, 0, new AttemptEnd.Served(2, "high")));
        fixtureWithFetchPhase.tickAt(105, new Event.FetchPhaseDue(1));
        Effect.Send fetch = fixtureWithFetchPhase.calls().get(0).sends().get(0);
        assertEquals(1, fetch.shard());
        assertEquals(new Effect.QueryPhaseResult(List.of(0, 1), true), fetch.queryPhase());
        fixtureWithFetchPhase.tickAt(200, ended(3, 0, new AttemptEnd.Served(5, "fetched")));
        assertEquals(
                new Reply.Served(true, List.of(new Reply.Hit(1, "fetched", 5))),
                fixtureWithFetchPhase.answers().get(0).reply());
    }

    @Test
    void aSearcherThatReturnsUnderAnotherAddressIsStoppedAtTheOldOne() {
        fixture.tick(
                arrival(1, 1),
                new Event.EndpointsChanged(
                        EndpointListKind.COMPLETE,
                        List.of(searcher("s", "h:9", 500, EndpointState.READY))));
        assertTrue(
                fixture.effectsOf(Effect.StopSending.class).stream()
                        .anyMatch(stop -> stop.searcher().address().equals("h:1")),
                fixture.effects.toString());
        assertTrue(
                fixture.calls().stream().noneMatch(call -> call.searcher().address().equals("h:1")),
                fixture.effects.toString());
    }

    @Test
    void sendsToASearcherThatDrainsOrIsRemovedInTheSameTickAreWithdrawn() {
        for (EndpointState newState : List.of(EndpointState.DRAINING, EndpointState.REMOVED)) {
            fixture.changeEndpoints(EndpointListKind.CHANGES, searcher("s", "h:1"));
            fixture.now += 100;
            fixture.tick(
                    arrival((long) fixture.now, 1),
                    new Event.EndpointsChanged(
                            EndpointListKind.CHANGES, List.of(searcher("s", "h:1", 0, newState))));
            assertEquals(List.of(), fixture.calls(), newState.name());
        }
    }
}
