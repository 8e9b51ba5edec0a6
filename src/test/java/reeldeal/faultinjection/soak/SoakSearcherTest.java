package reeldeal.faultinjection.soak;

import static org.junit.Assert.assertEquals;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import org.junit.Test;
import reeldeal.faultinjection.PortRange;
import reeldeal.faultinjection.TextCodec;
import reeldeal.faultinjection.soak.RequestLedger.Request;

/** Tests that a searcher of the soak reports more work than its slow start allows. */
public class SoakSearcherTest {
    /** 5 + 3 * sqrt(5) + 3 shard requests at most, right after the start. */
    private static final SlowStartBudget BUDGET =
            new SlowStartBudget(new WarmCapacity(10), 0.2, 60_000, 2.5, 1_000);

    private static final int ALLOWED = 14;
    private static final int RESTARTS = 500;

    private final RequestLedger ledger =
            new RequestLedger(new StallMonitor(), new DrainNotices(0), 100);

    private void send(SoakSearcher searcher, int shardRequests) throws Exception {
        try (Socket broker = new Socket(InetAddress.getLoopbackAddress(), searcher.port())) {
            byte[] call = TextCodec.frame("Q r.0 3 d=100 1\nx");
            InputStream answers = broker.getInputStream();
            for (int i = 0; i < shardRequests; i++) {
                broker.getOutputStream().write(call);
            }
            for (int i = 0; i < shardRequests; i++) {
                TextCodec.frame(answers);
            }
        }
    }

    /** Guards against a port that is still taken by the searcher's own listener after its stop. */
    @Test
    public void aStoppedSearcherStartsAgainOnItsPort() throws Exception {
        try (PortRange ports = new PortRange(1);
                SoakSearcher searcher =
                        new SoakSearcher("s", 0, ports.ports().get(0), 1, BUDGET, ledger)) {
            for (int i = 0; i < RESTARTS; i++) {
                Thread.sleep(1); // so that the searcher waits for connections
                searcher.stop();
                searcher.restart();
            }
            ledger.begin(new Request("r", "n0", "notice-search", "q", null, List.of(3), 5_000));
            send(searcher, 1);
            assertEquals(1, (int) ledger.counts().get("attempts"));
        }
    }

    @Test
    public void aColdSearcherReportsTheFirstShardRequestBeyondItsBudget() throws Exception {
        ledger.begin(new Request("r", "n0", "notice-search", "q", null, List.of(3), 5_000));
        try (PortRange ports = new PortRange(1);
                SoakSearcher searcher =
                        new SoakSearcher("s", 0, ports.ports().get(0), 1, BUDGET, ledger)) {
            searcher.stop();
            searcher.restart();
            send(searcher, ALLOWED);
            assertEquals(List.of(), ledger.violations());
            send(searcher, 1);
            assertEquals(ledger.counts().toString(), 1, ledger.violations().size());
            assertEquals(1, (int) ledger.counts().get("broken: slow start"));
        }
    }
}
