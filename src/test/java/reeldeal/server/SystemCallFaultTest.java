package reeldeal.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import reeldeal.faultinjection.FakeSearcher;
import reeldeal.faultinjection.TextCodec;
import reeldeal.faultinjection.soak.SyscallFaults.Kind;

/** Tests what clients of a broker see while its system calls fail for a moment. */
public class SystemCallFaultTest {
    private static final int ALWAYS = 1_000;
    private static final int TIME_LEFT_MS = 500;
    private static final int DEADLINE_SLACK_MS = 150;
    private static final String SERVED =
            "200 {\"complete\":true,\"hits\":[{\"shard\":0,\"doc\":\"v\"}]}";

    private final List<FakeSearcher> searchers = new ArrayList<>();
    private FaultyBroker broker;

    @Before
    public void start() throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            searchers.add(new FakeSearcher(0, name -> {}));
            ports.add(searchers.get(i).port());
        }
        broker = new FaultyBroker(2_000, ports);
    }

    @After
    public void stop() throws Exception {
        broker.close();
        for (FakeSearcher searcher : searchers) {
            searcher.close();
        }
    }

    private String ask(Socket client, String name) throws Exception {
        client.getOutputStream().write(FaultyBroker.request(name, TIME_LEFT_MS));
        return TextCodec.readHttp(client.getInputStream());
    }

    /** Waits until a call has failed, which takes longer on a busy machine. */
    private void awaitInjected(Kind kind) throws InterruptedException {
        long deadline = System.nanoTime() + TIME_LEFT_MS * 1_000_000L;
        while (broker.faults.injected(kind) == 0 && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
    }

    @Test
    public void aFailedAcceptDoesNotKeepClientsWaitingPastTheirTime() throws Exception {
        broker.faults.setPermille(Kind.FAIL_ACCEPT, ALWAYS);
        try (Socket client = broker.connect()) {
            long sentAt = System.nanoTime();
            client.getOutputStream().write(FaultyBroker.request("a", TIME_LEFT_MS));
            Thread.sleep(50);
            awaitInjected(Kind.FAIL_ACCEPT);
            broker.faults.clear();
            assertEquals(SERVED, TextCodec.readHttp(client.getInputStream()));
            long elapsedMs = (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(elapsedMs + " ms", elapsedMs <= TIME_LEFT_MS);
        }
        assertTrue(broker.faults.injected(Kind.FAIL_ACCEPT) > 0);
    }

    @Test
    public void aFailedSocketCallDoesNotHoldAShardRequestUntilItsTimeout() throws Exception {
        broker.faults.setPermille(Kind.FAIL_SOCKET, ALWAYS);
        try (Socket client = broker.connect()) {
            long sentAt = System.nanoTime();
            client.getOutputStream().write(FaultyBroker.request("a", TIME_LEFT_MS));
            Thread.sleep(20);
            awaitInjected(Kind.FAIL_SOCKET);
            broker.faults.clear();
            String response = TextCodec.readHttp(client.getInputStream());
            long elapsedMs = (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(elapsedMs + " ms: " + response, elapsedMs <= TIME_LEFT_MS / 2);
            assertEquals(SERVED, ask(client, "b"));
        }
        assertTrue(broker.faults.injected(Kind.FAIL_SOCKET) > 0);
        assertTrue(
                broker.log.toString(), broker.log.stream().noneMatch(l -> l.contains("Exception")));
    }

    @Test
    public void aReadInterruptedBySignalsIsNotTheEndOfAConnection() throws Exception {
        broker.faults.setPermille(Kind.INTERRUPT_READ, ALWAYS / 2);
        try (Socket client = broker.connect()) {
            for (int i = 0; i < 40; i++) {
                assertEquals(SERVED, ask(client, "r" + i));
            }
        }
        assertTrue(broker.faults.injected(Kind.INTERRUPT_READ) > 0);
    }

    /** Accepts one connection of the broker and returns the deadline of its first call, ms. */
    private static long toldDeadline(ServerSocket searcher) throws Exception {
        searcher.setSoTimeout(20_000);
        try (Socket connection = searcher.accept()) {
            String call = TextCodec.frame(connection.getInputStream());
            return Long.parseLong(call.replaceFirst("(?s).* d=([0-9]+).*", "$1"));
        }
    }

    @Test
    public void theDeadlineToldAfterADelayedAcceptIsNotLaterThanTheClients() throws Exception {
        try (ServerSocket searcher = new ServerSocket(0);
                FaultyBroker delayed = new FaultyBroker(2_000, List.of(searcher.getLocalPort()))) {
            delayed.faults.setPermille(Kind.FAIL_ACCEPT, ALWAYS);
            try (Socket client = delayed.connect()) {
                long sentAt = System.nanoTime();
                client.getOutputStream().write(FaultyBroker.keyedRequest("a", 1_500));
                Thread.sleep(600);
                delayed.faults.clear();
                long toldMs = toldDeadline(searcher);
                long leftMs = 1_500 - (System.nanoTime() - sentAt) / 1_000_000;
                assertTrue(toldMs + " of " + leftMs, toldMs <= leftMs + DEADLINE_SLACK_MS);
            }
        }
    }

    @Test
    public void theDeadlineToldForARequestSentAheadIsNotLaterThanTheClients() throws Exception {
        try (ServerSocket searcher = new ServerSocket(0);
                FaultyBroker other = new FaultyBroker(2_000, List.of(searcher.getLocalPort()));
                Socket client = other.connect()) {
            long sentAt = System.nanoTime();
            client.getOutputStream().write(FaultyBroker.keyedRequest("a", 600));
            client.getOutputStream().write(FaultyBroker.keyedRequest("b", 1_500));
            toldDeadline(searcher);
            String call;
            do {
                try (Socket connection = searcher.accept()) {
                    call = TextCodec.frame(connection.getInputStream());
                }
            } while (!call.contains("b.0"));
            long toldMs = Long.parseLong(call.replaceFirst("(?s).* d=([0-9]+).*", "$1"));
            long leftMs = 1_500 - (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(toldMs + " of " + leftMs, toldMs <= leftMs + DEADLINE_SLACK_MS);
        }
    }

    @Test
    public void theDeadlineToldByABrokerThatWasHeldUpIsNotLaterThanTheClients() throws Exception {
        try (ServerSocket searcher = new ServerSocket(0);
                FaultyBroker stopped = new FaultyBroker(2_000, List.of(searcher.getLocalPort()));
                Socket client = stopped.connect()) {
            stopped.signal("STOP");
            long sentAt = System.nanoTime();
            client.getOutputStream().write(FaultyBroker.keyedRequest("a", 1_500));
            Thread.sleep(400);
            stopped.signal("CONT");
            long toldMs = toldDeadline(searcher);
            long leftMs = 1_500 - (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(toldMs + " of " + leftMs, toldMs <= leftMs + DEADLINE_SLACK_MS);
        }
    }

    @Test
    public void theDeadlineToldAfterShortReadsIsNotLaterThanTheClients() throws Exception {
        try (ServerSocket searcher = new ServerSocket(0);
                FaultyBroker slow = new FaultyBroker(2_000, List.of(searcher.getLocalPort()));
                Socket client = slow.connect()) {
            slow.faults.setPermille(Kind.SHORT_READ, ALWAYS);
            slow.faults.setPermille(Kind.INTERRUPT_READ, ALWAYS / 10);
            slow.faults.setPermille(Kind.DELAY_WAIT, ALWAYS);
            long sentAt = System.nanoTime();
            client.getOutputStream().write(FaultyBroker.keyedRequest("k".repeat(120), 1_500));
            long toldMs = toldDeadline(searcher);
            long leftMs = 1_500 - (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(toldMs + " of " + leftMs, toldMs <= leftMs + DEADLINE_SLACK_MS);
        }
    }
}
