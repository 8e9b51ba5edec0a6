package reeldeal.store;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.Test;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Message;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.StoredIdentifier;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.fleet.takeover.ServerStatsExchange;

/**
 * Checks the names and letters under which data is stored or sent between nodes. They are listed as
 * literals, so that a rename in the code cannot change them unnoticed.
 */
public class StoredIdentifiersTest {
    private static final GroupConfiguration GROUP =
            new GroupConfiguration(Set.of("a", "b", "c"), Set.of("d"));

    private static <E extends Enum<E> & StoredIdentifier> List<String> storedIdentifiers(
            Class<E> type) {
        List<String> identifiers =
                Arrays.stream(type.getEnumConstants()).map(StoredIdentifier::stored).toList();
        identifiers.forEach(
                identifier ->
                        assertEquals(
                                identifier, StoredIdentifier.parse(type, identifier).stored()));
        return identifiers;
    }

    @Test
    public void enumsAreStoredUnderTheseIdentifiers() {
        assertEquals(List.of("BROKER", "SEARCHER"), storedIdentifiers(FleetView.Kind.class));
        assertEquals(
                List.of("broker", "searcher"),
                Arrays.stream(FleetView.Kind.values()).map(FleetView.Kind::lowerCase).toList());
        assertEquals(
                List.of("STARTING", "SERVING", "DRAINING", "GONE", "LAPSED"),
                storedIdentifiers(FleetView.State.class));
        assertEquals(
                List.of("WAITING", "DRAIN", "RESTART", "UNDRAIN", "BACK", "SETTLED", "UNTOUCHED"),
                storedIdentifiers(FleetView.Stage.class));
        assertEquals(
                List.of("PLANNED", "RUNNING", "PAUSED", "HALTED", "DONE"),
                storedIdentifiers(FleetView.Progress.class));
        assertEquals(
                List.of("OPEN", "DONE", "FAILED", "UNKNOWN"),
                storedIdentifiers(RequestRecord.State.class));
        assertEquals(List.of("none", "zone", "whole"), storedIdentifiers(Epoch.Kind.class));
    }

    @Test
    public void keysBeginWithThesePrefixes() {
        assertEquals(
                List.of(
                        "fleet/",
                        "fleet/policy",
                        "fleet/boot/",
                        "fleet/state/",
                        "fleet/searcher/",
                        "fleet/target/",
                        "fleet/config/",
                        "fleet/release",
                        "fleet/step/",
                        "fleet/serial"),
                List.of(
                        FleetView.ROOT,
                        FleetView.POLICY,
                        FleetView.REGISTRATION,
                        FleetView.STATE,
                        FleetView.SEARCHER,
                        FleetView.TARGET_CONFIG,
                        FleetView.CONFIG,
                        FleetView.RELEASE,
                        FleetView.STEP,
                        FleetView.PERMIT_SERIAL));
        assertEquals("fleet/drain/broker/b", FleetView.drainKey(FleetView.Kind.BROKER, "b"));
        assertEquals("fleet/permit/searcher/s", FleetView.permitKey(FleetView.Kind.SEARCHER, "s"));
        assertEquals("fleet/recovery", Epoch.KEY);
        assertEquals("work/", RequestRecord.ROOT);
        assertEquals("work/class+k%2F1", RequestRecord.storeKey("class k/1"));
        assertEquals("learned/", ServerStatsExchange.ROOT);
        assertEquals("session/", LocalMember.SESSION_PREFIX);
        assertEquals("session/", KeyValueState.PINNED_SESSION_PREFIX);
        assertEquals("quota/", KeyValueState.QUOTA_PREFIX);
        assertEquals("feature/level", KeyValueState.LEVEL_KEY);
        assertEquals("node/", StoreNode.NODE_KEY_PREFIX);
    }

    @Test
    public void aFleetWithZonesKeyedRequestsAndAReleaseStoresTheseKindsOfKeys() throws IOException {
        Set<String> kinds = new TreeSet<>();
        KeyValueState state = Backup.read(Path.of("src/test/resources/stored/state.backup"));
        state.valuesUnder("")
                .keySet()
                .forEach(
                        key ->
                                kinds.add(
                                        key.replaceFirst(
                                                        "/(k=|key|bid|b[0-9]$|s[0-9][.]|[0-9a-f]{12}$|drill|audit).*",
                                                        "/*")
                                                .replaceFirst("(work|session)/.*", "$1/*")));
        assertEquals(
                "[config/broker, feature/fresh, feature/level, fleet/boot/*, fleet/config/*, fleet/drain/searcher/*, fleet/judged, "
                        + "fleet/permit/searcher/*, fleet/policy, fleet/release, fleet/searcher/*, fleet/serial, fleet/state/*, fleet/step/*, fleet/target/*, "
                        + "quota/work, session/*, work/*, zone/*]",
                kinds.toString());
    }

