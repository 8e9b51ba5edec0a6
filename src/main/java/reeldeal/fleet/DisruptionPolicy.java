package reeldeal.fleet;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The stored limits on how many members may be out of service at the same time. A limit is a
 * number, or a percentage such as {@code 25%} of the members it applies to. A percentage is rounded
 * down, but not below one member unless it is {@code 0%}.
 *
 * @param brokersOut the maximum number of brokers out of service in total
 * @param brokersZoneOut the maximum number of brokers out of service in one zone
 * @param searchersOut the maximum number of searchers out of service in total
 * @param searchersZoneOut the maximum number of searchers out of service in one zone
 * @param searchersKindOut the maximum number of searchers of one kind that are out of service
 * @param searchersSetOut the maximum number of searchers out of service in one cell, which the
 *     settings call a set
 * @param minWarmSearchersPerShard the minimum number of warm, serving searchers of each shard
 * @param minGrantIntervalMs the minimum time between two grants of a permit, ms
 */
public record DisruptionPolicy(
        String brokersOut,
        String brokersZoneOut,
        String searchersOut,
        String searchersZoneOut,
        String searchersKindOut,
        String searchersSetOut,
        long minWarmSearchersPerShard,
        long minGrantIntervalMs) {
    private static final String SHARD_LEAST = "shard_least";
    private static final String APART_MS = "apart_ms";
    private static final Set<String> INTEGER_SETTINGS = Set.of(SHARD_LEAST, APART_MS);
    private static final Map<String, String> DEFAULTS = defaults();

    private static Map<String, String> defaults() {
        Map<String, String> defaults = new TreeMap<>();
        defaults.put("brokers_out", "1");
        defaults.put("brokers_zone_out", "100%");
        defaults.put("searchers_out", "10%");
        defaults.put("searchers_zone_out", "100%");
        defaults.put("searchers_kind_out", "100%");
        defaults.put("searchers_set_out", "100%");
        defaults.put(SHARD_LEAST, "1");
        defaults.put(APART_MS, "1000");
        return Collections.unmodifiableMap(defaults);
    }

    /** Parses a stored policy; settings that are missing or invalid get their defaults. */
    public static DisruptionPolicy parse(String text) {
        FormAttributes settings = new FormAttributes();
        DEFAULTS.forEach(settings::with);
        FormAttributes.of(text)
                .all()
                .forEach(
                        (key, value) -> {
                            if (invalidReason(key, value) == null) {
                                settings.with(key, value);
                            }
                        });
        return new DisruptionPolicy(
                settings.get("brokers_out"),
                settings.get("brokers_zone_out"),
                settings.get("searchers_out"),
                settings.get("searchers_zone_out"),
                settings.get("searchers_kind_out"),
                settings.get("searchers_set_out"),
                settings.number(SHARD_LEAST, 1),
                settings.number(APART_MS, 1_000));
    }

    /** Returns why a setting is rejected, or null if it is valid. */
    public static String invalidReason(String key, String value) {
        if (!DEFAULTS.containsKey(key)) {
            String known = String.join(", ", DEFAULTS.keySet());
            return "policy: unknown setting " + key + ", expected one of " + known;
        }
        if (INTEGER_SETTINGS.contains(key)) {
            return value.matches("[0-9]{1,8}")
                    ? null
                    : "policy " + key + ": expected a whole number, found " + value;
        }
        return value.matches("[0-9]{1,6}|[0-9]{1,2}%|100%")
                ? null
                : "policy "
                        + key
                        + ": expected a number or a share from 0% to 100%, found "
                        + value;
    }

    /**
     * Returns how many of {@code total} members a limit allows to be out of service; the limit must
     * be valid.
     */
    public static long resolveLimit(String limit, long total) {
        if (!limit.endsWith("%")) {
            return Long.parseLong(limit);
        }
        long percent = Long.parseLong(limit.substring(0, limit.length() - 1));
        return percent == 0 ? 0 : Math.max(1, total * percent / 100);
    }

    /** Returns the attributes that are stored and shown to operators. */
    public FormAttributes toAttributes() {
        return new FormAttributes()
                .with("brokers_out", brokersOut)
                .with("brokers_zone_out", brokersZoneOut)
                .with("searchers_out", searchersOut)
                .with("searchers_zone_out", searchersZoneOut)
                .with("searchers_kind_out", searchersKindOut)
                .with("searchers_set_out", searchersSetOut)
                .with(SHARD_LEAST, minWarmSearchersPerShard)
                .with(APART_MS, minGrantIntervalMs);
    }
}
