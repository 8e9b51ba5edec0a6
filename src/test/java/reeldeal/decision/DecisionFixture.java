package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Limits;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;
import reeldeal.decision.DecisionModule.Server;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.ShardRequest;
import reeldeal.decision.DecisionModule.Tenant;

/**
 * Runs an engine in virtual time and records its actions. A test may change the settings before
 * {@link #start}. Times are in milliseconds.
 */
final class DecisionFixture implements DecisionModule.Actions {
    /** An attempt that the engine sent. */
    record Sent(
            double sentAtMs, long shardRequest, long server, double timeoutMs, int attemptNumber) {}

    /** The result of a query: "complete", "partial", "rejected" or "failed". */
    record Result(double atMs, long query, String outcome) {}

    /** A timer that is not due yet. */
    record Timer(double dueAtMs, int token) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Result> results = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<String> transcript = new ArrayList<>();
    double now = 1000;
    long seed = 7;
    int cells = 4;
    int replicas = 1;
    int maxShardsPerCall = 8;
    int brokers = 1;
    double callWorkMs = 50;
    int maxAttempts = 3;
    boolean hedging = true;
    boolean cancel = true;
    boolean cancelsWholeCalls;
    int maxInFlight = 1000;
    Rules rules = new Rules(250, 0.25, 10000, 2, 2000, 5, 0.2, 5000, 10000);
    List<QueryClass> classes = new ArrayList<>(List.of(queryClass(RepeatSafety.IDEMPOTENT, 1, 1)));
    List<Tenant> tenants = List.of();
    DecisionEngine engine;

    static QueryClass queryClass(
            RepeatSafety repeatSafety, double completeShare, double minimumShare) {
        return new QueryClass(
                1000, 0, 3000, 1, 0, repeatSafety, 2000, completeShare, minimumShare, 0.9, 0);
    }

    Settings settings() {
        return new Settings(
                seed,
                0,
                brokers,
                0,
                5,
                false,
                new Layout(cells, replicas, maxShardsPerCall, callWorkMs),
                classes,
                tenants,
                0.1,
                new Limits(maxAttempts, hedging, cancel, false, maxInFlight, 1000),
                rules,
                List.of());
    }

    /**
     * Starts the engine with {@code serversPerCell} ready servers in each cell: cell c has the
     * servers 10c, 10c + 1 and so on.
     */
    DecisionFixture start(int serversPerCell) {
        engine = new DecisionEngine(now, settings(), this);
        List<Server> servers = new ArrayList<>();
        for (int cell = 0; cell < cells; cell++) {
            for (int i = 0; i < serversPerCell; i++) {
                servers.add(server(10 * cell + i, cell, 0, EndpointState.READY));
            }
        }
        engine.servers(now, EndpointListKind.CACHED, servers);
        return this;
    }

    /** Returns a fixture with three servers per cell and typical latencies for four shards. */
    static DecisionFixture warmedUp() {
        DecisionFixture fixture = new DecisionFixture();
        fixture.start(3);
        fixture.establishTypicalLatency(40, 0, 1, 2, 3);
        return fixture;
    }

    static Server server(long id, int cell, double startedMs, EndpointState state) {
        return new Server(id, 0, cell, startedMs, 1, 0, state);
    }

    void changeServers(Server... servers) {
        engine.servers(now, EndpointListKind.CHANGES, List.of(servers));
    }

    /** Submits a query of class 0; its shard requests have the ids 100 x query + shard. */
    void submit(long id, int... shards) {
        submit(id, 0, now + 3000, shards);
    }

    void submit(long id, int classIndex, double deadlineMs, int... shards) {
        List<ShardRequest> shardRequests = new ArrayList<>();
        for (int shard : shards) {
            shardRequests.add(new ShardRequest(100 * id + shard, shard, 1.0 / shards.length, 0));
        }
        engine.query(now, new Query(id, classIndex, 0, 5, deadlineMs, false), shardRequests);
    }

    void complete(long shardRequest, int attemptNumber, Outcome outcome, double elapsedMs) {
        engine.outcome(now, shardRequest, attemptNumber, outcome, elapsedMs, new double[0]);
    }

    /** Advances the time and delivers the timers that become due. */
    void advance(double durationMs) {
        double untilMs = now + durationMs;
        while (true) {
            Timer next = null;
            for (Timer timer : timers) {
                if (timer.dueAtMs <= untilMs && (next == null || timer.dueAtMs < next.dueAtMs)) {
                    next = timer;
                }
            }
            if (next == null) {
                now = untilMs;
                return;
            }
            timers.remove(next);
            now = Math.max(now, next.dueAtMs);
            engine.timer(now, next.token);
        }
    }

    /**
     * Establishes a typical latency of 100 ms by queries to the given shards that are answered
     * after that time, with a pause between them.
     */
    void establishTypicalLatency(int rounds, int... shards) {
        for (int i = 0; i < rounds; i++) {
            long id = 900_000 + i + (long) (now * 100);
            int sentBefore = sent.size();
            submit(id, shards);
            advance(100);
            for (Sent send : List.copyOf(sent.subList(sentBefore, sent.size()))) {
                complete(send.shardRequest, send.attemptNumber, Outcome.OK, 100);
            }
            advance(50);
        }
    }

    List<Sent> sendsOf(long query) {
        return sent.stream().filter(send -> send.shardRequest / 100 == query).toList();
    }

    String resultOf(long query) {
        return results.stream()
                .filter(result -> result.query == query)
                .map(Result::outcome)
                .reduce("", String::concat);
    }

    /** Records an action; a stored digest depends on these texts, so they must not change. */
    private void recordAction(String action) {
        transcript.add(now + " " + action);
    }

    @Override
    public void send(long shardRequest, long server, double timeoutMs) {
        int attemptNumber =
                (int) sent.stream().filter(send -> send.shardRequest == shardRequest).count();
        sent.add(new Sent(now, shardRequest, server, timeoutMs, attemptNumber));
        recordAction("send " + shardRequest + " " + server + " " + timeoutMs);
    }

    @Override
    public void cancel(long shardRequest, int attemptNumber) {
        cancelled.add(shardRequest + "/" + attemptNumber);
        recordAction("cancel " + shardRequest + " " + attemptNumber);
    }

    @Override
    public boolean cancelsWholeCalls(long server) {
        return cancelsWholeCalls;
    }

    @Override
    public void answer(long query, boolean complete) {
        results.add(new Result(now, query, complete ? "complete" : "partial"));
        recordAction("answer " + query + " " + complete);
    }

    @Override
    public void reject(long query, double retryAfterMs) {
        results.add(new Result(now, query, "rejected"));
        recordAction("refuse " + query);
    }

    @Override
    public void fail(long query) {
        results.add(new Result(now, query, "failed"));
        recordAction("fail " + query);
    }

    @Override
    public void scheduleTimer(double delayMs, int token) {
        timers.add(new Timer(now + Math.max(delayMs, 5), token));
        recordAction("wake " + delayMs + " " + token);
    }

    @Override
    public void probe(long server) {
        recordAction("probe " + server);
    }

    @Override
    public void subscribe() {
        recordAction("subscribe");
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
