package reeldeal.takeover;

import java.util.Map;
import java.util.Set;

/**
 * The configuration of request records and takeovers: which requests are recorded, how long records
 * are kept, and the limits. Immutable.
 *
 * @param keyedMode the mode of query classes whose requests have an idempotency key, unless {@code
 *     classes} gives another
 * @param classes the modes of single query classes, by class name
 * @param recordTimeoutMs how long a request waits to be recorded before it is rejected or runs
 *     without a record, ms
 * @param retentionMs how long outcomes are kept, ms
 * @param maxBytes the store's quota for records in bytes, including ended ones
 * @param maxOpenRecords the maximum number of requests in flight at one broker; further ones are
 *     not recorded
 * @param maxClaims the maximum number of takeovers in progress at one broker
 * @param clockErrorMs the maximum difference between two brokers' wall clocks, ms; a broker whose
 *     clock is further off makes no records and takes over none
 * @param minimumTimeLeftMs the minimum time that a shard request needs, ms; with less time left, a
 *     request is not run again
 * @param sharedStats the statistics of searchers that a broker shares: {@code ejections}, {@code
 *     paces}
 */
public record TakeoverConfig(
        Mode keyedMode,
        Map<String, Mode> classes,
        long recordTimeoutMs,
        long retentionMs,
        long maxBytes,
        int maxOpenRecords,
        int maxClaims,
        long clockErrorMs,
        long minimumTimeLeftMs,
        Set<String> sharedStats) {

    /** Whether a request is recorded, and how it proceeds if that cannot be done in time. */
    public enum Mode {
        /** It is recorded; if that cannot be done in time, it is rejected with a Retry-After. */
        REQUIRED,
        /**
         * It is recorded; if that cannot be done in time, it runs without a record and is counted.
         */
        PREFERRED,
        /** It is not recorded. */
        OFF
    }

    /** The default values of the settings. */
    public static final TakeoverConfig DEFAULT =
            new TakeoverConfig(
                    Mode.PREFERRED,
                    Map.of(),
                    250,
                    600_000,
                    32_000_000,
                    2_000,
                    20,
                    150,
                    100,
                    Set.of("ejections", "paces"));

    /**
     * Returns the mode of a query class; {@code isKeyed} is whether its requests have an
     * idempotency key.
     */
    public Mode mode(String queryClass, boolean isKeyed) {
        return classes.getOrDefault(queryClass, isKeyed ? keyedMode : Mode.OFF);
    }
}
