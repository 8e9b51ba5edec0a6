package reeldeal.store;

import java.net.InetSocketAddress;
import java.util.List;
import reeldeal.consensus.GroupConfiguration;

/**
 * Keeps a connection to each node that this one sends to: those of its own configuration file, and
 * those whose addresses are in the store. Belongs to the event loop.
 */
final class PeerDirectory {
    private final StoreConfig config;
    private final PeerConnections connections;
    private GroupConfiguration connectedConfiguration;

    PeerDirectory(StoreConfig config, PeerConnections connections) {
        this.config = config;
        this.connections = connections;
    }

    /** Connects to all nodes of a configuration and the addresses in a state. */
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

    /** Connects anew if the configuration is another than the one connected for. */
    @SuppressWarnings("ReferenceEquality") // the very value that connections were made for
    void update(GroupConfiguration configuration, KeyValueState state) {
        if (connectedConfiguration != null && configuration != connectedConfiguration) {
            connectAll(configuration, state);
        }
    }

    /** Follows the addresses among committed changes. */
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

    /** A learner has messages for voters only, and voters for all. */
    private boolean sendsTo(String node) {
        return connectedConfiguration.voters().contains(config.node())
                || connectedConfiguration.voters().contains(node);
    }

    /** A node's address in the store; the one in this node's own file has precedence. */
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

    /** The address of a node, this one included, as {@code HOST:PORT}; "" if it is not known. */
    String addressOf(String node) {
        InetSocketAddress address =
                node.equals(config.node()) ? config.nodes().get(node) : connections.address(node);
        return address == null ? "" : address.getHostString() + ":" + address.getPort();
    }
}
