package reeldeal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against memory that grows with each piece in which a client sends its request. */
class ArrivalTimesTest {
    @Test
    void aSlowClientTakesNoMemoryForEachPieceThatItSends() {
        ArrivalTimes arrivals = new ArrivalTimes();
        for (int ms = 0; ms < 10_000; ms++) {
            arrivals.add(1, ms);
        }
        assertTrue(arrivals.size() <= ArrivalTimes.MAX_READS);
        long firstHalfArrivedAt = arrivals.takeParsed(5_000);
        assertTrue(firstHalfArrivedAt <= 4_999, "a wait would count as shorter than it was");
        assertEquals(9_999, arrivals.takeParsed(0));
    }
}
