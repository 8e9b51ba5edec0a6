package reeldeal.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import reeldeal.faultinjection.FakeSearcher;
import reeldeal.faultinjection.PortRange;
import reeldeal.faultinjection.TextCodec;
import reeldeal.faultinjection.soak.SyscallFaults;
import reeldeal.faultinjection.soak.SyscallFaults.Kind;

/** Tests what the clients of a fleet's member see while it shuts down or its disk is slow. */
public class FleetMemberFaultTest {
    private static final int DEADLINE_MS = 2_000;

    /** The earliest kill after SIGTERM, and the requests that must be answered by then, ms. */
    private static final int KILL_MS = DEADLINE_MS + 700;

    private static final int COUNTED_FROM_MS = 700;
    private static final int AFTER_CLOSE_MS = 100;
    private static final int SETTLE_MS = 3_000;

    /** How soon after a disk's fault requests are recorded again, ms. */
    private static final int DISK_RECOVERY_MS = 5_000;

    private final List<SilentSearcher> searchers = new ArrayList<>();
    private PortRange storePorts;
    private Path folder;
    private long killAt; // nanoTime
    private String keyedRecords = "preferred";

    @Before
    public void start() throws Exception {
        storePorts = new PortRange(1);
        folder = Files.createTempDirectory("member");
        for (int i = 0; i < 3; i++) {
            searchers.add(new SilentSearcher());
        }
    }

