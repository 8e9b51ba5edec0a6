package reeldeal.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * A node of the store: its name, where all nodes listen, and its folder. A new group's first voters are all of
 * these; a node that {@code joins} an existing group votes only once that has taken it in.
 */
public record StoreConfig(String node, Map<String, InetSocketAddress> nodes, boolean joins, Path folder) {
}
