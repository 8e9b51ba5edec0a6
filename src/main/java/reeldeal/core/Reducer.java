package reeldeal.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reeldeal.decision.DecisionEngine;
import reeldeal.decision.DecisionModule;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.ShardRequest;
import reeldeal.decision.EjectionView;

/**
 * The state machine of a broker, and the only place where its state changes: it handles the events
 * of one tick and returns the effects to be performed. It hosts the decision module, numbers
 * attempts, forms calls, begins fetch phases, and ensures that each request gets exactly one final
 * answer before its deadline. Used only by the broker's event-loop thread; it reads no clock and
 * does no I/O.
 */
public final class Reducer implements DecisionModule.Actions {
    /** Fronts do not know the tenant of a request, so that requests count for no tenant's quota. */
    private static final int NO_TENANT = -1;

    private static final double[] NO_LOAD_REPORT = new double[0];

    private final Settings settings;
    private final Set<String> wholeCallKinds;
    private final DecisionEngine engine;
    private final SendRules sendRules;
    private final RequestTable requests = new RequestTable();
    private final RequestNames names = new RequestNames();
    private final SearcherDirectory searchers;
    private final SearcherStats searcherStats;
    private final OutgoingCalls outgoing;

    /**
     * Ends of attempts that were not sent. They are handled after the events of the tick, because
     * the engine must not be called while it is calling {@link DecisionModule.Actions}.
     */
    private final List<Event.AttemptEnded> unsentEnds = new ArrayList<>();

    private List<Effect> effects = new ArrayList<>();
    private double now;

    /**
     * Creates a reducer without requests and searchers.
     *
     * @param now present time of the broker's clock, in milliseconds
     * @param settings settings of the decision module
     * @param zones names of the zones, in the order of their indexes in the settings
     * @param kinds names of the kinds of searchers, in the order of their indexes in the settings
     * @param wholeCallKinds the kinds of searchers whose protocol can abandon only whole calls
     */
    public Reducer(
            double now,
            Settings settings,
            List<String> zones,
            List<String> kinds,
            Set<String> wholeCallKinds) {
        this.now = now;
        this.settings = settings;
        this.wholeCallKinds = Set.copyOf(wholeCallKinds);
        this.engine = new DecisionEngine(now, settings, this);
        this.sendRules = new SendRules(settings);
        this.searchers = new SearcherDirectory(zones, kinds);
        this.searcherStats = new SearcherStats(engine, searchers);
        this.outgoing = new OutgoingCalls(settings.layout().maxShardsPerCall());
    }

