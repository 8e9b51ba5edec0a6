package reeldeal.consensus;

import java.io.DataInput;
import java.io.DataOutput;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The members of a group: voters, and learners, which receive the log but do not vote (thesis,
 * section 4.2.1). Immutable; both sets are sorted.
 */
public record GroupConfiguration(Set<String> voters, Set<String> learners) {

    /**
     * Copies both sets. Throws IllegalArgumentException if there is no voter, or if a node is in
     * both sets.
     */
    public GroupConfiguration {
        voters = Collections.unmodifiableSet(new TreeSet<>(voters));
        learners = Collections.unmodifiableSet(new TreeSet<>(learners));
        if (voters.isEmpty()) {
            throw new IllegalArgumentException("a group needs at least one voter");
        }
        if (voters.stream().anyMatch(learners::contains)) {
            throw new IllegalArgumentException("a node cannot be both a voter and a learner");
        }
    }

    /** Returns a group of these voters without learners. */
    public static GroupConfiguration of(String... voters) {
        return new GroupConfiguration(Set.of(voters), Set.of());
    }

    /** Returns all voters and learners, sorted. */
    public Set<String> all() {
        Set<String> all = new TreeSet<>(voters);
        all.addAll(learners);
        return all;
    }

    int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Whether this configuration differs from the other one by at most one voter. Any majority of
     * the one then shares a node with any majority of the other.
     */
    boolean differsByAtMostOneVoter(GroupConfiguration other) {
        long added = voters.stream().filter(v -> !other.voters.contains(v)).count();
        long removed = other.voters.stream().filter(v -> !voters.contains(v)).count();
        return added + removed <= 1;
    }

    /** Returns this configuration with one more learner, or unchanged if the node is a voter. */
    public GroupConfiguration withLearner(String node) {
        Set<String> newLearners = new TreeSet<>(learners);
        if (!voters.contains(node)) {
            newLearners.add(node);
        }
        return new GroupConfiguration(voters, newLearners);
    }

    /** Returns this configuration with the node as a voter, and no longer as a learner. */
    public GroupConfiguration withVoter(String node) {
        Set<String> newVoters = new TreeSet<>(voters);
        newVoters.add(node);
        return new GroupConfiguration(newVoters, withoutNode(learners, node));
    }

    /** Returns this configuration without the node. */
    public GroupConfiguration without(String node) {
        return new GroupConfiguration(withoutNode(voters, node), withoutNode(learners, node));
    }

    private static Set<String> withoutNode(Set<String> nodes, String node) {
        Set<String> others = new TreeSet<>(nodes);
        others.remove(node);
        return others;
    }

    /** Writes both sets of names; files and messages share this format. */
    public void writeTo(DataOutput out) throws IOException {
        for (Set<String> names : List.of(voters, learners)) {
            out.writeShort(names.size());
            for (String name : names) {
                out.writeUTF(name);
            }
        }
    }

    /** Reads a configuration written by {@link #writeTo}; throws IOException if it is not valid. */
    public static GroupConfiguration readFrom(DataInput in) throws IOException {
        Set<String> voters = readNames(in);
        Set<String> learners = readNames(in);
        try {
            return new GroupConfiguration(voters, learners);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Set<String> readNames(DataInput in) throws IOException {
        Set<String> names = new TreeSet<>();
        for (int count = in.readUnsignedShort(); count > 0; count--) {
            names.add(in.readUTF());
        }
        return names;
    }
}
