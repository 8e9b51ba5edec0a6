package reeldeal.fleet.leader;

import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;

/** Handles {@code config version=VERSION text=TEXT}: stores a configuration for releases. */
final class ConfigOperation {
    private static final String VERSION_PATTERN = "[0-9a-f]{12}";

    private ConfigOperation() {}

    static AdminResult handle(AdminRequest request) {
        String version = request.attributes().get("version");
        if (!version.matches(VERSION_PATTERN)) {
            return new AdminResult.Rejection(
                    "config: expected a version of 12 hexadecimal digits, found " + version);
        }
        String key = FleetView.CONFIG + version;
        if (request.fleet().version(key) != 0) {
            return new AdminResult.Answer("kept already: " + version);
        }
        return new AdminResult.Write(
                "kept: " + version,
                ConditionalWrite.withReason("configuration " + version + " stored")
                        .expect(key, 0)
                        .put(key, request.attributes().get("text")));
    }
}
