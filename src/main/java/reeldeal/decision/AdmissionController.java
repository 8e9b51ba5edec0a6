package reeldeal.decision;

/**
 * Sheds load early: a query is rejected when its estimated wait exceeds a share of the time that it
 * has left. The share is smallest for queries beyond their tenant's quota, and smaller for queries
 * of low priority, so these are rejected first.
 */
final class AdmissionController {
    /** Share of the maximum wait that is allowed for queries beyond their tenant's quota. */
    private static final double OVER_QUOTA_WAIT_SHARE = 0.4;

    /** Weight of one query in the moving average of the priority. */
    private static final double PRIORITY_SMOOTHING = 0.03;

    /** Lower bound of a query's priority relative to the average. */
    private static final double MIN_RELATIVE_PRIORITY = 0.7;

    /** Upper bound of a query's priority relative to the average. */
    private static final double MAX_RELATIVE_PRIORITY = 1.5;

    /** The maximum wait is shortened once less than 1/8 of the broker's capacity is free. */
    private static final double FREE_CAPACITY_FACTOR = 8;

    private final EventClock clock;
    private final int maxInFlight;
    private final QueryTable queries;
    private final LatencyEstimator latency;
    private final OutlierDetector outliers;
    private final WaitEstimator waitEstimator;
    private final RateLimitedLog log;
    private double meanPriority;
    private boolean shedding;

    AdmissionController(
            EventClock clock,
            int maxInFlight,
            QueryTable queries,
            LatencyEstimator latency,
            OutlierDetector outliers,
            WaitEstimator waitEstimator,
            RateLimitedLog log) {
        this.clock = clock;
        this.maxInFlight = maxInFlight;
        this.queries = queries;
        this.latency = latency;
        this.outliers = outliers;
        this.waitEstimator = waitEstimator;
        this.log = log;
    }

    /**
     * Returns whether a query is admitted.
     *
     * @param query a query that is already in the table and has its time limits set
     * @param overQuota whether the query exceeds its tenant's quota
     */
    boolean admits(QueryState query, boolean overQuota) {
        double priority = query.queryClass.priorityWeight();
        meanPriority += (priority - meanPriority) * (meanPriority == 0 ? 1 : PRIORITY_SMOOTHING);
        if (query.endAtMs - clock.now() < latency.typicalMs(0)) {
            return false;
        }
        outliers.refresh();
        double waitMs =
                Math.max(
                        outliers.referenceLatency() * latency.typicalMs(0),
                        waitEstimator.queryWaitMs(query));
        boolean admitted = waitMs <= maxWaitMs(query, priority, overQuota) || queries.size() == 1;
        if (!overQuota) {
            logSheddingChange(!admitted);
        }
        return admitted;
    }

    private double maxWaitMs(QueryState query, double priority, boolean overQuota) {
        double relativePriority =
                Math.max(
                        MIN_RELATIVE_PRIORITY,
                        Math.min(MAX_RELATIVE_PRIORITY, priority / meanPriority));
        return WaitEstimator.MAX_WAIT_SHARE
                * relativePriority
                * freeCapacityFactor(query)
                * (overQuota ? OVER_QUOTA_WAIT_SHARE : 1)
                * waitEstimator.availableMs(query);
    }

    /**
     * Returns a factor, at most 1, that shortens the maximum wait as the broker fills up. Queries
     * that finish quickly or may be answered partially are still admitted; a completely full broker
     * would have to reject every query, even a cheap one.
     */
    private double freeCapacityFactor(QueryState query) {
        if (query.mayBePartial()) {
            return 1;
        }
        double free = 1 - (double) queries.unitsInFlight() / maxInFlight;
        return Math.min(1, FREE_CAPACITY_FACTOR * free);
    }

    private void logSheddingChange(boolean nowShedding) {
        if (nowShedding != shedding) {
            shedding = nowShedding;
            log.log(shedding ? "load shedding started" : "load shedding stopped");
        }
    }
}
