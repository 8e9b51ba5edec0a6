package reeldeal.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Makes the decisions of one broker. This class receives the events in order and delegates each
 * decision to another class of this package; see {@link DecisionModule} for the events and actions.
 * Confined to one thread, the broker's event loop. All times are in milliseconds of the events'
 * clock.
 */
public final class DecisionEngine implements DecisionModule {
    /** Retry delay after a rejection by load shedding, in latency objectives. */
    private static final double SHED_RETRY_AFTER_OBJECTIVES = 0.25;

    private final Settings settings;
    private final Actions actions;
    private final double latencyObjectiveMs;
    private final EventClock clock;
    private final ServerRegistry registry;
    private final QueryTable queries = new QueryTable();
    private final RecoveryAdmission recoveryAdmission;
    private final LatencyEstimator latency;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final ProbeLimiter probeLimiter;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final HedgingPolicy hedgingPolicy;
    private final AttemptCanceller canceller;
    private final ReplicaSelector replicaSelector;
    private final TenantQuotas tenantQuotas;
    private final AdmissionController admissionController;
    private final UnservedQueries unservedQueries;
    private final QueryTimers timers;
    private final QueryCompletion completion;

    /**
     * Creates an engine without servers and queries.
     *
     * @param now the initial time of the events' clock, in milliseconds
     * @param actions receives the engine's decisions, on the thread of the event that is handled
     *     and before the event's method returns
     */
    public DecisionEngine(double now, Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        Rules rules = settings.rules();
        Limits limits = settings.limits();
        latencyObjectiveMs = lowestObjectiveMs(settings.classes());
        clock = new EventClock(now, settings.tickMs());
        RateLimitedLog log = new RateLimitedLog(clock, actions, latencyObjectiveMs / 4);
        registry = new ServerRegistry(clock, settings.layout(), rules.slowStartMs());
        recoveryAdmission =
                new RecoveryAdmission(
                        settings.classes(), settings.seed(), limits.maxRetryAfterMs());
        latency = new LatencyEstimator(latencyObjectiveMs, settings.layout());
        outliers = new OutlierDetector(clock, latencyObjectiveMs, registry, latency, log);
        slowStart =
                new SlowStart(
                        settings, clock, latencyObjectiveMs, registry, queries, recoveryAdmission);
        probeLimiter = new ProbeLimiter(clock);
        retryBudget = new RetryBudget(clock, rules, settings.layout(), latencyObjectiveMs, log);
        retryPolicy = new RetryPolicy(clock, settings);
        hedgingPolicy = new HedgingPolicy(clock, registry, latency, outliers, limits.hedging());
        canceller = new AttemptCanceller(actions, retryPolicy);
        WaitEstimator waitEstimator =
                new WaitEstimator(clock, latencyObjectiveMs, registry, latency, slowStart, queries);
        AttemptSender sender =
                new AttemptSender(settings, clock, actions, retryBudget, probeLimiter, slowStart);
        ReplicaCandidates candidates =
                new ReplicaCandidates(
                        clock,
                        settings.layout().maxShardsPerCall(),
                        registry,
                        waitEstimator,
                        slowStart,
                        probeLimiter);
        replicaSelector = new ReplicaSelector(settings.zone(), registry, candidates, sender);
        tenantQuotas = new TenantQuotas(clock, settings.tenants(), settings.brokers());
        admissionController =
                new AdmissionController(
                        clock,
                        limits.maxInFlight(),
                        queries,
                        latency,
                        outliers,
                        waitEstimator,
                        log);
        unservedQueries = new UnservedQueries(clock, latencyObjectiveMs);
        timers = new QueryTimers(clock, settings, actions, hedgingPolicy);
        completion =
                new QueryCompletion(
                        clock, limits, actions, queries, unservedQueries, retryPolicy, timers);
        if (settings.pollEndpoints()) {
            actions.subscribe();
        }
    }

    private static double lowestObjectiveMs(List<QueryClass> classes) {
        double lowestMs = Double.POSITIVE_INFINITY;
        for (QueryClass queryClass : classes) {
            lowestMs = Math.min(lowestMs, queryClass.latencyObjectiveMs());
        }
        return lowestMs;
    }

    @Override
    public void servers(double now, EndpointListKind kind, List<Server> entries) {
        advance(now);
        if (kind == EndpointListKind.FAILED) {
            actions.scheduleTimer(latencyObjectiveMs, 0);
            return;
        }
        registry.update(kind, entries);
        outliers.onServersChanged();
        slowStart.onServersChanged();
    }

    @Override
    public void query(double now, Query query, List<ShardRequest> shardRequests) {
        advance(now);
        retryBudget.recordWork(1 + shardRequests.size());
        if (queries.find(query.id()) != null
                || query.classIndex() < 0
                || query.classIndex() >= settings.classes().size()) {
            return;
        }
        probeLimiter.recordQuery();
        QueryClass queryClass = settings.classes().get(query.classIndex());
        QueryState state = queries.add(query, queryClass, shardRequests);
        timers.setLimits(state, unservedQueries.startOf(state));
        if (!recoveryAdmission.admits(query.classIndex())) {
            completion.reject(state, recoveryAdmission.retryAfterMs());
            return;
        }
        boolean overQuota = tenantQuotas.recordQuery(query.tenant());
        if (!admissionController.admits(state, overQuota)) {
            completion.reject(state, latencyObjectiveMs * SHED_RETRY_AFTER_OBJECTIVES);
            return;
        }
        review(state);
    }

