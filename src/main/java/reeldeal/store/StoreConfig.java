package reeldeal.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.consensus.GroupConfiguration;

/**
 * The configuration of one node of the store.
 *
 * @param group the name of the group, which every message contains
 * @param node this node's name
 * @param nodes the addresses on which the nodes listen, including this node's own
 * @param voters the initial voters of a new group, the other nodes being learners; if empty, all
 *     nodes are voters
 * @param joins whether the node joins an existing group; it then takes part only after the group
 *     has added it
 * @param directory the data directory
 * @param backup the file to which the state is backed up regularly, or null for no backups
 * @param backupMs the interval between backups
 */
public record StoreConfig(
        String group,
        String node,
        Map<String, InetSocketAddress> nodes,
        Set<String> voters,
        boolean joins,
        Path directory,
        Path backup,
        long backupMs) {

    /** Creates a configuration with immutable copies of the collections. */
    public StoreConfig {
        nodes = Map.copyOf(nodes);
        voters = Set.copyOf(voters);
    }

    /**
     * Returns the group configuration of a new data directory, without this node if it joins an
     * existing group.
     */
    GroupConfiguration firstConfiguration() {
        Set<String> firstVoters = new TreeSet<>(voters.isEmpty() ? nodes.keySet() : voters);
        Set<String> learners = new TreeSet<>(nodes.keySet());
        learners.removeAll(firstVoters);
        GroupConfiguration all = new GroupConfiguration(firstVoters, learners);
        return joins ? all.without(node) : all;
    }
}
