package reeldeal.server;

import static org.junit.Assert.assertEquals;

import java.net.Socket;
import java.util.List;
import org.junit.Test;
import reeldeal.faultinjection.FakeSearcher;
import reeldeal.faultinjection.TextCodec;

/** Tests that a broker answers each request that it has read, however its connection ends. */
public class ConnectionEndTest {
    private static final int AFTER_IDLE_END_MS = 4_400;

    @Test
    public void aRequestThatCrossesTheEndOfAnIdleConnectionIsNotReadAndDropped() throws Exception {
        try (FakeSearcher searcher = new FakeSearcher(0, name -> {});
                FaultyBroker broker = new FaultyBroker(2_000, List.of(searcher.port()));
                Socket client = broker.connect()) {
            byte[] request = FaultyBroker.request("a", 500);
            client.getOutputStream().write(request);
            TextCodec.readHttp(client.getInputStream());
            Thread.sleep(AFTER_IDLE_END_MS);
            try {
                client.getOutputStream().write(FaultyBroker.request("b", 500));
            } catch (java.net.SocketException reset) {
                return; // the request was never taken
            }
            Thread.sleep(200);
            assertEquals(request.length, broker.faults.bytesRead(client.getLocalPort()));
        }
    }
}
