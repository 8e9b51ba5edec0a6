package reeldeal.decision;

import java.util.List;

/**
 * Makes the decisions of one broker of a sharded search service: it receives events and responds
 * with {@link Actions}.
 *
 * <p>One instance serves one broker and is used by one thread, which also runs the actions, before
 * the method for the event that causes them returns. Times are in milliseconds of any clock that
 * never goes back; an event with an earlier time is handled as if it happened at the latest time
 * seen. All events of one tick carry the same time; the shard requests that are sent to one server
 * within a tick travel in one call. Events about unknown queries, shard requests, attempts or
 * servers are ignored.
 */
public interface DecisionModule {

    /** The effect of executing a shard request a second time. */
    enum RepeatSafety {
        /** A second execution does no harm. */
        IDEMPOTENT,
        /**
         * A second execution is prevented while the servers remember the idempotency key and drop
         * the repeat.
         */
        IDEMPOTENT_WITH_KEY,
        /** A second execution does harm: a retry is sent only if the first provably did not run. */
        NOT_IDEMPOTENT
    }

    /** The way in which an attempt or a probe ended. */
    enum Outcome {
        /** The server answered. */
        OK,
        /** The server answered with an error; the shard request may have run. */
        ERROR,
        /** The server rejected the shard request before doing any work. */
        REJECTED,
        /** No answer came within the timeout. */
        TIMEOUT,
        /** No connection could be opened, or it failed before the whole request was written. */
        CONNECT_FAILED,
        /** The connection broke after the request was written. */
        RESET,
        /** Cancelled by {@link Actions#cancel}. */
        CANCELLED,
        /** The broker did not send the attempt, so this is no evidence about the server. */
        NEVER_SENT;

