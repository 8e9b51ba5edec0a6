package reeldeal.sockets;

import static org.junit.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Tests the bound on how long input may have waited. */
public class EventLoopLagTest {
    private long now = 1;
    private final EventLoopLag lag = new EventLoopLag(() -> now);

    private void pass(long ms) {
        now += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    public void aLoopOnTimeReportsNoLag() {
        assertEquals(0, lag.lagMs());
        lag.begin();
        for (int i = 0; i < 4; i++) {
            pass(15);
            assertEquals(0, lag.lagMs());
            lag.run();
        }
    }

    @Test
    public void inputThatALateLoopReadsMayHaveWaitedSinceTheRunBeforeTheLast() {
        lag.begin();
        pass(15);
        lag.run();
        pass(400);
        assertEquals(415, lag.lagMs());
        lag.run();
        pass(10);
        assertEquals(410, lag.lagMs());
        pass(15);
        lag.run();
        assertEquals(0, lag.lagMs());
    }
}
