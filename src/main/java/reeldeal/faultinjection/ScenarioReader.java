package reeldeal.faultinjection;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.config.JsonPaths;

/** Reads scenario files, such as those in {@code deploy/drill}. */
public final class ScenarioReader {
    private static final String POLICY_PREFIX = "policy.";
    private static final String TAKEOVER_PREFIX = "keyed.handover.";
    private static final String ACTIONS_PREFIX = "actions.";
    private static final int MAX_DURATION_MS = 600_000;
    private static final int DEFAULT_FAULTS_MS = 30_000;

    private static final Set<String> KNOWN_KEYS =
            Set.of(
                    "name",
                    "voters",
                    "brokers",
                    "searchers",
                    "per_second",
                    "release",
                    "waves",
                    "settle_ms",
                    "step_ms",
                    "on_halt",
                    "drop_pct",
                    "delay_pct",
                    "double_pct",
                    "faults_ms",
                    "actions.count",
                    "find",
                    "replace",
                    "spares",
                    "skew_pct",
                    "slow_disk_ms",
                    "slow_disk_all",
                    "power.steps",
                    "power.cold_ms",
                    "power.strength",
                    "power.press",
                    "keyed.per_second",
                    "keyed.window_ms",
                    "keyed.service_ms",
                    "keyed.term_ms",
                    "keyed.die");

    private final Path file;
    private final Map<String, String> values;

    private ScenarioReader(Path file, Map<String, String> values) {
        this.file = file;
        this.values = values;
    }

    /**
     * Reads a scenario file.
     *
     * @throws InvalidConfigException if the file cannot be read or a setting is invalid; its
     *     message names the file and the key
     */
    public static Scenario read(Path file) throws InvalidConfigException {
        ScenarioReader reader = new ScenarioReader(file, parse(file));
        reader.checkKeys();
        return new Scenario(
                reader.text("name", file.getFileName().toString()),
                reader.fleet(),
                new Scenario.Load(reader.number("per_second", 40, 1, 2_000), reader.keyed()),
                reader.withPrefix(POLICY_PREFIX),
                reader.rollout(),
                reader.faults(),
                reader.power());
    }

