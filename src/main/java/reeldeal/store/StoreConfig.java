package reeldeal.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * A node of the store: its group's name, which every message bears, its own, where all nodes listen, and its folder. A new group's first voters are all of
 * these; where {@code backup} is not null, what is committed is written there every {@code backupMs}. A node that {@code joins} an existing group votes only once that has taken it in.
 */
public record StoreConfig(String group, String node, Map<String, InetSocketAddress> nodes, boolean joins, Path folder,
        Path backup, long backupMs) {
}
