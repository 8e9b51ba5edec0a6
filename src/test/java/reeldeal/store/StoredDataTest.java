package reeldeal.store;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.storage.DataDirectory;

/**
 * Reads data directories that revision 9332643 of the program wrote: one in a fault-injection run
 * with a release, keyed requests, a killed broker and a killed leader (scenario.json, seed 7), the
 * other restored from the backup of the first. The present program must read them, and must write
 * the same content byte for byte.
 */
public class StoredDataTest {
    private static final Path RESOURCES = Path.of("src/test/resources/stored");
    private static final int SEGMENT_BYTES = 4 << 20;

    @Rule public TemporaryFolder folder = new TemporaryFolder();

    private RaftNode.PersistentState open(String name, String node) throws IOException {
        Path copy = folder.newFolder().toPath();
        try (var files = Files.list(RESOURCES.resolve(name))) {
            for (Path file : files.toList()) {
                Files.copy(file, copy.resolve(file.getFileName()));
            }
        }
        try (DataDirectory opened =
                DataDirectory.open(copy, node, GroupConfiguration.of("nobody"), SEGMENT_BYTES)) {
            assertEquals("no torn write is cut", 0, opened.openResult().truncatedBytes());
            return opened.openResult().state();
        }
    }

    private static KeyValueState replay(RaftNode.PersistentState persisted) throws IOException {
        KeyValueState state = KeyValueState.fromSnapshot(persisted.snapshot().data());
        for (Entry entry : persisted.entries()) {
            state.apply(entry.index(), entry.data(), new ArrayList<>());
        }
        return state;
    }

    private static byte[] recordedState() throws IOException {
        return Backup.read(RESOURCES.resolve("state.backup")).freeze().toBytes();
    }

    @Test
    public void aLogGivesTheStateThatWasExportedFromIt() throws Exception {
        KeyValueState state = replay(open("log", "drill b3"));
        assertArrayEquals(recordedState(), state.freeze().toBytes());
        Path exported = folder.newFile().toPath();
        Backup.write(exported, state.freeze());
        assertArrayEquals(
                Files.readAllBytes(RESOURCES.resolve("state.backup")),
                Files.readAllBytes(exported));
    }

    @Test
    public void aSnapshotGivesTheSameState() throws Exception {
        RaftNode.PersistentState persisted = open("snapshot", "restored n1");
        assertEquals(574, persisted.snapshot().index());
        assertArrayEquals(recordedState(), persisted.snapshot().data().toBytes());
        assertArrayEquals(recordedState(), replay(persisted).freeze().toBytes());
    }

    @Test
    public void aRestoredDirectoryEqualsTheRecordedOne() throws Exception {
        Path restored = folder.newFolder().toPath();
        Backup.restore(
                RESOURCES.resolve("state.backup"),
                restored,
                "restored",
                "n1",
                java.util.Set.of("n1", "n2", "n3"));
        for (String file : new String[] {"FORMAT", "promise", "snapshot-574"}) {
            assertArrayEquals(
                    file,
                    Files.readAllBytes(RESOURCES.resolve("snapshot").resolve(file)),
                    Files.readAllBytes(restored.resolve(file)));
        }
    }

    @Test
    public void theFleetsValuesAreReadWithAllTheirFields() throws Exception {
        Map<String, FleetView.Value> values = new TreeMap<>();
        KeyValueState state = KeyValueState.fromBytes(recordedState());
        state.valuesUnder(FleetView.ROOT)
                .forEach(
                        (key, value) ->
                                values.put(
                                        key, new FleetView.Value(value.text(), value.version())));
        FleetView fleet = new FleetView(values);
        assertEquals(5, fleet.members().size());
        assertEquals(5, fleet.steps().size());
        fleet.steps()
                .values()
                .forEach(
                        step ->
                                assertEquals(
                                        values.get(FleetView.STEP + step.name()).text(),
                                        FleetCodec.encode(step).toString()));
        fleet.members()
                .values()
                .forEach(
                        member -> {
                            FleetView.Value stored = values.get(FleetView.STATE + member.name());
                            assertEquals(
                                    stored.text(),
                                    fleet.stateWrite(member, member.state(), member.reason())
                                            .changes()
                                            .get(FleetView.STATE + member.name()));
                        });
        assertEquals(
                values.get(FleetView.RELEASE).text(),
                FleetCodec.encode(fleet.release()).toString());
        fleet.permits(FleetView.Kind.SEARCHER)
                .values()
                .forEach(
                        permit ->
                                assertEquals(
                                        values.get(
                                                        FleetView.permitKey(
                                                                permit.kind(), permit.name()))
                                                .text(),
                                        FleetCodec.encodePermit(
                                                        permit.processMark(),
                                                        permit.requestedBy(),
                                                        permit.planned(),
                                                        permit.reason())
                                                .toString()));
    }

    @Test
    public void requestRecordsAreWrittenAsTheyWereRead() throws Exception {
        KeyValueState state = KeyValueState.fromBytes(recordedState());
        Map<String, KeyValueState.Value> records = state.valuesUnder(RequestRecord.ROOT);
        assertTrue(records.size() + " records", records.size() > 150);
        records.forEach(
                (key, value) -> {
                    RequestRecord record = RequestRecord.parse(key, value.text(), value.version());
                    assertEquals(key, RequestRecord.storeKey(record.key()));
                    assertEquals(value.text(), record.toAttributes().toString());
                });
    }
}
