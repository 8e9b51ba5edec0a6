package reeldeal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;

/**
 * Tests that settings are parsed by path and that errors name the keys of the configuration file.
 */
class SettingsParserTest {
    private static final long SEED = 7;

    private static Map<String, String> settings() {
        return new HashMap<>(
                Map.ofEntries(
                        Map.entry("Categories.count", "1"),
                        Map.entry("Categories.0.AimMs", "1000"),
                        Map.entry("Categories.0.HardLimitMs", "3000"),
                        Map.entry("Categories.0.Semantics", "by_key"),
                        Map.entry("Categories.0.Worth", "2"),
                        Map.entry("FamilyInfo.Cells", "2"),
                        Map.entry("FamilyInfo.InARow", "1"),
                        Map.entry("Instances", "3"),
                        Map.entry("SelfIndex", "0"),
                        Map.entry("MyZone", "0"),
                        Map.entry("PeriodMs", "5"),
                        Map.entry("PolicyLimits.MaxAttempts", "3"),
                        Map.entry("Rules.DrainGraceMs", "250"),
                        Map.entry("Rules.ColdFrom", "0.2"),
                        Map.entry("Rules.ColdMs", "9000"),
                        Map.entry("Rules.FallMultiple", "2"),
                        Map.entry("Rules.FallMs", "2000")));
    }

    @Test
    void configuredKeysAreMappedToDecisionSettings() {
        Settings parsed = SettingsParser.parse(settings(), SEED);
        assertEquals(3, parsed.brokers());
        assertEquals(5, parsed.tickMs());
        assertEquals(1_000, parsed.classes().get(0).latencyObjectiveMs());
        assertEquals(RepeatSafety.IDEMPOTENT_WITH_KEY, parsed.classes().get(0).repeatSafety());
        assertEquals(0.2, parsed.rules().slowStartCapacity());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Instances | 0 | Instances",
                "PeriodMs | 0 | PeriodMs",
                "FamilyInfo.InARow | 3 | FamilyInfo.Cells, FamilyInfo.InARow",
                "FamilyInfo.Batch | 0 | FamilyInfo.Batch",
                "FamilyInfo.PerCallWorkMs | -1 | FamilyInfo.PerCallWorkMs",
                "Categories.count | 0 | Categories",
                "Categories.0.AimMs | 0 | Categories[].AimMs",
                "Categories.0.HardLimitMs | 10 | Categories[].HardLimitMs",
                "Categories.0.Worth | -1 | Categories[].Worth, Categories[].LateWorth",
                "FamilyInfo.CompleteFrom | 2 | FamilyInfo.CompleteFrom",
                "FamilyInfo.LeastShare | 0 | FamilyInfo.LeastShare",
                "FamilyInfo.ClassFetch | -1 | FamilyInfo.ClassFetch",
                "PolicyLimits.MaxAttempts | 0 | PolicyLimits.MaxAttempts",
                "PolicyLimits.MostHeld | 0 | PolicyLimits.MostHeld",
                "Rules.DrainGraceMs | -1 | Rules.DrainGraceMs",
                "Rules.ColdFrom | 0 | Rules.ColdFrom",
                "Rules.FallMultiple | 0 | Rules.ColdMs, Rules.FallMs, Rules.FallMultiple",
                "Rules.FreeResends | -1 | Rules.LookBackMs, Rules.FreeResends, Rules.RepeatRatio"
            })
    void aValueOutOfRangeIsReportedWithItsConfiguredKey(
            String key, String value, String reportedKeys) {
        Map<String, String> settings = settings();
        settings.put(key, value);
        IllegalArgumentException error =
                assertThrows(
                        IllegalArgumentException.class, () -> SettingsParser.parse(settings, SEED));
        assertEquals("setting out of range: " + reportedKeys, error.getMessage());
    }

    @Test
    void aMissingKeyIsReported() {
        Map<String, String> settings = settings();
        settings.remove("Rules.ColdMs");
        IllegalArgumentException error =
                assertThrows(
                        IllegalArgumentException.class, () -> SettingsParser.parse(settings, SEED));
        assertEquals("setting missing: Rules.ColdMs", error.getMessage());
    }
}