    @Override
    public void fetchPhase(double now, long query, List<ShardRequest> shardRequests) {
        advance(now);
        retryBudget.recordWork(shardRequests.size());
        QueryState state = queries.find(query);
        if (state != null && state.awaitsFetchPhase()) {
            queries.addToPhase(state, shardRequests);
            review(state);
        }
    }

    @Override
    public void outcome(
            double now,
            long shardRequest,
            int attemptNumber,
            Outcome outcome,
            double elapsedMs,
            double[] load) {
        advance(now);
        ShardRequestState state = queries.findShardRequest(shardRequest);
        if (state == null
                || attemptNumber < 0
                || attemptNumber >= state.attempts.size()
                || state.attempts.get(attemptNumber).ended) {
            return;
        }
        Attempt attempt = state.attempts.get(attemptNumber);
        attempt.server.endAttempt(attempt, outcome.neverRan());
        if (outliers.isEvidence(outcome)) {
            recordEvidence(attempt, outcome, elapsedMs);
        }
        QueryState query = state.query;
        if (query.ended) {
            queries.removeIfIdle(state);
        } else if (outcome == Outcome.OK && !state.done) {
            query.recordAnswer(state, elapsedMs);
            if (query.isComplete()) {
                completion.answer(query);
            }
        } else if (!state.done) {
            review(query);
        }
    }

    private void recordEvidence(Attempt attempt, Outcome outcome, double elapsedMs) {
        double typicalMs = latency.typicalMs(attempt.position);
        if (outcome == Outcome.OK) {
            latency.record(attempt.position, elapsedMs);
            slowStart.recordCompleted(attempt);
        }
        outliers.recordOutcome(attempt, outcome, elapsedMs, typicalMs);
    }

    @Override
    public void probeOutcome(
            double now, long server, Outcome outcome, double elapsedMs, double[] load) {
        advance(now);
    }

    @Override
    public void clientDisconnected(double now, long query) {
        advance(now);
        QueryState state = queries.find(query);
        if (state != null) {
            completion.end(state);
        }
    }

    @Override
    public void timer(double now, int token) {
        advance(now);
        QueryState query = queries.findByTimerToken(token);
        if (query != null) {
            query.timerAtMs = Double.POSITIVE_INFINITY;
            if (clock.now() < query.nextReviewAtMs) {
                timers.schedule(query);
            } else {
                review(query);
            }
        } else if (token == 0 && settings.pollEndpoints()) {
            actions.subscribe();
        }
    }

    /**
     * Returns the limiter of admitted queries while a fleet recovers from an outage. It may be used
     * only by the engine's thread.
     */
    public RecoveryAdmission recoveryAdmission() {
        return recoveryAdmission;
    }

    /** Returns the servers, for the classes of this package that export observations of them. */
    ServerRegistry registry() {
        return registry;
    }

    private void advance(double now) {
        clock.advance(now, queries.unitsInFlight() > 0);
    }

    /**
     * Sends the shard requests of a query that are unsent, failed or overdue, or ends the query if
     * it is complete or its time is up.
     */
    private void review(QueryState query) {
        if (query.ended) {
            return;
        }
        if (!query.awaitsFetchPhase() && query.isComplete()) {
            completion.answer(query);
            return;
        }
        if (completion.mustEnd(query)) {
            completion.expire(query);
            return;
        }
        outliers.refresh();
        List<ShardRequestState> toSend = chooseAttempts(query);
        if (!toSend.isEmpty()) {
            replicaSelector.sendAll(query, toSend);
        }
        timers.scheduleReview(query);
    }

    /** Returns the shard requests that get an attempt now, within the retry budget. */
    private List<ShardRequestState> chooseAttempts(QueryState query) {
        // Queries that may be answered partially leave budget for queries that need every shard.
        double share = query.mayBePartial() ? RetryBudget.PARTIAL_SHARE : 1;
        int retries = retryBudget.remaining(share);
        int hedges = retryBudget.remaining(RetryBudget.HEDGING_SHARE * share);
        List<ShardRequestState> chosen = new ArrayList<>();
        for (ShardRequestState shardRequest : query.phaseRequests) {
            boolean idle = shardRequest.inFlight == 0;
            if (isFirstAttempt(shardRequest)) {
                chosen.add(shardRequest);
            } else if (retryPolicy.mayAttempt(shardRequest)
                    && (idle ? retries : hedges) > 0
                    && (idle || hedgeOrCancel(shardRequest, retries))) {
                chosen.add(shardRequest);
                retries--;
                hedges--;
            }
        }
        retryBudget.logChange(retries);
        return chosen;
    }

    /**
     * Returns whether the first attempt by this broker is due. If another broker may have sent the
     * shard request before, it must be safe to repeat.
     */
    private boolean isFirstAttempt(ShardRequestState shardRequest) {
        return shardRequest.attempts.isEmpty()
                && (shardRequest.query.query.firstSentAtMs() > clock.now()
                        || retryPolicy.mayAttempt(shardRequest));
    }

    /**
     * Returns whether a shard request is overdue and gets a hedged request. If hedging is off, the
     * last attempt is cancelled instead, and the outcome of the cancellation triggers the retry.
     */
    private boolean hedgeOrCancel(ShardRequestState shardRequest, int retries) {
        if (!hedgingPolicy.isOverdue(shardRequest)) {
            return false;
        }
        if (settings.limits().hedging()) {
            return true;
        }
        if (settings.limits().cancel()) {
            int lastNumber = shardRequest.attempts.size() - 1;
            canceller.cancel(shardRequest.attempts.get(lastNumber), retries);
        }
        return false;
    }
}
