package reeldeal.fleet.leader;

import java.util.List;
import java.util.Locale;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;

/**
 * Handles {@code forget name=NAME reason=TEXT}: deletes all state of a member that will not return.
 * No other operation releases a permit without evidence that its holder has returned.
 */
final class ForgetOperation {
    private ForgetOperation() {}

    static AdminResult handle(AdminRequest request) {
        FleetView fleet = request.fleet();
        String name = request.memberName();
        Kind kind = request.memberKind();
        if (kind == null) {
            return new AdminResult.Rejection(
                    "forget: expected the name of a known member, and kind=broker or kind=searcher"
                            + " if both have that name; found "
                            + name);
        } else if (request.reason().isEmpty()) {
            return new AdminResult.Rejection(
                    "forget: expected a reason, since the permit of "
                            + name
                            + " is released without evidence of its return");
        }
        Member member = kind == Kind.BROKER ? fleet.members().get(name) : null;
        if (member != null && member.hasLease()) {
            return new AdminResult.Rejection(
                    name
                            + " is "
                            + member.state().stored().toLowerCase(Locale.ROOT)
                            + "; stop it first");
        }
        ConditionalWrite write =
                ConditionalWrite.withReason(
                        "operator forgets "
                                + kind.lowerCase()
                                + " "
                                + name
                                + ": "
                                + request.reason());
        for (String key : keysOf(kind, name)) {
            write.expect(key, fleet.version(key));
            if (fleet.version(key) != 0) {
                write.put(key, null);
            }
        }
        write.expect(FleetView.PERMIT_SERIAL, fleet.version(FleetView.PERMIT_SERIAL))
                .put(FleetView.PERMIT_SERIAL, "");
        return new AdminResult.Write("forgotten: " + name, write);
    }

    /** Returns all keys under which the store may hold state of a member. */
    private static List<String> keysOf(Kind kind, String name) {
        String permitKey = FleetView.permitKey(kind, name);
        String drainKey = FleetView.drainKey(kind, name);
        return kind == Kind.BROKER
                ? List.of(
                        permitKey,
                        drainKey,
                        FleetView.REGISTRATION + name,
                        FleetView.STATE + name,
                        FleetView.TARGET_CONFIG + name)
                : List.of(permitKey, drainKey, FleetView.SEARCHER + name);
    }
}
