package reeldeal.config;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.takeover.TakeoverConfig;
import reeldeal.takeover.TakeoverConfig.Mode;

/**
 * Reads the {@code handover} section of the store's file: records of in-flight requests and their
 * takeover.
 */
final class TakeoverConfigReader {
    private static final String PREFIX = "handover.";
    private static final String CLASSES_PREFIX = "handover.classes.";
    private static final int MIN_VOTERS = 3;
    private static final Set<String> KNOWN_KEYS =
            Set.of(
                    "keyed",
                    "make_ms",
                    "keep_ms",
                    "most_kb",
                    "most_open",
                    "claims",
                    "error_ms",
                    "least_ms",
                    "learned");

    private TakeoverConfigReader() {}

    /**
     * Returns the configuration, or null if no requests are recorded. By default requests with
     * idempotency keys are recorded in a fleet with at least three voters.
     */
    static TakeoverConfig read(ConfigValues values, int voters) throws InvalidConfigException {
        checkKeys(values);
        boolean hasFleet = values.hasKeysUnder("fleet.");
        if (values.hasKeysUnder(PREFIX) && !hasFleet) {
            throw new InvalidConfigException(
                    "store handover: needs fleet, because a request is taken over when its owner's lease has ended");
        }
        TakeoverConfig config = settings(values, voters);
        boolean enabled =
                config.keyedMode() != Mode.OFF
                        || config.classes().values().stream().anyMatch(mode -> mode != Mode.OFF);
        return hasFleet && enabled ? config : null;
    }

    private static void checkKeys(ConfigValues values) throws InvalidConfigException {
        for (String key : values.keys()) {
            boolean known =
                    !key.startsWith(PREFIX)
                            || key.startsWith(CLASSES_PREFIX)
                            || KNOWN_KEYS.contains(key.substring(PREFIX.length()));
            if (!known) {
                throw values.invalid(
                        key,
                        "no such setting; expected one of classes, "
                                + String.join(", ", new TreeSet<>(KNOWN_KEYS)));
            }
        }
    }

    private static TakeoverConfig settings(ConfigValues values, int voters)
            throws InvalidConfigException {
        TakeoverConfig defaults = TakeoverConfig.DEFAULT;
        Mode keyedMode = voters >= MIN_VOTERS ? defaults.keyedMode() : Mode.OFF;
        return new TakeoverConfig(
                mode(values, "handover.keyed", keyedMode),
                classes(values),
                values.numberAtLeast("handover.make_ms", defaults.recordTimeoutMs(), 1),
                values.numberAtLeast("handover.keep_ms", defaults.retentionMs(), 1_000),
                1_000 * values.numberAtLeast("handover.most_kb", defaults.maxBytes() / 1_000, 100),
                (int) values.numberAtLeast("handover.most_open", defaults.maxOpenRecords(), 1),
                (int) values.numberAtLeast("handover.claims", defaults.maxClaims(), 1),
                values.numberAtLeast("handover.error_ms", defaults.clockErrorMs(), 1),
                values.numberAtLeast("handover.least_ms", defaults.minimumTimeLeftMs(), 1),
                sharedStats(values, defaults));
    }

    private static Map<String, Mode> classes(ConfigValues values) throws InvalidConfigException {
        Map<String, Mode> classes = new TreeMap<>();
        for (String key : values.keys()) {
            if (key.startsWith(CLASSES_PREFIX)) {
                classes.put(key.substring(CLASSES_PREFIX.length()), mode(values, key, null));
            }
        }
        return classes;
    }

    private static Set<String> sharedStats(ConfigValues values, TakeoverConfig defaults)
            throws InvalidConfigException {
        String configured = values.get("handover.learned");
        if (configured == null) {
            return defaults.sharedStats();
        }
        Set<String> sharedStats = new TreeSet<>();
        for (String statistic : configured.isEmpty() ? new String[0] : configured.split("[, ]+")) {
            if (!statistic.matches("ejections|paces")) {
                throw values.invalid(
                        "handover.learned",
                        "expected ejections, paces, or nothing, found " + statistic);
            }
            sharedStats.add(statistic);
        }
        return sharedStats;
    }

    private static Mode mode(ConfigValues values, String key, Mode defaultMode)
            throws InvalidConfigException {
        String value = values.get(key);
        if (value == null) {
            return defaultMode;
        }
        return switch (value) {
            case "required" -> Mode.REQUIRED;
            case "preferred" -> Mode.PREFERRED;
            case "off" -> Mode.OFF;
            default ->
                    throw values.invalid(
                            key, "expected required, preferred or off, found " + value);
        };
    }
}
