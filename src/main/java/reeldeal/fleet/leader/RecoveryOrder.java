package reeldeal.fleet.leader;

import java.util.List;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.recovery.RecoveryRamp;

/**
 * Handles operators' orders in a recovery: {@code recovery hold|resume|force [reason=TEXT]} and
 * {@code recovery forget name=ZONE [reason=TEXT]}. Stateless; used on the state loop.
 */
public final class RecoveryOrder {
    private RecoveryOrder() {}

    /** Decides an order on a node's copy of the fleet; a write's description is its answer. */
    public static AdminResult handle(
            FleetView fleet, RecoveryRamp ramp, String verb, FormAttributes attributes) {
        Epoch epoch = Epoch.of(fleet);
        String reason = attributes.get("reason");
        String orderedBy = reason.isEmpty() ? "operator" : "operator: " + reason;
        if (verb.equals("forget")) {
            return forgetZone(fleet, epoch, attributes.get("name"), orderedBy);
        }
        if (epoch.ended()) {
            return new AdminResult.Rejection("no recovery is in progress");
        }
        return switch (verb) {
            case "hold" -> hold(epoch, orderedBy);
            case "resume" -> resume(epoch, orderedBy);
            case "force" -> force(epoch, ramp, orderedBy);
            default ->
                    new AdminResult.Rejection(
                            "recovery: expected show, hold, resume, force or forget; found "
                                    + verb);
        };
    }

    /** Excludes a zone that will not return, so that its members no longer count as lost. */
    private static AdminResult forgetZone(
            FleetView fleet, Epoch epoch, String zone, String orderedBy) {
        List<Member> members =
                fleet.members().values().stream()
                        .filter(member -> member.zone().equals(zone))
                        .toList();
        if (members.isEmpty()) {
            return new AdminResult.Rejection("no member is in zone " + zone);
        } else if (members.stream().anyMatch(Member::hasLease)) {
            return new AdminResult.Rejection("members of zone " + zone + " still hold leases");
        }
        return write(
                epoch.withForgottenZone(zone, orderedBy),
                "recovery: zone " + zone + " is not coming back, " + orderedBy);
    }

    private static AdminResult hold(Epoch epoch, String orderedBy) {
        return epoch.held()
                ? new AdminResult.Rejection("the recovery is already held")
                : write(
                        epoch.withHeld(true, orderedBy),
                        "recovery " + epoch.number() + " is held, " + orderedBy);
    }

    private static AdminResult resume(Epoch epoch, String orderedBy) {
        return epoch.held()
                ? write(
                        epoch.withHeld(false, orderedBy),
                        "recovery " + epoch.number() + " goes on, " + orderedBy)
                : new AdminResult.Rejection("the recovery is not held");
    }

    /** Advances the recovery to the next step, or ends it if it is at the last one. */
    private static AdminResult force(Epoch epoch, RecoveryRamp ramp, String orderedBy) {
        if (epoch.step() == ramp.steps()) {
            return write(
                    epoch.asEnded(orderedBy),
                    "recovery " + epoch.number() + " is over, " + orderedBy);
        }
        int nextStep = epoch.step() + 1;
        return write(
                epoch.atStep(nextStep, orderedBy),
                "recovery " + epoch.number() + " step " + nextStep + ", " + orderedBy);
    }

    private static AdminResult write(Epoch epoch, String description) {
        ConditionalWrite write = epoch.write(description);
        return new AdminResult.Write(description, write);
    }
}
