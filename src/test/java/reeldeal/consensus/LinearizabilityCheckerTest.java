package reeldeal.consensus;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Tests which histories of one register are accepted as linearizable. */
public class LinearizabilityCheckerTest {
    private static final ClientCall WRITE_1 = write("1", 0, 10);
    private static final ClientCall WRITE_2 = write("2", 20, 30);

    private static ClientCall write(String value, long begin, long end) {
        return call(true, value, begin, end);
    }

    private static ClientCall read(String value, long begin, long end) {
        return call(false, value, begin, end);
    }

    private static ClientCall call(boolean write, String value, long begin, long end) {
        ClientCall call = new ClientCall(write, "x", value, begin);
        call.end = end;
        return call;
    }

    private static boolean check(ClientCall... history) {
        return LinearizabilityChecker.check(List.of(history));
    }

    @Test
    public void anEmptyHistoryIsLinearizable() {
        assertTrue(check());
    }

    @Test
    public void aReadAfterAWriteMayReturnItsValue() {
        assertTrue(check(WRITE_1, WRITE_2, read("2", 31, 40)));
    }

    @Test
    public void aReadAfterAWriteMustNotReturnAnEarlierValue() {
        assertFalse(check(WRITE_1, WRITE_2, read("1", 31, 40)));
    }

    @Test
    public void aReadDuringAWriteMayReturnTheEarlierValue() {
        assertTrue(check(WRITE_1, WRITE_2, read("1", 25, 40)));
    }

    @Test
    public void aWriteOfUnknownEndMayTakeEffectLate() {
        ClientCall unknown = write("3", 0, Long.MAX_VALUE);
        assertTrue(check(unknown, WRITE_1, read("3", 50, 60)));
    }

    @Test
    public void readsMustNotGoBackToAnEarlierValue() {
        assertFalse(check(WRITE_1, WRITE_2, read("2", 31, 40), read("1", 41, 50)));
    }
}
