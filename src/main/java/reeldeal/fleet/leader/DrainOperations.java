package reeldeal.fleet.leader;

import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.disruption.DisruptionBudget;

/** Handles {@code drain name=NAME [reason=TEXT]} and {@code undrain name=NAME}. */
final class DrainOperations {
    private static final String REQUESTED_BY = "operator";

    private final DisruptionBudget budget;

    DrainOperations(DisruptionBudget budget) {
        this.budget = budget;
    }

    /** Orders a member to drain if the disruption budget grants a permit for it. */
    AdminResult drain(AdminRequest request) {
        FleetView fleet = request.fleet();
        String name = request.memberName();
        Kind kind = request.memberKind();
        if (kind == null) {
            return new AdminResult.Rejection(
                    "drain: expected the name of a known member, and kind=broker or kind=searcher"
                            + " if both have that name; found "
                            + name);
        } else if (fleet.release() != null
                && fleet.release().isRunning()
                && isInRelease(fleet, kind, name)) {
            return new AdminResult.Rejection(
                    name + " is part of the running release; pause or halt the release first");
        }
        String reason = request.reason().isEmpty() ? "operator" : request.reason();
        DisruptionBudget.PermitDecision decision =
                budget.grant(fleet, request.observations(), kind, name, REQUESTED_BY, reason);
        if (decision.write() == null) {
            return new AdminResult.Rejection("not drained: " + decision.rejectionReason());
        }
        String key = FleetView.drainKey(kind, name);
        String processMark = fleet.processMark(kind, name);
        return new AdminResult.Write(
                "drains " + name,
                decision.write()
                        .expect(key, fleet.version(key))
                        .put(key, FleetCodec.encodeDrain(processMark, REQUESTED_BY)));
    }

    /** Deletes the drain order of a member, unless a release has given that order. */
    AdminResult undrain(AdminRequest request) {
        FleetView fleet = request.fleet();
        String name = request.memberName();
        Kind kind = request.memberKind();
        if (kind == null || fleet.drainMark(kind, name) == null) {
            return new AdminResult.Rejection("no drain order for " + name + " is in the store");
        } else if (isDrainedByRelease(fleet, kind, name)) {
            return new AdminResult.Rejection(
                    name
                            + " is drained by release "
                            + fleet.release().id()
                            + "; roll the release back instead");
        }
        String key = FleetView.drainKey(kind, name);
        return new AdminResult.Write(
                "the drain of " + name + " is taken back",
                ConditionalWrite.withReason("operator: the drain of " + name + " is taken back")
                        .expect(key, fleet.version(key))
                        .put(key, null));
    }

    private static boolean isInRelease(FleetView fleet, Kind kind, String name) {
        return fleet.release().kind() == kind && fleet.steps().containsKey(name);
    }

    private static boolean isDrainedByRelease(FleetView fleet, Kind kind, String name) {
        Release release = fleet.release();
        Permit permit = fleet.permits(kind).get(name);
        return release != null
                && release.progress() != Progress.DONE
                && isInRelease(fleet, kind, name)
                && permit != null
                && permit.requestedBy().equals("release");
    }
}