    /**
     * Handles the events of one tick.
     *
     * @param time milliseconds of the broker's clock; a time before that of the last tick is
     *     ignored
     * @param events the events, in the order in which they occurred
     * @return the effects to be performed, in order
     */
    public List<Effect> tick(double time, List<Event> events) {
        now = Math.max(now, time);
        for (Event event : events) {
            handleIsolated(event);
        }
        while (!unsentEnds.isEmpty()) {
            List<Event> ended = List.copyOf(unsentEnds);
            unsentEnds.clear();
            ended.forEach(this::handleIsolated);
        }
        // Calls come last, so that abandonments reach a searcher before new shard requests.
        outgoing.drainTo(effects, searchers);
        List<Effect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    /** Returns the number of requests that have no final answer yet. */
    public int openRequests() {
        return requests.size();
    }

    /**
     * Returns the names of the searchers that the decision module has ejected for their failures.
     */
    public Set<String> ejected() {
        return searchers.namesOf(EjectionView.ejectedServerIds(engine));
    }

    /** Returns the decision module's observations of searchers, by their names. */
    public Map<String, Event.ImportedServerStats> exportStats() {
        return searcherStats.exportStats();
    }

    /** Returns the number of entries kept for searchers and request names, to test for leaks. */
    int retainedEntries() {
        return searchers.size() + names.size();
    }

    // ---- events ----

    /**
     * Handles an event and logs a fault. A fault must not prevent the handling of the other events;
     * the request concerned still ends at its deadline.
     */
    private void handleIsolated(Event event) {
        try {
            handle(event);
        } catch (RuntimeException e) {
            Object location = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?";
            String name = event.getClass().getSimpleName();
            log("fault on " + name + ": " + e + " at " + location);
        }
    }

    private void handle(Event event) {
        if (event instanceof Event.Arrived arrived) {
            onArrived(arrived.request());
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            onClientDisconnected(disconnected.requestId());
        } else if (event instanceof Event.AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof Event.AttemptOverdue overdue) {
            onAttemptOverdue(overdue);
        } else if (event instanceof Event.Probed probed) {
            onProbed(probed);
        } else if (event instanceof Event.EndpointsChanged changed) {
            onEndpointsChanged(
                    changed.kind(), searchers.update(changed.kind(), changed.entries(), now));
        } else if (event instanceof Event.ServerStatsImported imported) {
            searcherStats.importStats(imported.stats(), now);
        } else if (event instanceof Event.AdmissionQuotaChanged quota) {
            onAdmissionQuotaChanged(quota);
        } else if (event instanceof Event.TimerDue timer) {
            engine.timer(now, timer.token());
        } else if (event instanceof Event.FetchPhaseDue due) {
            onFetchPhaseDue(due.requestId());
        } else if (event instanceof Event.DeadlineDue due) {
            onDeadlineDue(due.requestId());
        }
    }

    private void onArrived(Request request) {
        if (requests.find(request.id()) != null) {
            return;
        }
        if (names.inUse(request.name(), now)) {
            answerDirectly(request, new Reply.Invalid("the request's id is in use"));
            return;
        }
        if (requests.unitsInFlight() >= settings.limits().maxInFlight()) {
            // Beyond the limit in the settings a request does not reach the decision module.
            answerDirectly(request, new Reply.Rejected(settings.limits().maxRetryAfterMs()));
            return;
        }
        PendingRequest pending = requests.add(request);
        names.reserve(request.name());
        List<ShardRequest> shardRequests = new ArrayList<>();
        for (Request.ShardRequest shard : request.shards()) {
            shardRequests.add(addShardRequest(pending, shard.shard(), shard.weight(), shard.key()));
        }
        double untilDeadlineMs = request.deadlineMs() - now - settings.tickMs();
        schedule(untilDeadlineMs, new Event.DeadlineDue(request.id()));
        engine.query(now, toQuery(request), shardRequests);
    }

    private static Query toQuery(Request request) {
        return new Query(
                request.id(),
                request.classIndex(),
                NO_TENANT,
                0,
                request.deadlineMs(),
                request.retry(),
                request.firstSentAtMs());
    }

    private ShardRequest addShardRequest(
            PendingRequest pending, int shard, double weight, long key) {
        long id = requests.addShardRequest(pending, shard).id;
        return new ShardRequest(id, shard, weight, key);
    }

    private void onClientDisconnected(long requestId) {
        PendingRequest pending = requests.find(requestId);
        if (pending != null) {
            close(pending);
            engine.clientDisconnected(now, requestId);
        }
    }

    private void onAttemptEnded(Event.AttemptEnded event) {
        int number = event.attempt();
        PendingShardRequest shardRequest = requests.findShardRequest(event.shardRequestId());
        if (shardRequest == null || !shardRequest.isInFlight(number)) {
            return;
        }
        shardRequest.endAttempt(number, event.end());
        requests.removeIfIdle(shardRequest);
        releaseNameIfOver(shardRequest.parent);
        double elapsedMs = now - shardRequest.attempts.get(number).startedAtMs;
        engine.outcome(
                now, shardRequest.id, number, event.end().outcome(), elapsedMs, event.load());
    }

    private void onAttemptOverdue(Event.AttemptOverdue event) {
        PendingShardRequest shardRequest = requests.findShardRequest(event.shardRequestId());
        if (shardRequest != null && shardRequest.isInFlight(event.attempt())) {
            effects.add(new Effect.Abandon(event.shardRequestId(), event.attempt(), true));
        }
    }

    private void onProbed(Event.Probed event) {
        Long id = searchers.findId(event.searcher());
        if (id != null) {
            engine.probeOutcome(now, id, event.outcome(), event.elapsedMs(), event.load());
        }
    }

    private void onEndpointsChanged(EndpointListKind kind, SearcherDirectory.Change change) {
        for (SearcherDirectory.Stopped stopped : change.stopped()) {
            effects.add(new Effect.StopSending(stopped.searcher()));
            if (stopped.withdrawSends()) {
                for (Effect.Send unsent : outgoing.withdrawAll(stopped.id())) {
                    endUnsent(unsent.shardRequestId(), unsent.attempt());
                }
            }
        }
        engine.servers(now, kind, change.servers());
        searcherStats.importPending(now);
    }

    private void onAdmissionQuotaChanged(Event.AdmissionQuotaChanged quota) {
        engine.recoveryAdmission().setQuota(quota.share(), quota.retryAfterMs());
        engine.recoveryAdmission().setBrokerCounts(settings.brokers(), quota.brokers());
        if (searchers.assumeRestart(quota.restartedAtMs(), quota.restartedZone())) {
            onEndpointsChanged(EndpointListKind.CHANGES, searchers.reapply());
        }
    }

    /** Begins the fetch phase, at the shards with the highest scores in the query phase. */
    private void onFetchPhaseDue(long requestId) {
        PendingRequest pending = requests.find(requestId);
        if (pending == null || pending.queryPhase == null || pending.fetchPhaseBegun) {
            return;
        }
        pending.fetchPhaseBegun = true;
        List<PendingShardRequest> best = pending.bestAnswers(fetchShards(pending));
        pending.currentPhase.forEach(this::complete);
        pending.currentPhase.clear();
        List<ShardRequest> shardRequests = new ArrayList<>();
        for (PendingShardRequest queried : best) {
            long key = pending.keyOfShard(queried.shard);
            shardRequests.add(addShardRequest(pending, queried.shard, 1.0 / best.size(), key));
        }
        engine.fetchPhase(now, requestId, shardRequests);
    }

    private int fetchShards(PendingRequest pending) {
        return settings.classes().get(pending.request.classIndex()).fetchShards();
    }

    /** Answers a request that the decision module has left without an answer at its deadline. */
    private void onDeadlineDue(long requestId) {
        PendingRequest pending = requests.find(requestId);
        if (pending != null) {
            end(pending, new Reply.Failed("time is up"));
            engine.clientDisconnected(now, requestId);
        }
    }

    // ---- actions of the decision module ----

    @Override
    public void send(long shardRequestId, long server, double timeoutMs) {
        PendingShardRequest shardRequest = requests.findShardRequest(shardRequestId);
        if (shardRequest == null) {
            return;
        }
        double sendByMs = sendRules.sendByMs(shardRequest);
        int attempt = shardRequest.startAttempt(now);
        if (searchers.find(server) == null || !sendRules.maySend(shardRequest, attempt)) {
            String attemptLabel = "attempt " + attempt + " of shard request " + shardRequestId;
            log(attemptLabel + " not sent: searcher not listed, or not allowed by the send rules");
            endUnsent(shardRequestId, attempt);
            return;
        }
        PendingRequest pending = shardRequest.parent;
        double remainingMs = pending.request.deadlineMs() - now;
        double waitMs =
                Math.max(0, timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs));
        outgoing.add(
                server,
                new Effect.Send(
                        shardRequestId,
                        attempt,
                        pending.request,
                        shardRequest.shard,
                        now + waitMs,
                        sendByMs,
                        pending.queryPhase));
        schedule(waitMs, new Event.AttemptOverdue(shardRequestId, attempt));
    }

