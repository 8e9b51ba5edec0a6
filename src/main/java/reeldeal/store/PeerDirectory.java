package reeldeal.store;

import java.net.InetSocketAddress;
import java.util.List;
import reeldeal.consensus.GroupConfiguration;

/**
 * Keeps a connection to each node that this node sends to. The addresses come from the node's
 * configuration file and from the store. Belongs to the event loop.
 */
final class PeerDirectory {
    private final StoreConfig config;
    private final PeerConnections connections;
    private GroupConfiguration connectedConfiguration;

    PeerDirectory(StoreConfig config, PeerConnections connections) {
        this.config = config;
        this.connections = connections;
    }

    /**
     * Connects to the nodes of the configuration file and to the addresses in a state, as far as
     * this node sends to them under a group configuration.
     */
    void connectAll(GroupConfiguration configuration, KeyValueState state) {
        connectedConfiguration = configuration;
        config.nodes()
                .forEach(
                        (node, address) -> {
                            if (sendsTo(node)) {
                                connections.connect(node, address);
                            } else {
                                connections.drop(node);
                            }
                        });
        state.valuesUnder(StoreNode.NODE_KEY_PREFIX)
                .forEach((key, value) -> onAddress(nodeOf(key), value.text()));
    }

    /**
     * Updates the connections if the group configuration is not the one for which they were made.
     */
    @SuppressWarnings("ReferenceEquality") // an unchanged configuration is the same instance
    void update(GroupConfiguration configuration, KeyValueState state) {
        if (connectedConfiguration != null && configuration != connectedConfiguration) {
            connectAll(configuration, state);
        }
    }

    /** Updates the connections for the node addresses among committed changes. */
    void onChanges(List<Change> changes) {
        for (Change change : changes) {
            if (change.key().startsWith(StoreNode.NODE_KEY_PREFIX)) {
                onAddress(nodeOf(change.key()), change.value());
            }
        }
    }

    private static String nodeOf(String key) {
        return key.substring(StoreNode.NODE_KEY_PREFIX.length());
    }

    /** Whether this node sends to another: voters send to all nodes, learners to voters only. */
    private boolean sendsTo(String node) {
        return connectedConfiguration.voters().contains(config.node())
                || connectedConfiguration.voters().contains(node);
    }

    /**
     * Handles a node's address in the store, null if it was deleted. An address in this node's
     * configuration file takes precedence.
     */
    private void onAddress(String node, String address) {
        if (config.nodes().containsKey(node)) {
            return;
        }
        int colon = address == null ? -1 : address.lastIndexOf(':');
        if (colon < 0 || !sendsTo(node)) {
            connections.drop(node);
        } else {
            connections.connect(
                    node,
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
        }
    }

    /**
     * Returns the address of any node, including this one, as {@code HOST:PORT}, or "" if it is not
     * known.
     */
    String addressOf(String node) {
        InetSocketAddress address =
                node.equals(config.node()) ? config.nodes().get(node) : connections.address(node);
        return address == null ? "" : address.getHostString() + ":" + address.getPort();
    }
}
