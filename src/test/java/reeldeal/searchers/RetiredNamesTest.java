package reeldeal.searchers;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests how long a connection remembers the names of shard requests that are no longer pending. */
public class RetiredNamesTest {
    private final RetiredNames names = new RetiredNames();

    @Test
    public void anAbandonedNameIsRemovedByItsLateAnswer() {
        names.addAbandoned("q1.3", 0);
        assertTrue(names.isAbandoned("q1.3"));
        assertTrue(names.removeAbandoned("q1.3"));
        assertFalse(names.isAbandoned("q1.3"));
        assertFalse(names.removeAbandoned("q1.3"));
    }

    @Test
    public void anAbandonedNameExpiresAfterItsRetention() {
        names.addAbandoned("q1.3", 10);
        names.expire(10 + RetiredNames.ABANDONED_RETENTION_MS);
        assertTrue(names.isAbandoned("q1.3"));
        names.expire(11 + RetiredNames.ABANDONED_RETENTION_MS);
        assertFalse(names.isAbandoned("q1.3"));
    }

    @Test
    public void onlyTheLastServedNamesAreRemembered() {
        for (int i = 0; i <= RetiredNames.MAX_SERVED; i++) {
            names.addServed("q" + i);
        }
        assertFalse(names.isServed("q0"));
        assertTrue(names.isServed("q1"));
        assertTrue(names.isServed("q" + RetiredNames.MAX_SERVED));
    }
}
