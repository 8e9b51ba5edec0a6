package reeldeal.consensus;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;

/**
 * A group of three nodes whose messages arrive in order. Messages from and to stopped nodes are
 * lost.
 */
final class ReliableGroup {
    static final GroupConfiguration CONFIGURATION = GroupConfiguration.of("a", "b", "c");

    private final Map<String, RaftNode> nodes;
    private final Set<String> stopped = new HashSet<>();

    /** Creates the group; node "a" has the shortest election timeout. */
    ReliableGroup(RaftSettings settings) {
        nodes = createNodes(settings, bound -> bound / 2);
        nodes.put("a", createNode("a", settings, bound -> 0));
    }

    static Map<String, RaftNode> createNodes(RaftSettings settings, IntUnaryOperator random) {
        Map<String, RaftNode> nodes = new TreeMap<>();
        for (String node : CONFIGURATION.voters()) {
            nodes.put(node, createNode(node, settings, random));
        }
        return nodes;
    }

    private static RaftNode createNode(
            String node, RaftSettings settings, IntUnaryOperator random) {
        return new RaftNode(node, settings, RaftNode.PersistentState.fresh(CONFIGURATION), random);
    }

    RaftNode node(String name) {
        return nodes.get(name);
    }

    void stop(String name) {
        stopped.add(name);
    }

    RaftNode electLeader() {
        RaftNode leader = nodes.get("a");
        for (int i = 0; i < 100 && leader.role() != RaftNode.Role.LEADER; i++) {
            nodes.values().forEach(RaftNode::tick);
            deliver();
        }
        return leader;
    }

    /** Carries out the output of all nodes until there is none; returns the results of reads. */
    Ready deliver() {
        Ready readResults = new Ready();
        boolean hadOutput = true;
        while (hadOutput) {
            hadOutput = false;
            for (Map.Entry<String, RaftNode> entry : nodes.entrySet()) {
                Ready ready = entry.getValue().takeReady();
                ready.persists.forEach(request -> entry.getValue().persisted(request.number()));
                if (!stopped.contains(entry.getKey())) {
                    ready.messages.forEach(this::deliver);
                }
                readResults.reads.addAll(ready.reads);
                readResults.failedReads.addAll(ready.failedReads);
                hadOutput |= !ready.persists.isEmpty() || !ready.messages.isEmpty();
            }
        }
        return readResults;
    }

    private void deliver(Message message) {
        if (!stopped.contains(message.to())) {
            nodes.get(message.to()).receive(message);
        }
    }
}
