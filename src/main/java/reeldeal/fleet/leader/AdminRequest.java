package reeldeal.fleet.leader;

import java.util.Arrays;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.disruption.DisruptionBudget;

/**
 * An operator's parsed request, with the state that it is decided on.
 *
 * @param operation the name of the operation, such as {@code release plan}: all words of the
 *     request without {@code =}
 * @param attributes the {@code key=value} words of the request
 * @param reason the attribute {@code reason}, truncated to 200 characters
 * @param fleet this node's copy of the fleet's state
 * @param observations state that this node observes itself and the store does not hold
 * @param silenceMs returns the time since a member's last heartbeat, ms, or -1 if it is unknown
 */
record AdminRequest(
        String operation,
        FormAttributes attributes,
        String reason,
        FleetView fleet,
        DisruptionBudget.Observations observations,
        ToLongFunction<Member> silenceMs) {
    private static final int MAX_REASON_LENGTH = 200;

    static AdminRequest parse(
            String text,
            FleetView fleet,
            DisruptionBudget.Observations observations,
            ToLongFunction<Member> silenceMs) {
        FormAttributes attributes = FormAttributes.of(text);
        String operation =
                Arrays.stream(text.trim().split(" +"))
                        .filter(word -> !word.contains("="))
                        .collect(Collectors.joining(" "));
        String reason = attributes.get("reason");
        return new AdminRequest(
                operation,
                attributes,
                reason.substring(0, Math.min(reason.length(), MAX_REASON_LENGTH)),
                fleet,
                observations,
                silenceMs);
    }

    /** Returns the name of the requested member; the final dot of a searcher is optional. */
    String memberName() {
        String name = attributes.get("name");
        boolean needsDot =
                !fleet.searchers().containsKey(name) && fleet.searchers().containsKey(name + ".");
        return needsDot ? name + "." : name;
    }

    /**
     * Returns the kind of the requested member: the attribute {@code kind}, or without it the only
     * kind that has a member called {@link #memberName}. Returns null if the attribute is invalid,
     * or if the name is unknown or used by both kinds.
     */
    Kind memberKind() {
        String kindAttribute = attributes.get("kind");
        if (!kindAttribute.isEmpty()) {
            return parseKind(kindAttribute);
        }
        boolean isBroker = fleet.members().containsKey(memberName());
        boolean isSearcher = fleet.searchers().containsKey(memberName());
        if (isBroker == isSearcher) {
            return null;
        }
        return isBroker ? Kind.BROKER : Kind.SEARCHER;
    }

    private static Kind parseKind(String text) {
        for (Kind kind : Kind.values()) {
            if (kind.lowerCase().equals(text)) {
                return kind;
            }
        }
        return null;
    }
}
