package reeldeal.core;

import java.util.List;
import java.util.Map;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.ServerStatsSnapshot;

/**
 * An input of the broker's state machine. Produced by the server, its fronts, transports, timers
 * and fleet wiring; consumed by {@link Reducer#tick} on the event-loop thread, in the order in
 * which the events were queued.
 */
public sealed interface Event {

    /** A front has received a request. */
    record Arrived(Request request) implements Event {}

    /** The client of a request has disconnected. */
    record ClientDisconnected(long requestId) implements Event {}

    /**
     * An attempt has ended.
     *
     * @param attempt number of the attempt, from 0
     * @param load the searcher's load report, in the order of the columns in the settings; empty if
     *     the searcher sent none
     */
    record AttemptEnded(long shardRequestId, int attempt, AttemptEnd end, double[] load)
            implements Event {}

    /** The timeout of an attempt has expired. Scheduled by {@link Effect.ScheduleTimer}. */
    record AttemptOverdue(long shardRequestId, int attempt) implements Event {}

    /**
     * A health check has ended.
     *
     * @param searcher name of the searcher
     * @param elapsedMs duration of the health check in milliseconds
     * @param load the searcher's load report, as in {@link AttemptEnded}
     */
    record Probed(String searcher, Outcome outcome, double elapsedMs, double[] load)
            implements Event {}

    /**
     * Discovery has delivered an endpoint list or changes to it, or has failed to deliver a list.
     *
     * @param kind whether the entries are the complete list, changes to it, or a list that may be
     *     stale; or that discovery failed
     * @param entries the complete list, or the searchers that changed
     */
    record EndpointsChanged(EndpointListKind kind, List<Searcher> entries) implements Event {}

    /**
     * Observations of searchers have arrived that another broker made, or this broker before its
     * restart.
     *
     * @param stats the observations by name of the searcher
     */
    record ServerStatsImported(Map<String, ImportedServerStats> stats) implements Event {}

    /**
     * What another broker, or this broker before its restart, observed of one process of a
     * searcher.
     *
     * @param startedMs start time of the searcher's process, as in {@link Searcher#startedMs}
     * @param stats whether the process was ejected, and how slow it was
     */
    record ImportedServerStats(double startedMs, ServerStatsSnapshot.ServerStats stats) {}

    /**
     * The fleet's leader has set an admission quota for the recovery from an outage.
     *
     * @param share share of the queries that is admitted from now on, 0 to 1
     * @param retryAfterMs mean retry delay for clients whose queries are not admitted
     * @param brokers number of brokers that are serving now
     * @param restartedAtMs assumed start time of searchers after a power loss, 0 without one: a
     *     searcher that is listed with an earlier start is taken to have started at this time,
     *     since the list may still describe its process from before the power loss
     * @param restartedZone the zone that lost power; "" for all zones
     */
    record AdmissionQuotaChanged(
            double share,
            double retryAfterMs,
            int brokers,
            double restartedAtMs,
            String restartedZone)
            implements Event {}

    /** A timer of the decision module is due. Scheduled by {@link Effect.ScheduleTimer}. */
    record TimerDue(int token) implements Event {}

    /** The fetch phase of a request must begin. Scheduled by {@link Effect.ScheduleTimer}. */
    record FetchPhaseDue(long requestId) implements Event {}

    /** The deadline of a request has been reached. Scheduled by {@link Effect.ScheduleTimer}. */
    record DeadlineDue(long requestId) implements Event {}
}