    private static void assertEncoded(String hex, byte[] bytes) {
        assertEquals(hex, HexFormat.of().formatHex(bytes));
    }

    @Test
    public void consensusMessagesHaveTheseBytes() {
        Entry entry = new Entry(7, 3, new byte[] {1, 2}, null);
        Entry membershipChange = new Entry(8, 3, new byte[0], GROUP);
        assertEncoded(
                "000167760001610001620000000000000005000000000000000700000000000000030100",
                PeerCodec.write("g", new Message.VoteRequest("a", "b", 5, 7, 3, true, false)));
        assertEncoded(
                "0001675600016100016200000000000000050001",
                PeerCodec.write("g", new Message.VoteResponse("a", "b", 5, false, true)));
        assertEncoded(
                "00016761000161000162000000000000000500000000000000060000000000000003000000000000000400000002000000000000000700000000000000030000000002010200000000000000080000000000000003010003000161000162000163000100016400000000",
                PeerCodec.write(
                        "g",
                        new Message.AppendRequest(
                                "a", "b", 5, 6, 3, List.of(entry, membershipChange), 4)));
        assertEncoded(
                "00016741000161000162000000000000000501000000000000000800000000000000020000000000000001",
                PeerCodec.write("g", new Message.AppendResponse("a", "b", 5, true, 8, 2, 1)));
        assertEncoded(
                "00016768000161000162000000000000000500000000000000040000000000000009000000000000000a",
                PeerCodec.write("g", new Message.Heartbeat("a", "b", 5, 4, 9, 10)));
        assertEncoded(
                "0001674800016100016200000000000000050000000000000009",
                PeerCodec.write("g", new Message.HeartbeatResponse("a", "b", 5, 9)));
        assertEncoded(
                "00016770000161000162000000000000000500000000000000070000000000000003010003000161000162000163000100016400000010000000010900000020",
                PeerCodec.write(
                        "g",
                        new Message.SnapshotChunk(
                                "a",
                                "b",
                                5,
                                new Message.SnapshotHeader(7, 3, GROUP, 32),
                                16,
                                new byte[] {9})));
        assertEncoded(
                "000167500001610001620000000000000005000000000000000700000011",
                PeerCodec.write("g", new Message.SnapshotChunkResponse("a", "b", 5, 7, 17)));
        assertEncoded(
                "000167730001610001620000000000000005",
                PeerCodec.write("g", new Message.TimeoutNow("a", "b", 5)));
    }

    @Test
    public void peerMessagesHaveTheseBytes() {
        assertEncoded(
                "0001674c00016100000002",
                PeerMessageCodec.write("g", new PeerMessage.Hello("a", 2)));
        assertEncoded(
                "00016777000161000162000000000000000b0000000104",
                PeerMessageCodec.write("g", new PeerMessage.Forward("a", "b", 11, new byte[] {4})));
        assertEncoded(
                "00016757000161000162000000000000000b63000000000000000c00000000",
                PeerMessageCodec.write(
                        "g", new PeerMessage.Forwarded("a", "b", 11, new StoreNode.Committed(12))));
        assertEncoded(
                "00016757000161000162000000000000000b720000000000000000000000026e6f",
                PeerMessageCodec.write(
                        "g",
                        new PeerMessage.Forwarded("a", "b", 11, new StoreNode.Rejected("no"))));
        assertEncoded(
                "00016757000161000162000000000000000b6500000000000000000000000163",
                PeerMessageCodec.write(
                        "g",
                        new PeerMessage.Forwarded("a", "b", 11, new StoreNode.NotLeader("c"))));
        assertEncoded(
                "00016757000161000162000000000000000b75000000000000000000000000",
                PeerMessageCodec.write(
                        "g", new PeerMessage.Forwarded("a", "b", 11, new StoreNode.Unknown())));
        assertEncoded(
                "0001676d000161000162000000024601",
                PeerMessageCodec.write(
                        "g", new PeerMessage.TopicMessage("a", "b", new byte[] {'F', 1})));
        assertEncoded(
                "00016771000000000000000d0000000a666c6565742073656c66",
                PeerMessageCodec.write("g", new PeerMessage.AdminRequest(13, "fleet self")));
        assertEncoded(
                "00016751000000000000000d0000000003776879000162",
                PeerMessageCodec.write("g", new PeerMessage.AdminResponse(13, false, "why", "b")));
    }
}
