package reeldeal.faultinjection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reeldeal.dns.Rr;

/**
 * Tests with real processes what a broker still does whose folder was replaced by an older copy.
 */
public class RolledBackFolderTest {
    private static final Path SCENARIO = Path.of("src/test/resources/drill/rolled-back.json");
    private static final String VOTER = "b1";
    private static final String LEARNER = "b3";
    private static final String OTHER_NODE = "b0";
    private static final String REPORT = "store: this folder went back";
    private static final int TIMEOUT_MS = 60_000;
    private static final int ANSWER_TIMEOUT_MS = 5_000;

    /** The latest time at which a broker must know of a change, and a drain's grace, ms. */
    private static final int TOLD_MS = 6_000;

    private static final int GRACE_MS = 550;

    /** The longest check of a folder at a start, and the write of the registration, ms. */
    private static final int REGISTERED_MS = 2_000;

    private static final int QUERIES = 20;
    private static final List<String> CLASSES =
            List.of("notice-search", "bid-mark", "audit-report");
    private static final int RESTARTS = 4;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final SplittableRandom random = new SplittableRandom(1);
    private History history;
    private SearcherFleet searchers;
    private ProcessFleet fleet;
    private BrokerProcess broker;
    private int queries;

    @Before
    public void start() throws Exception {
        Scenario scenario = ScenarioReader.read(SCENARIO);
        Path root = folder.getRoot().toPath();
        history = new History(root.resolve("history.txt"));
        searchers = new SearcherFleet(scenario, random, history);
        List<String> voters =
                ProcessFleet.nodeNames(scenario).subList(0, scenario.fleet().voters());
        NodeFiles files = new NodeFiles(root, scenario, voters);
        files.writeZone(searchers.zoneRecords());
        files.writeBrokerConfig();
        List<String> command = new Programs(null, null).initialCommand();
        fleet = new ProcessFleet(scenario, files, command, random, history);
        broker = fleet.broker(VOTER);
        fleet.start();
        for (BrokerProcess started : fleet.brokers()) {
            await(started.name + " is ready", () -> health(started).equals("200"));
        }
        assertTrue("the learner does not vote", !fleet.isVoter(fleet.broker(LEARNER)));
        useNode(VOTER);
    }

    /** Makes a node the one whose folder goes back. */
    private void useNode(String name) throws Exception {
        broker = fleet.broker(name);
        await(name + " serves", this::isNodeServing);
    }

    @After
    public void stop() throws Exception {
        fleet.close();
        searchers.close();
        history.close();
    }

