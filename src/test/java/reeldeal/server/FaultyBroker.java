package reeldeal.server;

import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import reeldeal.faultinjection.DaemonThreads;
import reeldeal.faultinjection.PortRange;
import reeldeal.faultinjection.TextCodec;
import reeldeal.faultinjection.soak.SyscallFaults;

/** A broker process whose system calls a test makes fail. */
final class FaultyBroker implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;
    private static final int RUN_DEADLINE_MS = 2_000;
    private static final int FAULTS_AT_START_MS = 2_500;
    private static final String DEADLINES = "\"HardLimitMs\":1[02]000.0";

    private static final List<String> FLAGS =
            List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final Pattern FLAG_OF_RUN = Pattern.compile("-X[ms]\\S+|-XX:\\S+|-D\\S+");

    final int port;
    final SyscallFaults faults;
    final List<String> log = new CopyOnWriteArrayList<>();
    private final FakeDiscovery discovery = new FakeDiscovery();
    private final Path folder;
    private final PortRange ports;
    private final Process process;

    /** Starts a broker with the longest deadlines of this many ms, on searchers at these ports. */
    FaultyBroker(int deadlineMs, List<Integer> searcherPorts) throws Exception {
        this(deadlineMs, searcherPorts, Map.of());
    }

    FaultyBroker(int deadlineMs, List<Integer> searcherPorts, Map<String, String> environment)
            throws Exception {
        this(deadlineMs, searcherPorts, environment, List.of());
    }

    /** Starts a broker of which all calls of some kinds fail for the first seconds. */
    FaultyBroker(
            int deadlineMs,
            List<Integer> searcherPorts,
            Map<String, String> environment,
            List<SyscallFaults.Kind> faultsAtStart)
            throws Exception {
        this(deadlineMs, searcherPorts, environment, faultsAtStart, FLAGS);
    }

    private FaultyBroker(
            int deadlineMs,
            List<Integer> searcherPorts,
            Map<String, String> environment,
            List<SyscallFaults.Kind> faultsAtStart,
            List<String> flags)
            throws Exception {
        publish(discovery, searcherPorts);
        folder = Files.createTempDirectory("faulty");
        Path library = SyscallFaults.compile(folder);
        faults = SyscallFaults.create(library, folder.resolve("control"));
        ports = new PortRange(1);
        port = ports.ports().get(0);
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                Files.readString(Path.of("src/test/resources/config.json"))
                        .replace("$known", discovery.completeList())
                        .replace("$discovery", "127.0.0.1:" + discovery.server.getLocalPort())
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replaceAll(DEADLINES, "\"HardLimitMs\":" + deadlineMs)
                        .replaceAll("\"AimMs\":8000.0", "\"AimMs\":" + deadlineMs / 2));
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of("reeldeal.server.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .keySet()
                .removeIf(key -> key.startsWith("LB_") || key.startsWith("REELDEAL_"));
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("REELDEAL_STORE", "");
        builder.environment().putAll(faults.environment(1));
        builder.environment().putAll(environment);
        faultsAtStart.forEach(kind -> faults.setPermille(kind, 1_000));
        process = builder.start();
        Thread.sleep(faultsAtStart.isEmpty() ? 0 : FAULTS_AT_START_MS);
        faults.clear();
        DaemonThreads.start(this::readLog);
        awaitLog("serving as ");
    }

    /** Starts a broker with the flags of the deploy file's {@code run}. */
    static FaultyBroker withFlagsOfRun(List<Integer> searcherPorts) throws Exception {
        String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        List<String> flags =
                FLAG_OF_RUN
                        .matcher(run)
                        .results()
                        .map(MatchResult::group)
                        .filter(flag -> !flag.contains("SharedArchiveFile"))
                        .toList();
        return new FaultyBroker(RUN_DEADLINE_MS, searcherPorts, Map.of(), List.of(), flags);
    }

    private static void publish(FakeDiscovery discovery, List<Integer> searcherPorts) {
        for (int i = 0; i < searcherPorts.size(); i++) {
            discovery.publish(
                    "s" + i,
                    "{\"name\":\"s"
                            + i
                            + "\",\"address\":\"127.0.0.1:"
                            + searcherPorts.get(i)
                            + "\",\"zone\":\"a\",\"type\":\"std\",\"group\":0,"
                            + "\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}");
        }
    }

    private void readLog() throws IOException {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            lines.lines().forEach(log::add);
        }
    }

    void awaitLog(String text) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!String.join("\n", log).contains(text) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        assertTrue(log.toString(), String.join("\n", log).contains(text));
    }

    /** Opens a connection of a client. */
    Socket connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setTcpNoDelay(true);
        client.setSoTimeout(TIMEOUT_MS);
        return client;
    }

    /** Returns a request of shard 0 that may be repeated. */
    static byte[] request(String name, int timeLeftMs) {
        return request("notice-search", name, "", timeLeftMs);
    }

    /** Returns a request of shard 0 with an idempotency key. */
    static byte[] keyedRequest(String name, int timeLeftMs) {
        return request("bid-mark", name, "Idempotency-Key: " + name + "\r\n", timeLeftMs);
    }

    private static byte[] request(String queryClass, String name, String headers, int timeLeftMs) {
        return TextCodec.request(
                "POST",
                "/" + queryClass,
                "X-Correlation-Id: "
                        + name
                        + "\r\nX-Time-Left-Ms: "
                        + timeLeftMs
                        + "\r\n"
                        + headers,
                "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"x\"}");
    }

    long pid() {
        return process.pid();
    }

    void terminate() {
        process.toHandle().destroy();
    }

    /** Sends a signal by its name, for example STOP. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
        discovery.close();
        ports.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
