package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.storage.DataDirectory;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;

/**
 * Reads from a stopped node's data directory the commits that changed keys of the fleet or records
 * of keyed requests, in the order of the log.
 */
final class CommitLogReader {
    private CommitLogReader() {}

    /**
     * Returns each commit as form-encoded attributes: {@code version}, and each changed key with
     * {@code +VALUE}, or with {@code -} if the key was removed. Stored configurations are left out.
     */
    static List<String> commits(Path folder, String identity, String node) throws IOException {
        List<String> commits = new ArrayList<>();
        try (DataDirectory directory =
                DataDirectory.open(folder, identity, GroupConfiguration.of(node), 4 << 20)) {
            RaftNode.PersistentState persisted = directory.openResult().state();
            KeyValueState state = KeyValueState.fromSnapshot(persisted.snapshot().data());
            for (Entry entry : persisted.entries()) {
                List<Change> changed = new ArrayList<>();
                state.apply(entry.index(), entry.data(), changed);
                FormAttributes attributes = new FormAttributes().with("version", entry.index());
                changed.stream()
                        .filter(
                                change ->
                                        (change.key().startsWith(FleetView.ROOT)
                                                        || change.key()
                                                                .startsWith(RequestRecord.ROOT))
                                                && !change.key().startsWith(FleetView.CONFIG))
                        .forEach(
                                change ->
                                        attributes.with(
                                                change.key(),
                                                change.value() == null
                                                        ? "-"
                                                        : "+" + change.value()));
                if (attributes.all().size() > 1) {
                    commits.add(attributes.toString());
                }
            }
        }
        return commits;
    }
}
