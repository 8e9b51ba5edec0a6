package reeldeal.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/** A node of the store: its name, who writes under which term, where all nodes listen, and its folder. */
public record StoreConfig(String node, String writer, long term, Map<String, InetSocketAddress> nodes,
        Path folder) {

    int majority() {
        return nodes.size() / 2 + 1;
    }
}
