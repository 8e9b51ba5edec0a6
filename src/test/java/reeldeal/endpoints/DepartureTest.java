package reeldeal.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import org.junit.Test;

/**
 * Tests the text form of departures, which has to stay readable because it is kept on disk between
 * versions of the program.
 */
public class DepartureTest {
    @Test
    public void aDepartureIsFormattedAndParsedAsOneLine() {
        Departure unlisted = new Departure("s1.example.org.", 1_700_000_000_000L, 2, true);
        Departure draining = new Departure("s1", 5, 0, false);
        assertEquals("s1.example.org. 1700000000000 2 gone", unlisted.format());
        assertEquals("s1 5 0 draining", draining.format());
        assertEquals(unlisted, Departure.parse(unlisted.format()));
        assertEquals(draining, Departure.parse(draining.format()));
    }

    @Test
    public void aLineOfAnotherFormIsNotParsed() {
        assertNull(Departure.parse(""));
        assertNull(Departure.parse("s1 5 0"));
        assertNull(Departure.parse("s1 -5 0 gone"));
        assertNull(Departure.parse("s1 5 2147483647 gone"));
    }
}
