package reeldeal.consensus;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Tests the window that fits into what may wait unsent. */
public class RaftSettingsTest {
    private static int windowOf(long bytes) {
        return RaftSettings.DEFAULT.limitWindow(bytes).window();
    }

    @Test
    public void theWindowHasTheRequestsThatFit() {
        int messageBytes = RaftSettings.DEFAULT.messageBytes();
        assertEquals(1, windowOf(0));
        assertEquals(1, windowOf(messageBytes));
        assertEquals(7, windowOf(8L * messageBytes - 1));
        assertEquals(RaftSettings.DEFAULT.window(), windowOf(1L << 40));
    }
}
