package reeldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestNamesTest {
    private final RequestNames names = new RequestNames();

    @Test
    void aReservedNameIsInUseHoweverLongItsRequestTakes() {
        assertFalse(names.inUse("q", 0));
        names.reserve("q");
        assertTrue(names.inUse("q", 1e9));
    }

    @Test
    void aReleasedNameStaysInUseForThreeSeconds() {
        names.reserve("q");
        names.release("q", 1000, 0);
        assertTrue(names.inUse("q", 4000));
        assertFalse(names.inUse("q", 4001));
    }

    @Test
    void namesOfEndedRequestsAreForgotten() {
        names.reserve("q");
        names.reserve("open");
        names.release("q", 1000, 0);
        names.inUse("another", 9000);
        assertEquals(1, names.size());
    }

    @Test
    void aNameIsNotFreeBeforeTheDeadlineUntilWhichItsClientMayComeAgain() {
        names.reserve("q");
        names.release("q", 1000, 9000);
        assertTrue(names.inUse("q", 9000));
        assertFalse(names.inUse("q", 9001));
    }

    @Test
    void everNewNamesTakeNoMoreThanTheirShareOfMemory() {
        for (int i = 0; i <= RequestNames.MAX_ENDED; i++) {
            names.reserve("q" + i);
            names.release("q" + i, 1000, 0);
        }
        assertEquals(RequestNames.MAX_ENDED, names.size());
        assertFalse(names.inUse("q0", 1000));
        assertTrue(names.inUse("q1", 1000));
    }
}
