package reeldeal.faultinjection.soak;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Runs short soaks with real brokers: no request may be lost under faults that overlap. */
public class FaultSoakTest {
    private static final int MIN_REQUESTS = 500;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private void assertAllRulesHold(FaultSoak.Size size, long seed) throws Exception {
        Path library = SyscallFaults.compile(folder.getRoot().toPath());
        Path files = folder.getRoot().toPath().resolve("run");
        FaultSoak.Result result = new FaultSoak(size, seed, library, files).run();
        assertEquals(
                String.join("\n", result.violations()) + result.counts(),
                0,
                result.violations().size());
        assertTrue(result.counts().toString(), result.counts().get("requests") >= MIN_REQUESTS);
        assertTrue(result.counts().toString(), result.counts().containsKey("planned restarts"));
    }

    @Test
    public void noRequestIsLostByBrokersWhoseSystemCallsFail() throws Exception {
        assertAllRulesHold(new FaultSoak.Size(10, 0, 12, true), 2);
    }

    @Test
    public void noRequestIsLostByFleetsWhoseSystemCallsAndDisksFail() throws Exception {
        assertAllRulesHold(new FaultSoak.Size(12, 4, 15, false), 11);
    }
}