    @After
    public void stop() throws Exception {
        storePorts.close();
        for (SilentSearcher searcher : searchers) {
            searcher.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private FaultyBroker member(String options) throws Exception {
        return member(options, List.of(), searchers.stream().map(SilentSearcher::port).toList());
    }

    private FaultyBroker member(
            String options, List<SyscallFaults.Kind> faultsAtStart, List<Integer> searcherPorts)
            throws Exception {
        int storePort = storePorts.ports().get(0);
        Path store = folder.resolve("store.json");
        Files.writeString(
                store,
                "{\"node\":\"n0\",\"nodes\":{\"n0\":\"127.0.0.1:"
                        + storePort
                        + "\"},\"folder\":\""
                        + folder.resolve("state")
                        + "\",\"fleet\":{\"zone\":\"a\"},\"handover\":{\"keyed\":\""
                        + keyedRecords
                        + "\"}}");
        FaultyBroker broker =
                new FaultyBroker(
                        DEADLINE_MS,
                        searcherPorts,
                        Map.of("REELDEAL_STORE", store.toString(), "JDK_JAVA_OPTIONS", options),
                        faultsAtStart);
        Thread.sleep(SETTLE_MS); // registration and the fleet's clock
        return broker;
    }

    /**
     * Asks on one connection until it ends, each time as soon as the answer is there, and returns
     * the requests that had no answer at the kill.
     */
    private List<String> askUntilKill(FaultyBroker broker, boolean keyed) throws Exception {
        List<String> unanswered = new ArrayList<>();
        try (Socket client = broker.connect()) {
            broker.terminate();
            long signalledAt = System.nanoTime();
            killAt = signalledAt + KILL_MS * 1_000_000L;
            for (int i = 0; System.nanoTime() < killAt; i++) {
                long sentMs = (System.nanoTime() - signalledAt) / 1_000_000;
                byte[] request =
                        keyed
                                ? FaultyBroker.keyedRequest("k" + i, DEADLINE_MS)
                                : FaultyBroker.request("r" + i, 300);
                client.setSoTimeout((int) Math.max(1, (killAt - System.nanoTime()) / 1_000_000));
                try {
                    client.getOutputStream().write(request);
                    if (TextCodec.readHttp(client.getInputStream()).equals("EOF")) {
                        break;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    if (sentMs > COUNTED_FROM_MS) {
                        unanswered.add(i + " sent " + sentMs + " ms after SIGTERM");
                    }
                    break;
                } catch (IOException closed) {
                    break;
                }
            }
        }
        return unanswered;
    }

    @Test
    public void aMemberWithoutAPermitAnswersLateRequestsBeforeTheKill() throws Exception {
        try (FaultyBroker broker = member("-Dnone=0")) {
            assertEquals(List.of(), askUntilKill(broker, false));
            assertTrue(
                    "still runs at the kill",
                    broker.awaitExit((killAt - System.nanoTime()) / 1_000_000));
        }
    }

    @Test
    public void aRecordedRequestIsAnsweredBeforeTheKillThoughTheDiskIsSlow() throws Exception {
        try (FaultyBroker broker = member("-Dreeldeal.drill.disk_ms=150")) {
            assertEquals(List.of(), askUntilKill(broker, true));
        }
    }

    @Test
    public void noAttemptOfARecordedRequestBeginsAfterItsClientLeft() throws Exception {
        try (FaultyBroker broker = member("-Dnone=0")) {
            searchers.forEach(searcher -> searcher.resetAfterMs = 250);
            for (int i = 0; i < 3; i++) {
                Socket client = broker.connect();
                client.getOutputStream().write(FaultyBroker.keyedRequest("k" + i, DEADLINE_MS));
                Thread.sleep(60);
                client.close();
                long closedAt = System.nanoTime();
                Thread.sleep(DEADLINE_MS);
                for (SilentSearcher searcher : searchers) {
                    for (SilentSearcher.Call call : searcher.calls) {
                        long afterMs = (call.atNanos() - closedAt) / 1_000_000;
                        assertTrue(afterMs + " ms: " + call.text(), afterMs <= AFTER_CLOSE_MS);
                    }
                }
            }
        }
    }

    @Test
    public void aMemberStartsThoughItsDiskAndSocketsFailForAMoment() throws Exception {
        List<Kind> kinds = List.of(Kind.FAIL_SOCKET, Kind.FAIL_FILE_WRITE, Kind.FAIL_FILE_SYNC);
        try (FakeSearcher searcher = new FakeSearcher(0, name -> {});
                FaultyBroker broker = member("-Dnone=0", kinds, List.of(searcher.port()));
                Socket client = broker.connect()) {
            client.getOutputStream().write(FaultyBroker.keyedRequest("k", DEADLINE_MS));
            assertTrue(TextCodec.readHttp(client.getInputStream()).startsWith("200 "));
        }
    }

    /**
     * Guards against a count of starts that a short write has cut, so that a later start is lower.
     */
    @Test
    public void aMemberWhoseDiskTakesPartsOfWritesIsNotTakenForRolledBack() throws Exception {
        Path state = Files.createDirectories(folder.resolve("state"));
        Files.writeString(state.resolve("starts"), "4100041\n");
        try (FakeSearcher searcher = new FakeSearcher(0, name -> {})) {
            List<Integer> ports = List.of(searcher.port());
            for (int start = 4_100_042; start < 4_100_045; start++) {
                List<Kind> kinds = List.of(Kind.SHORT_FILE_WRITE);
                try (FaultyBroker broker = member("-Dnone=0", kinds, ports)) {
                    String log = String.join("\n", broker.log);
                    assertFalse(log, log.contains("went back"));
                    assertEquals(start + "\n", Files.readString(state.resolve("starts")));
                }
            }
        }
    }

    @Test
    public void aMemberWhoseDiskFailsForAMomentRecordsRequestsAgain() throws Exception {
        keyedRecords = "required";
        try (FakeSearcher searcher = new FakeSearcher(0, name -> {});
                FaultyBroker broker = member("-Dnone=0", List.of(), List.of(searcher.port()))) {
            for (Kind kind : List.of(Kind.FAIL_FILE_WRITE, Kind.FAIL_FILE_SYNC)) {
                broker.faults.setPermille(kind, 1_000);
                ask(broker, "during" + kind);
                broker.faults.clear();
                Thread.sleep(DISK_RECOVERY_MS);
                String response = ask(broker, "after" + kind);
                assertTrue(kind + ": " + response, response.startsWith("200 "));
            }
        }
    }

    private static String ask(FaultyBroker broker, String key) throws Exception {
        try (Socket client = broker.connect()) {
            client.getOutputStream().write(FaultyBroker.keyedRequest(key, DEADLINE_MS));
            return TextCodec.readHttp(client.getInputStream());
        }
    }

    @Test
    public void aStepOfTheWallClockEndsNoRecordedRequest() throws Exception {
        int hourMs = 3_600_000;
        try (FakeSearcher searcher = new FakeSearcher(300, name -> {});
                FaultyBroker broker = member("-Dnone=0", List.of(), List.of(searcher.port()));
                Socket client = broker.connect()) {
            for (int offsetMs : new int[] {hourMs, -hourMs, 2_000, 0}) {
                client.getOutputStream()
                        .write(FaultyBroker.keyedRequest("k" + offsetMs, DEADLINE_MS));
                Thread.sleep(100);
                broker.faults.setWallOffsetMs(offsetMs);
                String response = TextCodec.readHttp(client.getInputStream());
                assertTrue(offsetMs + ": " + response, response.startsWith("200 "));
            }
        }
    }
}
