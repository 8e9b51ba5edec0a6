package reeldeal.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import reeldeal.consensus.Entry;

/** Tests the copy that a node serves if it does not reach its group after its start. */
public class StaleStartTest {
    private final StaleStart staleStart = new StaleStart(line -> {});
    private final KeyValueState state = new KeyValueState();

    private static Entry entry(long index, String value) {
        byte[] data =
                KeyValueState.encode(KeyValueState.Command.of(List.of(new Change("k", value))));
        return new Entry(index, 1, data, null);
    }

    @Test
    public void theCopyHasTheEntriesAfterTheState() {
        staleStart.createCopy(state.freeze(), List.of(entry(1, "1"), entry(2, "2")));
        assertEquals("2", staleStart.copy().get("k").text());
        assertNull("the state itself must not change", state.get("k"));
    }

    @Test
    public void theCopyEndsBeforeAnEntryOfANewerFormat() {
        Entry newerFormat = entry(2, "2");
        newerFormat.data()[0] = 2;
        staleStart.createCopy(state.freeze(), List.of(entry(1, "1"), newerFormat, entry(3, "3")));
        assertEquals("1", staleStart.copy().get("k").text());
    }

    @Test
    public void listenersGetTheCopyBeforeOrAfterItIsMade() {
        List<KeyValueState> copies = new ArrayList<>();
        staleStart.whenServing(copies::add);
        staleStart.createCopy(state.freeze(), List.of());
        staleStart.whenServing(copies::add);
        assertEquals(List.of(staleStart.copy(), staleStart.copy()), copies);
    }

    @Test
    public void aDiscardedCopyIsNotServed() {
        staleStart.createCopy(state.freeze(), List.of());
        staleStart.discard();
        assertNull(staleStart.copy());
    }
}