    @Override
    public void cancel(long shardRequestId, int attempt) {
        PendingShardRequest shardRequest = requests.findShardRequest(shardRequestId);
        if (shardRequest != null && shardRequest.isInFlight(attempt)) {
            effects.add(new Effect.Abandon(shardRequestId, attempt, false));
        }
    }

    @Override
    public boolean cancelsWholeCalls(long server) {
        Searcher searcher = searchers.find(server);
        return searcher != null && wholeCallKinds.contains(searcher.kind());
    }

    @Override
    public void answer(long query, boolean complete) {
        PendingRequest pending = requests.find(query);
        if (pending == null) {
            return;
        }
        if (fetchShards(pending) > 0 && pending.queryPhase == null) {
            List<Integer> shards =
                    pending.answered().stream()
                            .map(shardRequest -> shardRequest.shard)
                            .sorted()
                            .toList();
            pending.queryPhase = new Effect.QueryPhaseResult(shards, complete);
            schedule(0, new Event.FetchPhaseDue(query));
            return;
        }
        end(pending, pending.reply(complete));
    }

    @Override
    public void reject(long query, double retryAfterMs) {
        PendingRequest pending = requests.find(query);
        if (pending != null) {
            end(pending, new Reply.Rejected(retryAfterMs));
        }
    }

    @Override
    public void fail(long query) {
        PendingRequest pending = requests.find(query);
        if (pending != null) {
            end(pending, new Reply.Failed("not served"));
        }
    }

    @Override
    public void scheduleTimer(double delayMs, int token) {
        schedule(delayMs, new Event.TimerDue(token));
    }

    @Override
    public void probe(long server) {
        Searcher searcher = searchers.find(server);
        if (searcher != null) {
            effects.add(new Effect.Probe(searcher));
        }
    }

    /** Does nothing, because the discovery of a broker always watches the endpoint list. */
    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {
        effects.add(new Effect.Log(line));
    }

    // ---- completion of requests and attempts ----

    private void answerDirectly(Request request, Reply reply) {
        effects.add(new Effect.Answer(request.id(), reply));
    }

    private void end(PendingRequest pending, Reply reply) {
        close(pending);
        effects.add(new Effect.Answer(pending.request.id(), reply));
    }

    private void close(PendingRequest pending) {
        requests.remove(pending);
        pending.closed = true;
        pending.currentPhase.forEach(this::complete);
        releaseNameIfOver(pending);
    }

    private void releaseNameIfOver(PendingRequest pending) {
        if (pending.isOver()) {
            names.release(pending.request.name(), now, pending.request.deadlineMs());
        }
    }

    /** Completes a shard request, and withdraws its attempts that are not written yet. */
    private void complete(PendingShardRequest shardRequest) {
        shardRequest.completed = true;
        for (int attempt = 0; attempt < shardRequest.attempts.size(); attempt++) {
            if (!shardRequest.isInFlight(attempt)) {
                continue;
            }
            if (outgoing.withdraw(shardRequest.id, attempt)) {
                endUnsent(shardRequest.id, attempt);
            } else {
                effects.add(new Effect.Withdraw(shardRequest.id, attempt));
            }
        }
        requests.removeIfIdle(shardRequest);
    }

    private void endUnsent(long shardRequestId, int attempt) {
        unsentEnds.add(
                new Event.AttemptEnded(
                        shardRequestId, attempt, new AttemptEnd.NeverSent(), NO_LOAD_REPORT));
    }

    private void schedule(double delayMs, Event event) {
        effects.add(new Effect.ScheduleTimer(delayMs, event));
    }
}
