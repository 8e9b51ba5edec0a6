package reeldeal.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.ShardRequest;

/**
 * The queries in flight and their shard requests. After its query has ended, a shard request is
 * kept until all of its attempts have an outcome.
 */
final class QueryTable {
    private final Map<Long, QueryState> queries = new HashMap<>();
    private final Map<Integer, QueryState> byTimerToken = new HashMap<>();
    private final Map<Long, ShardRequestState> shardRequests = new HashMap<>();
    private int unitsInFlight;
    private int largestQueryUnits;
    private int nextTimerToken = 1;

    /** Adds a query with the shard requests of its query phase. */
    QueryState add(Query query, QueryClass queryClass, List<ShardRequest> requests) {
        QueryState state = new QueryState(query, queryClass, nextTimerToken++);
        queries.put(query.id(), state);
        byTimerToken.put(state.timerToken, state);
        unitsInFlight++;
        addToPhase(state, requests);
        largestQueryUnits = Math.max(largestQueryUnits, 1 + state.shardRequests.size());
        return state;
    }

    /** Adds shard requests to a query's current phase; those with an id in use are ignored. */
    void addToPhase(QueryState query, List<ShardRequest> requests) {
        for (ShardRequest request : requests) {
            ShardRequestState state = new ShardRequestState(request, query);
            if (shardRequests.putIfAbsent(request.id(), state) == null) {
                query.phaseRequests.add(state);
                query.shardRequests.add(state);
                unitsInFlight++;
            }
        }
    }

    /** Removes a query that has ended, and those of its shard requests that are not in flight. */
    void remove(QueryState query) {
        unitsInFlight -= 1 + query.shardRequests.size();
        queries.remove(query.query.id());
        byTimerToken.remove(query.timerToken);
        for (ShardRequestState shardRequest : query.shardRequests) {
            removeIfIdle(shardRequest);
        }
    }

    /** Removes a shard request of an ended query if none of its attempts is in flight. */
    void removeIfIdle(ShardRequestState shardRequest) {
        if (shardRequest.inFlight == 0) {
            shardRequests.remove(shardRequest.request.id());
        }
    }

    /** Returns the query with this id, or null. */
    QueryState find(long query) {
        return queries.get(query);
    }

    /** Returns the query with this timer token, or null. */
    QueryState findByTimerToken(int token) {
        return byTimerToken.get(token);
    }

    /** Returns the shard request with this id, or null. */
    ShardRequestState findShardRequest(long shardRequest) {
        return shardRequests.get(shardRequest);
    }

    /** Returns the number of queries in flight. */
    int size() {
        return queries.size();
    }

    /** Returns the number of queries and shard requests, as {@code maxInFlight} counts them. */
    int unitsInFlight() {
        return unitsInFlight;
    }

    /** Returns the size of the largest query so far, in units, when it was added. */
    int largestQueryUnits() {
        return largestQueryUnits;
    }

    /** Returns the number of shard requests of a cell that wait for an available replica. */
    long waitingInCell(int cell, ServerRegistry registry) {
        long count = 0;
        for (QueryState query : queries.values()) {
            for (ShardRequestState shardRequest : query.phaseRequests) {
                boolean inCell = registry.cellOf(shardRequest.request.shard()) == cell;
                count += inCell && !shardRequest.done && shardRequest.inFlight == 0 ? 1 : 0;
            }
        }
        return count;
    }
}
