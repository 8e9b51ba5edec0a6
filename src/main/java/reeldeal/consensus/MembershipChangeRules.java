package reeldeal.consensus;

/**
 * Decides which membership changes a running group allows, based on the progress that its leader
 * has recorded for each member. An allowed change differs from the current configuration by at most
 * one voter, and does not lead to a group whose majority is unreachable. Pure functions of their
 * arguments.
 */
public final class MembershipChangeRules {
    /** The most of the leader's entries that a learner may lack when it becomes a voter. */
    public static final long MAX_ENTRIES_BEHIND = 1_000;

    /** The changes that operators may request. */
    public enum Change {
        /** A new node becomes a learner. */
        ADD,
        /** A learner becomes a voter. */
        PROMOTE,
        /** A voter becomes a learner. */
        DEMOTE,
        /** A member is removed. */
        REMOVE
    }

    /**
     * The configuration after the change, or the reason why the change is rejected; the other one
     * is null.
     */
    public record Decision(GroupConfiguration configuration, String rejection) {
        private static Decision accept(GroupConfiguration configuration) {
            return new Decision(configuration, null);
        }

        private static Decision reject(String reason) {
            return new Decision(null, reason);
        }
    }

    /** Gives access to the members' progress as recorded by their leader. */
    public interface ProgressView {
        /** Returns the progress of one member. */
        RaftNode.NodeProgress progressOf(String node);
    }

    private MembershipChangeRules() {}

    /** Decides whether a change of one node may be made to {@code current}. */
    public static Decision evaluate(
            GroupConfiguration current, Change change, String node, ProgressView view) {
        return switch (change) {
            case ADD -> add(current, node);
            case PROMOTE -> promote(current, node, view);
            case DEMOTE -> demote(current, node, view);
            case REMOVE -> remove(current, node, view);
        };
    }

    private static Decision add(GroupConfiguration current, String node) {
        return current.voters().contains(node) || current.learners().contains(node)
                ? Decision.reject(node + " is in the group already")
                : Decision.accept(current.withLearner(node));
    }

    private static Decision promote(GroupConfiguration current, String node, ProgressView view) {
        if (current.voters().contains(node)) {
            return Decision.reject(node + " votes already");
        }
        if (!current.learners().contains(node)) {
            return Decision.reject(node + " is not in the group; add it first");
        }
        RaftNode.NodeProgress progress = view.progressOf(node);
        if (!progress.reachable()) {
            return Decision.reject(
                    node + " is not heard; as a voter it would count, and be missing");
        }
        if (progress.entriesBehind() > MAX_ENTRIES_BEHIND) {
            return Decision.reject(
                    node
                            + " lacks "
                            + progress.entriesBehind()
                            + " entries; "
                            + MAX_ENTRIES_BEHIND
                            + " at most before it votes");
        }
        return requireReachableMajority(current.withVoter(node), view);
    }

    private static Decision demote(GroupConfiguration current, String node, ProgressView view) {
        if (!current.voters().contains(node)) {
            return Decision.reject(node + " does not vote");
        }
        return current.voters().size() == 1
                ? Decision.reject(node + " is the only voter")
                : requireReachableMajority(current.without(node).withLearner(node), view);
    }

    private static Decision remove(GroupConfiguration current, String node, ProgressView view) {
        if (current.learners().contains(node)) {
            return Decision.accept(current.without(node));
        }
        if (!current.voters().contains(node)) {
            return Decision.reject(node + " is not in the group");
        }
        return current.voters().size() == 1
                ? Decision.reject(node + " is the only voter")
                : requireReachableMajority(current.without(node), view);
    }

    /**
     * Rejects a configuration without a reachable majority: it could not be committed, and the
     * group could then neither write nor revert the change.
     */
    private static Decision requireReachableMajority(
            GroupConfiguration proposed, ProgressView view) {
        long reachable =
                proposed.voters().stream()
                        .filter(voter -> view.progressOf(voter).reachable())
                        .count();
        return reachable >= proposed.majority()
                ? Decision.accept(proposed)
                : Decision.reject(
                        "only "
                                + reachable
                                + " of the "
                                + proposed.voters().size()
                                + " voters that there would be are heard, and "
                                + proposed.majority()
                                + " are needed");
    }
}
