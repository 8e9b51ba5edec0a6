package reeldeal.fleet.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.rollout.RolloutOrders;

/**
 * Handles {@code release plan what=config|program to=VERSION [kind=searcher] [members=A,B]
 * [waves=1,2,4] [settle_ms=N] [step_ms=N]}: plans a release to some or all members of a kind.
 */
final class ReleasePlanOperation {
    private static final String DEFAULT_WAVES = "1,2,4";
    private static final String WAVE_PATTERN = "[1-9][0-9]{0,3}";
    private static final long DEFAULT_SETTLE_MS = 5_000;
    private static final long DEFAULT_STEP_MS = 60_000;

    private ReleasePlanOperation() {}

    static AdminResult handle(AdminRequest request) {
        FleetView fleet = request.fleet();
        FormAttributes attributes = request.attributes();
        Kind kind = attributes.get("kind").equals("searcher") ? Kind.SEARCHER : Kind.BROKER;
        List<String> memberNames = memberNames(fleet, kind, attributes);
        List<String> waves = waves(attributes);
        String invalidReason = invalidReason(fleet, kind, attributes);
        if (invalidReason == null) {
            invalidReason = invalidReason(fleet, kind, memberNames, waves);
        }
        if (invalidReason != null) {
            return new AdminResult.Rejection(invalidReason);
        }
        Release release =
                new Release(
                        "r" + (fleet.version(FleetView.RELEASE) + 1),
                        kind,
                        attributes.get("what"),
                        attributes.get("to"),
                        false,
                        Progress.PLANNED,
                        "",
                        attributes.number("settle_ms", DEFAULT_SETTLE_MS),
                        attributes.number("step_ms", DEFAULT_STEP_MS),
                        0);
        List<Integer> waveSizes = waves.stream().map(Integer::valueOf).toList();
        return new AdminResult.Write(
                "planned: " + release.id() + ", " + memberNames.size() + " members",
                RolloutOrders.plan(fleet, release, memberNames, waveSizes));
    }

    private static Set<String> knownNames(FleetView fleet, Kind kind) {
        return kind == Kind.BROKER ? fleet.members().keySet() : fleet.searchers().keySet();
    }

    private static List<String> memberNames(FleetView fleet, Kind kind, FormAttributes attributes) {
        String given = attributes.get("members");
        return given.isEmpty() ? List.copyOf(knownNames(fleet, kind)) : List.of(given.split(","));
    }

    private static List<String> waves(FormAttributes attributes) {
        String given = attributes.get("waves");
        return List.of((given.isEmpty() ? DEFAULT_WAVES : given).split(","));
    }

    private static String invalidReason(FleetView fleet, Kind kind, FormAttributes attributes) {
        Release current = fleet.release();
        if (current != null
                && current.progress() != Progress.DONE
                && current.progress() != Progress.PLANNED) {
            return "release "
                    + current.id()
                    + " is "
                    + current.progress().stored().toLowerCase(Locale.ROOT)
                    + "; complete it or roll it back first";
        }
        String artifact = attributes.get("what");
        String version = attributes.get("to");
        boolean isConfig = artifact.equals("config");
        if ((!isConfig && !artifact.equals("program")) || version.isEmpty()) {
            return "plan: expected what=config or what=program, and to=VERSION";
        } else if (isConfig && kind == Kind.SEARCHER) {
            return "plan: searchers have no configuration in the store";
        } else if (isConfig && fleet.version(FleetView.CONFIG + version) == 0) {
            return "plan: configuration " + version + " is not in the store";
        }
        return null;
    }

    private static String invalidReason(
            FleetView fleet, Kind kind, List<String> memberNames, List<String> waves) {
        List<String> unknownNames = new ArrayList<>(memberNames);
        unknownNames.removeAll(knownNames(fleet, kind));
        if (!unknownNames.isEmpty()) {
            return "plan: " + kind.lowerCase() + " " + unknownNames.get(0) + " is unknown";
        }
        for (String wave : waves) {
            if (!wave.matches(WAVE_PATTERN)) {
                return "plan: expected waves from 1 to 9999, found " + wave;
            }
        }
        return memberNames.isEmpty() ? "plan: no member of this kind is known" : null;
    }
}