        /** Returns whether this outcome proves that the shard request did not run. */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == NEVER_SENT;
        }
    }

    /** The contents of an endpoint list event. */
    enum EndpointListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** The complete list. */
        COMPLETE,
        /** A complete list that may be stale. */
        CACHED,
        /** No entries: the list could not be fetched. */
        FAILED
    }

    /** The state of a server in the endpoint list. */
    enum EndpointState {
        /** The server may get work. */
        READY,
        /** The server completes the work it has and gets no new work. */
        DRAINING,
        /** The server is no longer listed. */
        REMOVED
    }

    /**
     * One server's entry in the endpoint list.
     *
     * @param id stable for a server, also across restarts of its process
     * @param zone index of its zone
     * @param cell the cell whose shards it holds, from 0
     * @param startedMs when its process started, in milliseconds of the events' clock; 0 if it
     *     started long ago
     * @param size capacity relative to other servers
     * @param kind index of its kind
     * @param state whether it may get work
     */
    record Server(
            long id,
            int zone,
            int cell,
            double startedMs,
            double size,
            int kind,
            EndpointState state) {}

    /**
     * A class of queries. Shares are fractions, 0 to 1, of the total weight of a query's shard
     * requests.
     *
     * @param latencyObjectiveMs time within which an answer has its full value
     * @param latencyObjectiveStretch accepted in the settings but not used
     * @param deadlineMs time after which clients give up; not shorter than the objective
     * @param priorityWeight value of an answer within the objective, 0 or more
     * @param latePriorityWeight value of an answer between objective and deadline, 0 or more
     * @param repeatSafety the effect of a second execution
     * @param deduplicationWindowMs time for which servers remember an idempotency key
     * @param completeShare smallest share of the weight with which an answer is complete
     * @param minimumShare smallest share of the weight with which a partial answer may be given
     * @param partialWeight value of a partial answer relative to a complete one
     * @param fetchShards number of shards that the fetch phase queries; 0 if there is no fetch
     *     phase
     */
    record QueryClass(
            double latencyObjectiveMs,
            double latencyObjectiveStretch,
            double deadlineMs,
            double priorityWeight,
            double latePriorityWeight,
            RepeatSafety repeatSafety,
            double deduplicationWindowMs,
            double completeShare,
            double minimumShare,
            double partialWeight,
            int fetchShards) {}

    /**
     * A tenant.
     *
     * @param quotaPerSecond its quota in queries per second, summed over all brokers
     */
    record Tenant(double quotaPerSecond) {}

    /**
     * The limits on the actions of this broker.
     *
     * @param maxAttempts maximum number of attempts for each shard request, 1 or more
     * @param hedging whether a shard request may have several attempts in flight
     * @param cancel whether attempts may be cancelled
     * @param probe whether servers may be probed
     * @param maxInFlight maximum number of queries and shard requests in flight, 1 or more
     * @param maxRetryAfterMs longest delay that a rejected client may be given
     */
    record Limits(
            int maxAttempts,
            boolean hedging,
            boolean cancel,
            boolean probe,
            int maxInFlight,
            double maxRetryAfterMs) {}

    /**
     * Rules that all brokers of the service follow.
     *
     * @param drainGraceMs time for which a draining server would still accept work
     * @param slowStartCapacity share of its full capacity with which a server starts, above 0 to 1
     * @param slowStartMs time in which a started server reaches its full capacity
     * @param overloadFactor multiple of its present capacity that overloads a starting server
     * @param overloadWindowMs window over which such an overload is measured
     * @param freeRetries retries that are allowed in the window regardless of the work
     * @param retryRatio additional retries for each query or shard request in the window
     * @param retryWindowMs length of the retry window; 0 if no retry budget is configured
     * @param maxPollIntervalMs longest interval between two polls of the endpoint list
     */
    record Rules(
            double drainGraceMs,
            double slowStartCapacity,
            double slowStartMs,
            double overloadFactor,
            double overloadWindowMs,
            double freeRetries,
            double retryRatio,
            double retryWindowMs,
            double maxPollIntervalMs) {}

    /**
     * The placement of shards: shard s is held by the cells (s + j) mod {@code cells}, for j from 0
     * to {@code replicas} - 1.
     *
     * @param cells number of cells, 1 or more
     * @param replicas number of cells that hold each shard, at most {@code cells}
     * @param maxShardsPerCall maximum number of shard requests in one call, 1 or more
     * @param callWorkMs work that a call takes in addition to its shard requests
     */
    record Layout(int cells, int replicas, int maxShardsPerCall, double callWorkMs) {}

    /**
     * The settings with which a broker starts.
     *
     * @param seed seed of the broker's random choices
     * @param brokerIndex number of this broker, from 0
     * @param brokers number of brokers that share the load
     * @param zone index of this broker's zone
     * @param tickMs length of an event-loop tick, the resolution of all timers
     * @param pollEndpoints whether the engine subscribes to the endpoint list itself
     * @param layout the placement of shards
     * @param classes the classes of queries, by index
     * @param tenants the tenants, by index; empty if there are no quotas
     * @param overQuotaWeight value of an answer beyond a tenant's quota
     * @param limits the limits of this broker
     * @param rules the rules of the service
     * @param loadColumns names of the values in the servers' load reports
     */
    record Settings(
            long seed,
            int brokerIndex,
            int brokers,
            int zone,
            double tickMs,
            boolean pollEndpoints,
            Layout layout,
            List<QueryClass> classes,
            List<Tenant> tenants,
            double overQuotaWeight,
            Limits limits,
            Rules rules,
            List<String> loadColumns) {

        /**
         * Copies the lists and checks the ranges of the values.
         *
         * @throws SettingOutOfRangeException if a value is out of range; it names the first such
         *     setting
         */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadColumns = List.copyOf(loadColumns);
            require(brokers >= 1, "brokers");
            require(tickMs > 0, "tickMs");
            require(
                    layout.cells >= 1 && layout.replicas >= 1 && layout.replicas <= layout.cells,
                    "layout.cells");
            require(layout.maxShardsPerCall >= 1, "layout.maxShardsPerCall");
            require(layout.callWorkMs >= 0, "layout.callWorkMs");
            require(!classes.isEmpty(), "classes");
            for (QueryClass queryClass : classes) {
                require(queryClass.latencyObjectiveMs > 0, "class.latencyObjectiveMs");
                require(queryClass.deadlineMs >= queryClass.latencyObjectiveMs, "class.deadlineMs");
                require(
                        queryClass.priorityWeight >= 0 && queryClass.latePriorityWeight >= 0,
                        "class.priorityWeight");
                require(
                        queryClass.completeShare > 0 && queryClass.completeShare <= 1,
                        "class.completeShare");
                require(
                        queryClass.minimumShare > 0
                                && queryClass.minimumShare <= queryClass.completeShare,
                        "class.minimumShare");
                require(queryClass.fetchShards >= 0, "class.fetchShards");
            }
            require(limits.maxAttempts >= 1, "limits.maxAttempts");
            require(limits.maxInFlight >= 1, "limits.maxInFlight");
            require(limits.maxRetryAfterMs >= 0, "limits.maxRetryAfterMs");
            require(rules.drainGraceMs >= 0, "rules.drainGraceMs");
            require(
                    rules.slowStartCapacity > 0 && rules.slowStartCapacity <= 1,
                    "rules.slowStartCapacity");
            require(
                    rules.slowStartMs >= 0
                            && rules.overloadWindowMs >= 0
                            && rules.overloadFactor > 0,
                    "rules.overloadFactor");
            require(
                    rules.retryWindowMs >= 0 && rules.freeRetries >= 0 && rules.retryRatio >= 0,
                    "rules.retryWindowMs");
        }

        private static void require(boolean inRange, String key) {
            if (!inRange) {
                throw new SettingOutOfRangeException(key);
            }
        }
    }

    /** Thrown when the value of a setting is out of range. */
    final class SettingOutOfRangeException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        /** Name of the setting, such as {@code limits.maxAttempts}. */
        public final String setting;

        SettingOutOfRangeException(String setting) {
            super("setting out of range: " + setting);
            this.setting = setting;
        }
    }

    /**
     * A query.
     *
     * @param id identifies the query, unique among those in flight
     * @param classIndex index of its class; a query of an unknown class is ignored
     * @param tenant index of its tenant; any number that is not an index if it has no quota
     * @param key equal for equal queries, so that they prefer the same replicas
     * @param deadlineMs when its client gives up
     * @param retry whether its client marks it as a retry
     * @param firstSentAtMs earliest time at which another broker may have sent a shard request of
     *     this query; infinite if none did
     */
    record Query(
            long id,
            int classIndex,
            int tenant,
            long key,
            double deadlineMs,
            boolean retry,
            double firstSentAtMs) {
        /** Creates a query of which no other broker has sent a shard request. */
        public Query(
                long id, int classIndex, int tenant, long key, double deadlineMs, boolean retry) {
            this(id, classIndex, tenant, key, deadlineMs, retry, Double.POSITIVE_INFINITY);
        }
    }

    /**
     * The part of a query that concerns one shard.
     *
     * @param id identifies the shard request, unique among those in flight
     * @param shard number of the shard
     * @param weight this shard's share of the query's answer, 0 to 1
     * @param key of the request at its shard
     */
    record ShardRequest(long id, int shard, double weight, long key) {}

    /** Reports the endpoint list, or changes to it. */
    void servers(double now, EndpointListKind kind, List<Server> entries);

    /** Submits a query with the shard requests of its query phase. */
    void query(double now, Query query, List<ShardRequest> shardRequests);

    /** Submits the shard requests of a query's fetch phase. */
    void fetchPhase(double now, long query, List<ShardRequest> shardRequests);

    /**
     * Reports the outcome of an attempt.
     *
     * @param attemptNumber number of the attempt, from 0 in the order in which the attempts of the
     *     shard request were sent
     * @param elapsedMs time since the attempt was sent
     * @param load the server's load report in the order of the settings' load columns; may be empty
     */
    void outcome(
            double now,
            long shardRequest,
            int attemptNumber,
            Outcome outcome,
            double elapsedMs,
            double[] load);

    /** Reports the outcome of a probe; for {@code load} see {@link #outcome}. */
    void probeOutcome(double now, long server, Outcome outcome, double elapsedMs, double[] load);

    /** Reports that a query's client has disconnected or the query ended for another reason. */
    void clientDisconnected(double now, long query);

    /** Reports that a timer of {@link Actions#scheduleTimer} is due. */
    void timer(double now, int token);

    /** The actions that the broker carries out for the decision module. */
    interface Actions {
        /**
         * Sends a shard request to a server. The attempts of a shard request are numbered from 0 in
         * the order in which they are sent.
         */
        void send(long shardRequest, long server, double timeoutMs);

        /**
         * Stops waiting for an attempt. The event with its outcome follows; if the server {@link
         * #cancelsWholeCalls}, not before no attempt of its call is in flight.
         */
        void cancel(long shardRequest, int attemptNumber);

        /** Returns whether a server can cancel a call only as a whole. */
        default boolean cancelsWholeCalls(long server) {
            return false;
        }

        /** Answers a query from the shard requests answered so far, and ends its phase. */
        void answer(long query, boolean complete);

        /** Rejects a query, which its client may safely retry after this delay. */
        void reject(long query, double retryAfterMs);

        /** Fails a query of which it is unknown whether it ran. */
        void fail(long query);

        /** Requests a {@link DecisionModule#timer} event after this delay. */
        void scheduleTimer(double delayMs, int token);

        /** Probes a server; a {@link DecisionModule#probed} event follows. */
        void probe(long server);

        /** Subscribes to the endpoint list. */
        void subscribe();

        /** Writes a line to the operators' log. */
        void log(String line);
    }
}
