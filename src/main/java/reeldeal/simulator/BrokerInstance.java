package reeldeal.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.decision.DecisionEngine;
import reeldeal.decision.DecisionModule;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.ShardRequest;

/**
 * One simulated broker. A query and its shard requests arrive as separate records. They are
 * collected here until another record arrives that does not belong to them, or the batch ends, and
 * are then submitted to the decision module together.
 */
final class BrokerInstance implements DecisionModule.Actions {
    /** A query for which shard requests of the present or the next phase may still arrive. */
    private static final class OpenQuery {
        final long id;
        int remainingAnswers;

        OpenQuery(long id, int remainingAnswers) {
            this.id = id;
            this.remainingAnswers = remainingAnswers;
        }
    }

    private final int number;
    private final ActionWriter out;
    private final Settings settings;
    private final Map<Float, OpenQuery> openQueriesByDemand = new HashMap<>();
    private final Map<Long, Float> demandByQueryId = new HashMap<>();
    private final List<ShardRequest> pendingShardRequests = new ArrayList<>();
    private final DecisionModule module;
    private Query pendingQuery;
    private float currentDemand;

    BrokerInstance(int number, ActionWriter out, double now, Settings settings) {
        this.number = number;
        this.out = out;
        this.settings = settings;
        this.module = new DecisionEngine(now, settings, this);
    }

    /** Submits the collected records and returns the decision module. */
    DecisionModule module(double now) {
        submitPending(now);
        return module;
    }

    /** Adds a query, whose shard requests follow. */
    void addQuery(double now, float demand, Query query) {
        submitPending(now);
        pendingQuery = query;
        currentDemand = demand;
        boolean hasFetchPhase = settings.classes().get(query.classIndex()).fetchShards() > 0;
        openQueriesByDemand.put(demand, new OpenQuery(query.id(), hasFetchPhase ? 2 : 1));
        demandByQueryId.put(query.id(), demand);
    }

    /** Adds a shard request of the preceding query, or of a fetch phase. */
    void addShardRequest(double now, float demand, ShardRequest shardRequest) {
        if (demand != currentDemand) {
            submitPending(now);
            currentDemand = demand;
        }
        pendingShardRequests.add(shardRequest);
    }

    /**
     * Passes the query or the fetch phase whose shard requests have been collected to the decision
     * module; does nothing if nothing has been collected.
     */
    void submitPending(double now) {
        if (pendingQuery == null && pendingShardRequests.isEmpty()) {
            return;
        }
        Query query = pendingQuery;
        List<ShardRequest> shardRequests = List.copyOf(pendingShardRequests);
        OpenQuery openQuery = openQueriesByDemand.get(currentDemand);
        pendingQuery = null;
        pendingShardRequests.clear();
        if (query != null) {
            module.query(now, query, shardRequests);
        } else if (openQuery != null) {
            module.fetchPhase(now, openQuery.id, shardRequests);
        }
    }

    /** Removes the state of a query that has ended. */
    void removeQuery(long query) {
        Float demand = demandByQueryId.remove(query);
        if (demand != null) {
            openQueriesByDemand.remove(demand);
        }
    }

    @Override
    public void send(long shardRequest, long server, double timeoutMs) {
        out.send(number, shardRequest, server, timeoutMs);
    }

    @Override
    public void cancel(long shardRequest, int attempt) {
        out.cancel(number, shardRequest, attempt);
    }

    @Override
    public void answer(long query, boolean complete) {
        out.answer(number, query, complete);
        Float demand = demandByQueryId.get(query);
        if (demand != null && --openQueriesByDemand.get(demand).remainingAnswers == 0) {
            removeQuery(query);
        }
    }

    @Override
    public void reject(long query, double retryAfterMs) {
        out.reject(number, query, retryAfterMs);
        removeQuery(query);
    }

    @Override
    public void fail(long query) {
        out.fail(number, query);
        removeQuery(query);
    }

    @Override
    public void scheduleTimer(double delayMs, int token) {
        out.scheduleTimer(number, delayMs, token);
    }

    @Override
    public void probe(long server) {
        out.probe(number, server);
    }

    @Override
    public void subscribe() {
        out.subscribe(number);
    }

    @Override
    public void log(String line) {
        out.log(number, line);
    }
}
