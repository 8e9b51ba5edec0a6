package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Tests the effects of commands on the state, and the content of snapshots. */
public class KeyValueStateTest {
    private final KeyValueState state = new KeyValueState();
    private final List<Change> changed = new ArrayList<>();

    private KeyValueState.Outcome apply(KeyValueState.Command command) {
        changed.clear();
        return state.apply(state.version() + 1, KeyValueState.encode(command), changed);
    }

    private KeyValueState.Outcome put(String key, String value) {
        return apply(KeyValueState.Command.of(List.of(new Change(key, value))));
    }

    private static KeyValueState.Command sessionCommand(String session, String key, String value) {
        return new KeyValueState.Command(session, 1, List.of(), List.of(new Change(key, value)));
    }

    private void exceedTheSessionLimit() {
        for (int i = 0; i < 1_500; i++) {
            apply(sessionCommand("other:" + i + ":0", "o", "" + i));
        }
    }

    @Test
    public void sessionsOfLiveMembersAreNeverEvictedFromLevelTwoOn() {
        put(KeyValueState.LEVEL_KEY, "2");
        put(KeyValueState.PINNED_SESSION_PREFIX + "n:1", "");
        apply(sessionCommand("n:1:0", "k", "once"));
        exceedTheSessionLimit();
        apply(sessionCommand("n:1:0", "k", "once"));
        assertEquals(0, changed.size());
    }

    @Test
    public void sessionsOfLiveMembersAreEvictedAtLevelOneAsTheEarlierProgramDoes() {
        put(KeyValueState.LEVEL_KEY, "1");
        put(KeyValueState.PINNED_SESSION_PREFIX + "n:1", "");
        apply(sessionCommand("n:1:0", "k", "once"));
        exceedTheSessionLimit();
        apply(sessionCommand("n:1:0", "k", "once"));
        assertEquals(1, changed.size());
    }

    @Test
    public void aCommandOfANewerFormatChangesNothing() {
        byte[] newerFormat = KeyValueState.encode(KeyValueState.Command.of(List.of()));
        newerFormat[0] = 2;
        assertThrows(
                KeyValueState.UnsupportedFormatException.class,
                () -> state.apply(1, newerFormat, changed));
        assertEquals(0, state.version());
    }

    @Test
    public void aMalformedCommandIsRejectedAndAdvancesTheVersion() {
        KeyValueState.Outcome outcome = state.apply(1, new byte[] {1, 0, 0, 0, 9}, changed);
        assertEquals("malformed command: impossible count 9", outcome.rejection());
        assertEquals(1, state.version());
    }

    @Test
    public void anUnmetPreconditionRejectsAllChanges() {
        put("k", "1");
        KeyValueState.Outcome outcome =
                apply(
                        new KeyValueState.Command(
                                "",
                                0,
                                List.of(new KeyValueState.Precondition("k", 7)),
                                List.of(new Change("j", "x"))));
        assertEquals("k is at version 1, not 7", outcome.rejection());
        assertNull(state.get("j"));
    }

    @Test
    public void aQuotaLimitsTheBytesUnderItsPrefix() {
        put(KeyValueState.QUOTA_PREFIX + "p", "10");
        assertTrue(put("p/1", "1234567").isApplied());
        assertEquals("quota: p may hold 10 bytes", put("p/2", "1").rejection());
        assertEquals(10, state.bytesUnder("p"));
        assertTrue("a change that frees bytes is allowed", put("p/1", null).isApplied());
        assertEquals(0, state.bytesUnder("p"));
    }

    @Test
    public void aSnapshotKeepsValuesVersionsAndSessions() throws IOException {
        put("k", "1");
        apply(sessionCommand("s", "j", "x"));
        byte[] snapshot = state.freeze().toBytes();
        put("k", "later");
        KeyValueState restored = KeyValueState.fromBytes(snapshot);
        assertEquals(2, restored.version());
        assertEquals(new KeyValueState.Value("1", 1), restored.get("k"));
        List<Change> repeatedChanges = new ArrayList<>();
        byte[] repeated = KeyValueState.encode(sessionCommand("s", "j", "x"));
        assertEquals(2, restored.apply(3, repeated, repeatedChanges).version());
        assertEquals(List.of(), repeatedChanges);
    }
}
