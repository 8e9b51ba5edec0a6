package reeldeal.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests the order of addresses, by which one of several addresses is selected. */
public class ReportSelectionTest {
    @Test
    public void addressesOfFourNumbersAndAPortAreComparedByNumber() {
        assertTrue(ReportSelection.compareAddresses("10.0.0.9:1", "10.0.0.10:1") < 0);
        assertTrue(ReportSelection.compareAddresses("10.0.0.9:80", "10.0.0.9:9") > 0);
        assertEquals(0, ReportSelection.compareAddresses("10.0.0.9:1", "10.0.0.9:1"));
    }

    @Test
    public void otherAddressesAreComparedAsText() {
        assertTrue(ReportSelection.compareAddresses("h:9", "h:10") > 0);
        assertTrue(ReportSelection.compareAddresses("[::9]:1", "[::10]:1") > 0);
    }
}
