package reeldeal.store;

import java.io.IOException;
import java.util.function.Consumer;
import reeldeal.consensus.RaftNode;
import reeldeal.storage.DataDirectory;

/** Opens the data directory of a node at its start, and logs what a crash has left there. */
final class NodeDirectory {
    private NodeDirectory() {}

    /**
     * Opens a node's data directory, after its upgrade if an earlier version has written it.
     *
     * @throws IOException if the directory cannot be used; the message contains the reason
     */
    static DataDirectory open(StoreConfig config, Consumer<String> log) throws IOException {
        String owner = config.group() + " " + config.node();
        LegacyFolderUpgrade.upgradeIfNeeded(config.directory(), owner, log);
        DataDirectory opened =
                DataDirectory.open(
                        config.directory(),
                        owner,
                        config.firstConfiguration(),
                        StoreNode.SEGMENT_BYTES);
        if (opened.openResult().truncatedBytes() > 0) {
            RaftNode.PersistentState persistedState = opened.openResult().state();
            log.accept(
                    "store: cut a torn write of "
                            + opened.openResult().truncatedBytes()
                            + " bytes after version "
                            + (persistedState.snapshot().index()
                                    + persistedState.entries().size()));
        }
        return opened;
    }
}
