package reeldeal.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.decision.DecisionModule;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Limits;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Rules;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.decision.DecisionModule.Tenant;

/**
 * Parses settings from path=value pairs, for the simulator's wire protocol and for the broker's
 * configuration file. A malformed or missing setting throws an exception that names its key.
 */
public final class SettingsParser {
    /**
     * Configuration keys by the names that {@link DecisionModule.Settings} uses in its range
     * checks, so that errors name the key that the operator has to change.
     */
    private static final Map<String, String> KEYS_BY_SETTING =
            Map.ofEntries(
                    Map.entry("brokers", "Instances"),
                    Map.entry("tickMs", "PeriodMs"),
                    Map.entry("layout.cells", "FamilyInfo.Cells, FamilyInfo.InARow"),
                    Map.entry("layout.maxShardsPerCall", "FamilyInfo.Batch"),
                    Map.entry("layout.callWorkMs", "FamilyInfo.PerCallWorkMs"),
                    Map.entry("classes", "Categories"),
                    Map.entry("class.latencyObjectiveMs", "Categories[].AimMs"),
                    Map.entry("class.deadlineMs", "Categories[].HardLimitMs"),
                    Map.entry("class.priorityWeight", "Categories[].Worth, Categories[].LateWorth"),
                    Map.entry("class.completeShare", "FamilyInfo.CompleteFrom"),
                    Map.entry("class.minimumShare", "FamilyInfo.LeastShare"),
                    Map.entry("class.fetchShards", "FamilyInfo.ClassFetch"),
                    Map.entry("limits.maxAttempts", "PolicyLimits.MaxAttempts"),
                    Map.entry("limits.maxInFlight", "PolicyLimits.MostHeld"),
                    Map.entry("limits.maxRetryAfterMs", "PolicyLimits.MaxRetryAfterMs"),
                    Map.entry("rules.drainGraceMs", "Rules.DrainGraceMs"),
                    Map.entry("rules.slowStartCapacity", "Rules.ColdFrom"),
                    Map.entry(
                            "rules.overloadFactor",
                            "Rules.ColdMs, Rules.FallMs, Rules.FallMultiple"),
                    Map.entry(
                            "rules.retryWindowMs",
                            "Rules.LookBackMs, Rules.FreeResends, Rules.RepeatRatio"));

    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Parses {@code path=value} lines, as sent by the simulator. */
    public static Settings parse(String text, long seed) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(), line.substring(separator + 1).trim());
            }
        }
        return parse(values, seed);
    }

    /** Parses settings from values by their paths. */
    public static Settings parse(Map<String, String> values, long seed) {
        return new SettingsParser(values).settings(seed);
    }

    private Settings settings(long seed) {
        List<QueryClass> classes = new ArrayList<>();
        int classCount = integer("Categories.count");
        for (int index = 0; index < classCount; index++) {
            classes.add(queryClass(index, "Categories." + index + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = values.containsKey("Orgs.count") ? integer("Orgs.count") : 0;
        for (int index = 0; index < tenantCount; index++) {
            tenants.add(new Tenant(number("Orgs." + index + ".AllowancePerS")));
        }
        String columns = text("Telemetry.Columns", "");
        try {
            return new Settings(
                    seed,
                    integer("SelfIndex"),
                    integer("Instances"),
                    integer("MyZone"),
                    number("PeriodMs"),
                    text("Discovery", "pushed").equals("on_request"),
                    new Layout(
                            integer("FamilyInfo.Cells"),
                            integer("FamilyInfo.InARow"),
                            (int) number("FamilyInfo.Batch", 1),
                            number("FamilyInfo.PerCallWorkMs", 0)),
                    classes,
                    tenants,
                    number("OverShareWorth", 1),
                    limits(),
                    rules(),
                    columns.isEmpty() ? List.of() : List.of(columns.split(",")));
        } catch (DecisionModule.SettingOutOfRangeException e) {
            throw new IllegalArgumentException(
                    "setting out of range: " + KEYS_BY_SETTING.getOrDefault(e.setting, e.setting));
        }
    }

    private QueryClass queryClass(int index, String prefix) {
        RepeatSafety repeatSafety =
                switch (text(prefix + "Semantics", null)) {
                    case "repeatable" -> RepeatSafety.IDEMPOTENT;
                    case "by_key" -> RepeatSafety.IDEMPOTENT_WITH_KEY;
                    case "once" -> RepeatSafety.NOT_IDEMPOTENT;
                    default -> throw malformed(prefix + "Semantics");
                };
        return new QueryClass(
                number(prefix + "AimMs"),
                number(prefix + "AimStretch", 0),
                number(prefix + "HardLimitMs"),
                number(prefix + "Worth"),
                number(prefix + "LateWorth", 0),
                repeatSafety,
                number(prefix + "WindowMs", 0),
                valueForClass("FamilyInfo.CompleteFrom", index, 1),
                valueForClass("FamilyInfo.LeastShare", index, 1),
                valueForClass("FamilyInfo.PartialEarns", index, 0),
                (int) valueForClass("FamilyInfo.ClassFetch", index, 0));
    }

    private Limits limits() {
        return new Limits(
                integer("PolicyLimits.MaxAttempts"),
                flag("PolicyLimits.SecondCopies"),
                flag("PolicyLimits.Cancel"),
                flag("PolicyLimits.Probing"),
                (int) number("PolicyLimits.MostHeld", Integer.MAX_VALUE),
                flag("PolicyLimits.RetryAfter") ? number("PolicyLimits.MaxRetryAfterMs", 0) : 0);
    }

    private Rules rules() {
        boolean hasRetryWindow = values.containsKey("Rules.LookBackMs");
        return new Rules(
                number("Rules.DrainGraceMs"),
                number("Rules.ColdFrom"),
                number("Rules.ColdMs"),
                number("Rules.FallMultiple"),
                number("Rules.FallMs"),
                number("Rules.FreeResends", 0),
                number("Rules.RepeatRatio", 0),
                hasRetryWindow ? number("Rules.LookBackMs") : 0,
                number("Rules.MustAskInMs", 0));
    }

    private String text(String key, String defaultValue) {
        String value = values.getOrDefault(key, defaultValue);
        if (value == null) {
            throw new IllegalArgumentException("setting missing: " + key);
        }
        return value;
    }

    private double number(String key) {
        return parse(key, text(key, null));
    }

    private double number(String key, double defaultValue) {
        return values.containsKey(key) ? number(key) : defaultValue;
    }

    private int integer(String key) {
        double value = number(key);
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw malformed(key);
        }
        return (int) value;
    }

    private boolean flag(String key) {
        return switch (text(key, "false")) {
            case "true" -> true;
            case "false" -> false;
            default -> throw malformed(key);
        };
    }

    private double valueForClass(String key, int classIndex, double defaultValue) {
        String value = text(key, "");
        if (value.isEmpty()) {
            return defaultValue;
        }
        String[] items = value.split(",");
        if (classIndex >= items.length) {
            throw malformed(key);
        }
        return parse(key, items[classIndex]);
    }

    private double parse(String key, String value) {
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported by the exception below
        }
        throw malformed(key);
    }

    private IllegalArgumentException malformed(String key) {
        return new IllegalArgumentException("setting malformed: " + key + "=" + values.get(key));
    }
}
