package reeldeal.dns;

import static org.junit.Assert.assertEquals;

import java.util.SplittableRandom;
import org.junit.Test;
import reeldeal.dns.ZoneSuccession.Arrival;
import reeldeal.dns.ZoneSuccession.Verdict;

/** Tests which of two copies of a zone is the newer one, for each way in which one can arrive. */
public class ZoneSuccessionTest {
    private static final long SERIALS = 1L << 32;
    private static final long LARGEST_STEP = (1L << 31) - 1;

    @Test
    public void theFirstCopyIsTakenHoweverItArrives() {
        for (Arrival arrival : Arrival.values()) {
            assertEquals(Verdict.NEWER, ZoneSuccession.judge(arrival, ZoneSuccession.NO_SERIAL, 0));
        }
    }

    @Test
    public void everyStepOfSerialNumberArithmeticIsNewerAndItsReverseOlder() {
        SplittableRandom random = new SplittableRandom(61);
        for (int i = 0; i < 100_000; i++) {
            long serial = random.nextLong(SERIALS);
            long step = i % 3 == 0 ? LARGEST_STEP : 1 + random.nextLong(LARGEST_STEP);
            long next = (serial + step) % SERIALS;
            Arrival arrival = i % 2 == 0 ? Arrival.UPDATE : Arrival.TRANSFER;
            String context = arrival + " from " + serial + " to " + next;
            assertEquals(context, Verdict.NEWER, ZoneSuccession.judge(arrival, serial, next));
            assertEquals(context, Verdict.OLDER, ZoneSuccession.judge(arrival, next, serial));
            assertEquals(context, Verdict.SAME, ZoneSuccession.judge(arrival, serial, serial));
        }
    }

    @Test
    public void aCopyHalfOfTheCircleAwayCannotBeOrderedAndIsNotUsed() {
        assertEquals(Verdict.OLDER, ZoneSuccession.judge(Arrival.TRANSFER, 5, 5 + (1L << 31)));
        assertEquals(Verdict.OLDER, ZoneSuccession.judge(Arrival.UPDATE, 5 + (1L << 31), 5));
    }

    @Test
    public void aZoneFileOrACopyFromBeforeARestartReplacesNothing() {
        for (long serial : new long[] {4, 5, 6}) {
            assertEquals(Verdict.OLDER, ZoneSuccession.judge(Arrival.ZONE_FILE, 5, serial));
            assertEquals(Verdict.OLDER, ZoneSuccession.judge(Arrival.RESTART, 5, serial));
        }
    }
}
