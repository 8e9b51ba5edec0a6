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
 * What a stopped node's folder says happened to the fleet: each commit that changed one of its
 * keys, in order.
 */
final class CommitLogReader {
    private CommitLogReader() {}

    /**
     * The commits as words: {@code version} and each changed key with its new value, or with {@code
     * -} where it went.
     */
    static List<String> commits(Path folder, String identity, String node) throws IOException {
        List<String> commits = new ArrayList<>();
        try (DataDirectory directory =
                DataDirectory.open(folder, identity, GroupConfiguration.of(node), 4 << 20)) {
            RaftNode.PersistentState persisted = directory.opened().state();
            KeyValueState state = KeyValueState.fromBytes(persisted.snapshot().data());
            for (Entry entry : persisted.entries()) {
                List<Change> changed = new ArrayList<>();
                state.apply(entry.index(), entry.data(), changed);
                FormAttributes attributes = new FormAttributes().with("version", entry.index());
                changed.stream()
                        .filter(
                                change ->
                                        (change.key().startsWith(FleetView.ROOT)
                                                        || change.key().startsWith(RequestRecord.ROOT))
                                                && !change.key().startsWith(FleetView.CONFIG))
                        .forEach(
                                change ->
                                        attributes.with(
                                                change.key(),
                                                change.value() == null ? "-" : "+" + change.value()));
                if (attributes.all().size() > 1) {
                    commits.add(attributes.toString());
                }
            }
        }
        return commits;
    }
}