    private void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = history.elapsedMs() + TIMEOUT_MS;
        while (!condition.call()) {
            assertTrue(what + ": " + logOfNode(), history.elapsedMs() < deadline);
            Thread.sleep(20);
        }
    }

    private List<History.Event> eventsOfNode() throws IOException {
        Path file = folder.getRoot().toPath().resolve("history.txt");
        return History.read(file).stream().filter(e -> e.source().equals(broker.name)).toList();
    }

    private String logOfNode() throws IOException {
        return String.join("\n", eventsOfNode().stream().map(History.Event::detail).toList());
    }

    /** Returns whether the node serves, according to the group. */
    private boolean isNodeServing() {
        return new OperatorConsole(fleet, history)
                .list("fleet members").stream()
                        .anyMatch(
                                member ->
                                        member.get("name").equals(broker.name)
                                                && member.get("state").equals("serving"));
    }

    private void restart() throws Exception {
        broker.kill();
        broker.start();
        await("serves", broker::isServing);
    }

    /**
     * Puts back a copy of the folder that lacks the latest starts, and awaits that it is noticed.
     */
    private void putBackOlderFolder() throws Exception {
        replaceFolder();
        broker.start();
        await("the rollback is noticed", () -> reports() == 1);
        await("serves", broker::isServing);
        Thread.sleep(GRACE_MS);
    }

    /** Kills the node and puts back a copy of its folder that lacks the latest starts. */
    private void replaceFolder() throws Exception {
        Path directory = folder.getRoot().toPath().resolve(broker.name);
        broker.kill();
        DiskFaults.backUp(directory);
        for (int i = 0; i < 2; i++) {
            broker.start();
            await("is ready", () -> health(broker).equals("200"));
            Thread.sleep(REGISTERED_MS);
            broker.kill();
        }
        DiskFaults.restore(directory);
    }

    private long reports() throws IOException {
        return eventsOfNode().stream().filter(e -> e.isLogWithPrefix(REPORT)).count();
    }

    private static String get(BrokerProcess broker, byte[] request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), broker.port)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            socket.getOutputStream().write(request);
            return TextCodec.readHttp(socket.getInputStream());
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String health(BrokerProcess broker) {
        return status(get(broker, TextCodec.request("GET", "/_health", "", "")));
    }

    private static String status(String response) {
        return response.split(" ")[0];
    }

    /**
     * Sends a query of a class to the node, and returns the status and whether it may be retried.
     */
    private String query(String queryClass) {
        String id = "q" + queries++;
        String headers =
                "X-Correlation-Id: %s\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: %s\r\n"
                        .formatted(id, id);
        String body =
                "{\"shards\":[{\"shard\":1,\"weight\":0.5},{\"shard\":2,\"weight\":0.5}],"
                        + "\"q\":\"x\"}";
        String response = get(broker, TextCodec.request("POST", "/" + queryClass, headers, body));
        return status(response) + (response.contains(" retry-after=") ? " with Retry-After" : "");
    }

    private String dns(BrokerProcess server, byte[] message) {
        try (ZoneClient client = new ZoneClient(server.dnsPort)) {
            client.setTimeoutMs(ANSWER_TIMEOUT_MS);
            client.send(message);
            client.read();
            return "NOERROR";
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    private String removeSearcher(BrokerProcess server, int number) {
        String record = "del _searcher._tcp SRV 0 0 " + searchers.port(number) + " s" + number;
        return dns(server, ZoneClient.update(NodeFiles.ORIGIN + ".", List.of(record)));
    }

    /** Guards against a broker that serves on, ready, from a copy that follows nobody. */
    @Test
    public void aBrokerWhoseFolderWentBackIsNotReadyAndServesNothing() throws Exception {
        putBackOlderFolder();
        assertServesNothing();
        broker.terminate();
        await("it ends when it is told to", () -> !broker.isAlive());
    }

    @Test
    public void aLearnerWhoseFolderWentBackServesNothing() throws Exception {
        useNode(LEARNER);
        putBackOlderFolder();
        assertServesNothing();
    }

    /**
     * Guards against a learner that serves the copy in its empty folder, as it never catches up.
     */
    @Test
    public void aLearnerWhoseFolderWasEmptiedServesNothing() throws Exception {
        useNode(LEARNER);
        startOnEmptyFolder();
        assertServesNothing();
    }

    @Test
    public void aVoterWhoseFolderWasEmptiedServesNothing() throws Exception {
        startOnEmptyFolder();
        assertServesNothing();
    }

    private void startOnEmptyFolder() throws Exception {
        broker.kill();
        Path directory = folder.getRoot().toPath().resolve(broker.name);
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        broker.start();
        await("serves", broker::isServing);
        await("the rollback is noticed", () -> reports() == 1);
        Thread.sleep(GRACE_MS);
    }

    /** Asserts what clients of queries, health and DNS get from the node, at once and later. */
    private void assertServesNothing() throws Exception {
        List<String> wrong = new ArrayList<>();
        expect(wrong, "/_health", "503", health(broker));
        expect(wrong, "a query of the zone", "response code 2", soa());
        expect(wrong, "an update of the zone", "response code 2", removeSearcher(broker, 1));
        assertEquals("NOERROR", removeSearcher(fleet.broker(OTHER_NODE), 2));
        Thread.sleep(TOLD_MS + GRACE_MS);
        for (int i = 0; i < QUERIES; i++) {
            String queryClass = CLASSES.get(i % CLASSES.size());
            expect(wrong, queryClass + " " + i, "503 with Retry-After", query(queryClass));
        }
        expect(wrong, "/_health", "503", health(broker));
        assertEquals(List.of(), wrong);
    }

    private static void expect(List<String> wrong, String what, String expected, String found) {
        if (!found.endsWith(expected)) {
            wrong.add(what + ": expected " + expected + ", found " + found);
        }
    }

    private String soa() {
        return dns(broker, ZoneClient.question(NodeFiles.ORIGIN + ".", Rr.SOA).toBytes());
    }

    /** Guards against a broker that goes on as it did before it reached the group. */
    @Test
    public void aBrokerThatServesAStaleCopyStopsOnceTheGroupShowsTheRollback() throws Exception {
        replaceFolder();
        fleet.partition(broker.name, true, false);
        broker.start();
        await("serves its copy", () -> logOfNode().contains("going on from the copy here"));
        await("is ready", () -> health(broker).equals("200"));
        fleet.partition(broker.name, false, false);
        await("the rollback is noticed", () -> reports() == 1);
        Thread.sleep(GRACE_MS);
        assertEquals("503", health(broker));
        for (String queryClass : CLASSES) {
            assertEquals("503 with Retry-After", query(queryClass));
        }
        assertEquals("unexpected answer of the name server: response code 2", soa());
    }

    /** Guards against a folder that counts as sound once enough starts have been counted on it. */
    @Test
    public void aFolderThatWentBackIsNotTrustedAfterFurtherStarts() throws Exception {
        putBackOlderFolder();
        for (int i = 0; i < RESTARTS; i++) {
            restart();
            Thread.sleep(REGISTERED_MS);
            assertEquals("/_health after restart " + i + logOfNode(), "503", health(broker));
            assertEquals("reports after restart " + i, i + 2, reports());
        }
    }
}
