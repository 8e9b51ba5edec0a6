package reeldeal.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Limits;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.Tenant;

/** A reducer with one query class, and a clock that the test sets. */
final class ReducerFixture {
    final Reducer reducer;

    /** The effects of the last tick. */
    final List<Effect> effects = new ArrayList<>();

    double now;

    /** Creates a reducer whose endpoint list has these searchers. */
    ReducerFixture(Settings settings, Searcher... searchers) {
        reducer = new Reducer(0, settings, List.of("a"), List.of(), Set.of());
        changeEndpoints(EndpointListKind.COMPLETE, searchers);
    }

    static Settings settings(QueryClass queryClass, Tenant... tenants) {
        return new Settings(
                7,
                0,
                1,
                0,
                5,
                false,
                new Layout(1, 1, 2, 68),
                List.of(queryClass),
                List.of(tenants),
                0.1,
                new Limits(4, false, true, false, 20, 1000),
                new Rules(500, 0.18, 18000, 2.5, 3000, 0, 0, 0, 10000),
                List.of());
    }

    static QueryClass queryClass(
            RepeatSafety repeatSafety, double deduplicationWindowMs, int fetchShards) {
        return new QueryClass(
                1000, 0, 3000, 1, 0.5, repeatSafety, deduplicationWindowMs, 1, 1, 0.9, fetchShards);
    }

    static Searcher searcher(String name, String address, double startedMs, EndpointState state) {
        return new Searcher(name, address, "a", "", 0, startedMs, 1, state);
    }

    static Searcher searcher(String name, String address) {
        return searcher(name, address, 0, EndpointState.READY);
    }

    static Request request(long id, String name, double deadlineMs, int shards) {
        List<Request.ShardRequest> shardRequests = new ArrayList<>();
        for (int shard = 0; shard < shards; shard++) {
            shardRequests.add(new Request.ShardRequest(shard, 1.0 / shards, 0));
        }
        return new Request(id, name, 0, null, deadlineMs, false, "x", shardRequests);
    }

    static Event arrival(long id, int shards) {
        return new Event.Arrived(request(id, "q" + id, 2000, shards));
    }

    static Event ended(long shardRequestId, int attempt, AttemptEnd end) {
        return new Event.AttemptEnded(shardRequestId, attempt, end, new double[0]);
    }

    /** Runs one tick at the present time. */
    void tick(Event... events) {
        effects.clear();
        effects.addAll(reducer.tick(now, List.of(events)));
    }

    void tickAt(double time, Event... events) {
        now = time;
        tick(events);
    }

    void changeEndpoints(EndpointListKind kind, Searcher... searchers) {
        tick(new Event.EndpointsChanged(kind, List.of(searchers)));
    }

    /** Returns the effects of the last tick that are of this type. */
    <T extends Effect> List<T> effectsOf(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<Effect.Call> calls() {
        return effectsOf(Effect.Call.class);
    }

    List<Effect.Answer> answers() {
        return effectsOf(Effect.Answer.class);
    }
}
