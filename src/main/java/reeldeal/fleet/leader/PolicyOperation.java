package reeldeal.fleet.leader;

import java.util.Map;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.DisruptionPolicy;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;

/** Handles {@code policy [SETTING=VALUE ...]}: shows or changes the disruption policy. */
final class PolicyOperation {
    private PolicyOperation() {}

    static AdminResult handle(AdminRequest request) {
        FleetView fleet = request.fleet();
        FormAttributes policy = fleet.policy().toAttributes();
        Map<String, String> settings = request.attributes().all();
        if (settings.isEmpty()) {
            return new AdminResult.Answer(policy.toString());
        }
        for (Map.Entry<String, String> setting : settings.entrySet()) {
            String invalidReason =
                    DisruptionPolicy.invalidReason(setting.getKey(), setting.getValue());
            if (invalidReason != null) {
                return new AdminResult.Rejection(invalidReason);
            }
            policy.with(setting.getKey(), setting.getValue());
        }
        return new AdminResult.Write(
                policy.toString(),
                ConditionalWrite.withReason("policy: " + policy)
                        .expect(FleetView.POLICY, fleet.version(FleetView.POLICY))
                        .put(FleetView.POLICY, policy));
    }
}