    private static Map<String, String> parse(Path file) throws InvalidConfigException {
        Map<String, String> values = new HashMap<>();
        try (JsonParser json = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException(file + ": expected a JSON object");
            }
            JsonPaths.read(json, "", values, 0);
        } catch (IOException e) {
            String firstLine = e.getMessage().lines().findFirst().orElse("");
            throw new InvalidConfigException(file + ": cannot be read: " + firstLine);
        }
        return values;
    }

    private void checkKeys() throws InvalidConfigException {
        for (String key : values.keySet()) {
            boolean known =
                    KNOWN_KEYS.contains(key)
                            || key.startsWith(POLICY_PREFIX)
                            || key.startsWith(TAKEOVER_PREFIX)
                            || key.startsWith(ACTIONS_PREFIX);
            if (!known) {
                throw new InvalidConfigException(file + ": unknown setting: " + key);
            }
        }
    }

    private Scenario.FleetSize fleet() throws InvalidConfigException {
        return new Scenario.FleetSize(
                number("voters", 3, 1, 7),
                number("brokers", 2, 0, 60),
                number("searchers", 12, 4, 100),
                number("spares", 0, 0, 7));
    }

    private Scenario.KeyedRequests keyed() throws InvalidConfigException {
        return new Scenario.KeyedRequests(
                number("keyed.per_second", 0, 0, 1_000),
                number("keyed.window_ms", 2_500, 0, MAX_DURATION_MS),
                number("keyed.service_ms", 0, 0, 10_000),
                number("keyed.term_ms", 3_000, 600, 60_000),
                withPrefix(TAKEOVER_PREFIX),
                text("keyed.die", ""));
    }

    private Scenario.Rollout rollout() throws InvalidConfigException {
        String onHalt = text("on_halt", "resume");
        if (!onHalt.matches("resume|back")) {
            throw new InvalidConfigException(
                    file + ": on_halt: expected resume or back, found " + onHalt);
        }
        return new Scenario.Rollout(
                text("release", "true").equals("true"),
                text("find", "\"MostHeld\": 400"),
                text("replace", "\"MostHeld\": 390"),
                text("waves", "1,2,4"),
                number("settle_ms", 1_000, 0, MAX_DURATION_MS),
                number("step_ms", 30_000, 1_000, MAX_DURATION_MS),
                onHalt.equals("back") ? Scenario.OnHalt.ROLL_BACK : Scenario.OnHalt.RESUME);
    }

    private Scenario.Faults faults() throws InvalidConfigException {
        return new Scenario.Faults(
                number("faults_ms", DEFAULT_FAULTS_MS, 0, MAX_DURATION_MS),
                new Scenario.FrameFaults(
                        number("drop_pct", 0, 0, 90),
                        number("delay_pct", 0, 0, 90),
                        number("double_pct", 0, 0, 90)),
                new Scenario.NodeFaults(
                        number("skew_pct", 0, 0, 50),
                        number("slow_disk_ms", 0, 0, 5_000),
                        text("slow_disk_all", "false").equals("true")),
                actions());
    }

    private List<Scenario.Action> actions() throws InvalidConfigException {
        List<Scenario.Action> actions = new ArrayList<>();
        int count = number("actions.count", 0, 0, 100);
        int untilMs = number("faults_ms", DEFAULT_FAULTS_MS, 0, MAX_DURATION_MS);
        for (int i = 0; i < count; i++) {
            String prefix = ACTIONS_PREFIX + i + ".";
            Scenario.Action first = action(prefix);
            actions.add(first);
            int intervalMs = number(prefix + "every_ms", 0, 0, MAX_DURATION_MS);
            for (long atMs = first.atMs() + intervalMs;
                    intervalMs > 0 && atMs < untilMs;
                    atMs += intervalMs) {
                actions.add(first.at(atMs));
            }
        }
        return List.copyOf(actions);
    }

    private Scenario.Action action(String prefix) throws InvalidConfigException {
        String key = text(prefix + "verb", "");
        FaultKind kind =
                FaultKind.ofKey(key)
                        .orElseThrow(
                                () ->
                                        new InvalidConfigException(
                                                file
                                                        + ": "
                                                        + prefix
                                                        + "verb: expected one of "
                                                        + kindKeys()
                                                        + ", found "
                                                        + key));
        return new Scenario.Action(
                number(prefix + "at_ms", 0, 0, MAX_DURATION_MS),
                kind,
                text(prefix + "who", "any"),
                number(prefix + "for_ms", 3_000, 0, MAX_DURATION_MS),
                number(prefix + "late_ms", 0, 0, MAX_DURATION_MS));
    }

    private static Set<String> kindKeys() {
        return Arrays.stream(FaultKind.values())
                .map(FaultKind::key)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private Scenario.PowerLoss power() throws InvalidConfigException {
        return new Scenario.PowerLoss(
                values.containsKey("power.steps"),
                number("power.cold_ms", 2_000, 0, 60_000),
                number("power.strength", 40, 1, 100_000),
                number("power.press", 1, 1, 10),
                text("power.steps", "off"));
    }

    private Map<String, String> withPrefix(String prefix) {
        Map<String, String> found = new TreeMap<>();
        values.forEach(
                (key, value) -> {
                    if (key.startsWith(prefix)) {
                        found.put(key.substring(prefix.length()), value);
                    }
                });
        return found;
    }

    private String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private int number(String key, int defaultValue, int min, int max)
            throws InvalidConfigException {
        String text = values.getOrDefault(key, String.valueOf(defaultValue));
        if (!text.matches("[0-9]{1,9}")
                || Integer.parseInt(text) < min
                || Integer.parseInt(text) > max) {
            throw new InvalidConfigException(
                    file
                            + ": "
                            + key
                            + ": expected a whole number from "
                            + min
                            + " to "
                            + max
                            + ", found "
                            + text);
        }
        return Integer.parseInt(text);
    }
}
