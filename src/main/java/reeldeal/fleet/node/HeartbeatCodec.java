package reeldeal.fleet.node;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Collectors;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.rollout.RolloutHealth;

/**
 * Encodes and decodes members' heartbeats and the leader's answers. The attribute names are part of
 * the protocol between nodes and must not change. Stateless, callable from any thread.
 */
final class HeartbeatCodec {
    private static final int MAX_EJECTED = 100;

    /** A message between a member and the leader. */
    sealed interface Message {}

    /**
     * A member's heartbeat.
     *
     * @param incarnation the member's incarnation
     * @param leaderNonce the nonce of the last answer that the member received, "" if it had none
     * @param sentAtMs the time by the member's steady clock, returned in the answer
     * @param appliedVersion the version up to which the member has applied the log
     * @param wallMs the member's wall clock, Unix ms; 0 from earlier program versions without it
     * @param counts the member's request counts since its start
     * @param ejected the searchers that the member has ejected
     */
    record Heartbeat(
            long incarnation,
            String leaderNonce,
            long sentAtMs,
            long appliedVersion,
            long wallMs,
            RolloutHealth.Counts counts,
            Set<String> ejected)
            implements Message {}

    /**
     * The leader's answer to a heartbeat.
     *
     * @param incarnation the incarnation in the heartbeat
     * @param sentAtMs the sending time in the heartbeat
     * @param leaderNonce identifies this leadership
     * @param outageClassified whether the leader is certain of the extent of the last loss
     * @param fleetWallMs the fleet's wall clock, Unix ms; 0 if the leader does not know it
     */
    record Answer(
            long incarnation,
            long sentAtMs,
            String leaderNonce,
            boolean outageClassified,
            long fleetWallMs)
            implements Message {}

    private HeartbeatCodec() {}

    static byte[] encode(Heartbeat heartbeat) {
        RolloutHealth.Counts counts = heartbeat.counts();
        String ejected =
                heartbeat.ejected().stream().limit(MAX_EJECTED).collect(Collectors.joining(","));
        return toBytes(
                new FormAttributes()
                        .with("beat", heartbeat.incarnation())
                        .with("by", heartbeat.leaderNonce())
                        .with("sent", heartbeat.sentAtMs())
                        .with("seen", heartbeat.appliedVersion())
                        .with("wall", heartbeat.wallMs())
                        .with("asked", counts.requests())
                        .with("late", counts.late())
                        .with("refused", counts.rejected())
                        .with("attempts", counts.attempts())
                        .with("failed", counts.failed())
                        .with("ejected", ejected));
    }

    static byte[] encode(Answer answer) {
        return toBytes(
                new FormAttributes()
                        .with("held", answer.incarnation())
                        .with("sent", answer.sentAtMs())
                        .with("by", answer.leaderNonce())
                        .with("judged", answer.outageClassified())
                        .with("wall", answer.fleetWallMs()));
    }

    private static byte[] toBytes(FormAttributes attributes) {
        return attributes.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the decoded message, or null if this version does not know its type. */
    static Message decode(byte[] bytes) {
        FormAttributes attributes = FormAttributes.of(new String(bytes, StandardCharsets.UTF_8));
        if (!attributes.get("beat").isEmpty()) {
            return decodeHeartbeat(attributes);
        } else if (!attributes.get("held").isEmpty()) {
            return new Answer(
                    attributes.number("held", 0),
                    attributes.number("sent", 0),
                    attributes.get("by"),
                    attributes.get("judged").equals("true"),
                    attributes.number("wall", 0));
        }
        return null;
    }

    private static Heartbeat decodeHeartbeat(FormAttributes attributes) {
        return new Heartbeat(
                attributes.number("beat", 0),
                attributes.get("by"),
                attributes.number("sent", 0),
                attributes.number("seen", 0),
                attributes.number("wall", 0),
                new RolloutHealth.Counts(
                        attributes.number("asked", 0),
                        attributes.number("late", 0),
                        attributes.number("refused", 0),
                        attributes.number("attempts", 0),
                        attributes.number("failed", 0)),
                Set.of(attributes.get("ejected").split(",")));
    }
}
