package reeldeal.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;
import reeldeal.faultinjection.TextCodec;

/**
 * Replays the recorded exchanges of src/test/resources/exchanges against the program over sockets.
 * Each line is one step; README.md describes the format. In an expected text, {@code {}} matches
 * any text, and {@code {name}} also stores the matched text as a variable for later lines.
 */
@RunWith(Parameterized.class)
public class ExchangeTest {
    private static final int TIMEOUT_MS = 20_000;

    @Parameterized.Parameters(name = "{0}")
    public static Collection<Object[]> scripts() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/exchanges"))) {
            return files.filter(f -> f.toString().endsWith(".txt"))
                    .sorted()
                    .map(f -> new Object[] {f.getFileName().toString(), f})
                    .toList();
        }
    }

    /**
     * A participant of the script: a client, or a searcher that uses the frame or the search
     * protocol.
     */
    private static final class Party {
        final boolean client;
        final boolean frames;
        final ServerSocket server;
        Socket socket;

        Party(boolean client, boolean frames, ServerSocket server) {
            this.client = client;
            this.frames = frames;
            this.server = server;
        }

        InputStream in(int timeoutMs) throws IOException {
            if (socket == null) {
                server.setSoTimeout(timeoutMs);
                socket = server.accept();
                socket.setTcpNoDelay(true);
            }
            socket.setSoTimeout(timeoutMs);
            return socket.getInputStream();
        }
    }

    private final Path script;
    private final Map<String, Party> parties = new HashMap<>();
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, Integer> shardRequestsReceived = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private FakeDiscovery discovery;
    private Process program;
    private long sigtermNanos;
    private Path folder;
    private boolean searchFront;
    private boolean store;

    public ExchangeTest(String name, Path script) {
        this.script = script;
    }

    @Test
    public void theProgramAnswersAsRecorded() throws Exception {
        discovery = new FakeDiscovery();
        folder = Files.createTempDirectory("reeldeal");
        int lineNumber = 0;
        boolean hasExpectation = false;
        for (String line : Files.readAllLines(script)) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            try {
                step(substituteVariables(line).split(" ", 3));
            } catch (Exception | AssertionError e) {
                throw new AssertionError(
                        script.getFileName()
                                + ":"
                                + lineNumber
                                + ": "
                                + line
                                + ": "
                                + e
                                + "\n"
                                + log,
                        e);
            }
            hasExpectation |= line.contains(" < ") || line.startsWith("exit ");
        }
        assertTrue("the script has no expectation", hasExpectation);
    }

    @After
    public void stop() throws Exception {
        if (program != null) {
            program.destroyForcibly().waitFor();
        }
        discovery.close();
        for (Party party : parties.values()) {
            if (party.server != null) {
                party.server.close();
            }
            if (party.socket != null) {
                party.socket.close();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Substitutes variables, and replaces the escapes for line ends. */
    private String substituteVariables(String line) {
        String filled = line;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            filled = filled.replace("$" + variable.getKey(), variable.getValue());
        }
        return filled.replace("\\n", "\n").replace("\\r", "\r");
    }

    private void step(String[] arguments) throws Exception {
        String rest = arguments.length > 2 ? arguments[2] : "";
        switch (arguments[0]) {
            case "searcher" -> searcher(arguments[1], rest);
            case "list" -> {
                list(arguments[1], rest);
                discovery.awaitLatestIndexPolled();
            }
            case "store" -> store = true;
            case "kill" -> program.destroyForcibly().waitFor();
            case "tear" -> {
                try (Stream<Path> files = Files.list(folder.resolve("state"))) {
                    Files.write(
                            files.filter(f -> f.getFileName().toString().startsWith("log-"))
                                    .findFirst()
                                    .orElseThrow(),
                            new byte[] {0, 0, 0, 9, 1, 2, 3},
                            java.nio.file.StandardOpenOption.APPEND);
                }
            }
            case "garble" -> discovery.replyOnce(arguments[1]);
            case "search-front" -> searchFront = true;
            case "start" -> start(arguments.length > 1 ? arguments[1] : "", rest);
            case "client" -> {
                Party client = new Party(true, false, null);
                String[] hostAndPort = addresses.get(arguments[1]).split(":");
                client.socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
                client.socket.setTcpNoDelay(true);
                parties.put(rest, client);
            }
            case "wait" -> Thread.sleep(Integer.parseInt(arguments[1]));
            case "sent" ->
                    assertEquals(
                            rest,
                            String.valueOf(shardRequestsReceived.getOrDefault(arguments[1], 0)));
            case "term" -> {
                sigtermNanos = System.nanoTime();
                signal("TERM");
            }
            case "within" -> {
                step(rest.split(" ", 3));
                long elapsedMs = (System.nanoTime() - sigtermNanos) / 1_000_000;
                assertTrue(
                        "step passed " + elapsedMs + " ms after SIGTERM, later than the limit",
                        elapsedMs <= Integer.parseInt(arguments[1]));
            }
            case "hup" -> signal("HUP");
            case "config" ->
                    Files.writeString(
                            folder.resolve("config.json"),
                            Files.readString(folder.resolve("config.json"))
                                    .replace(arguments[1], rest));
            case "discovery-moves" -> {
                FakeDiscovery old = discovery;
                discovery = new FakeDiscovery();
                String config = Files.readString(folder.resolve("config.json"));
                Files.writeString(
                        folder.resolve("config.json"),
                        config.replace(
                                "127.0.0.1:" + old.server.getLocalPort(),
                                "127.0.0.1:" + discovery.server.getLocalPort()));
                signal("HUP");
                awaitLog("reloaded: moving to discovery");
                old.shutDown();
            }
            case "exit" -> {
                assertTrue(
                        "the program did not exit in time",
                        program.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(Integer.parseInt(arguments[1]), program.exitValue());
            }
            case "logged" -> awaitLog(arguments[1] + (rest.isEmpty() ? "" : " " + rest));
            default -> exchange(arguments[0], arguments[1], rest);
        }
    }

    /**
     * Sends a signal with the kill command, since Process.destroy would also close the stream of
     * the program's log.
     */
    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("/bin/kill", "-" + name, String.valueOf(program.pid()))
                        .start()
                        .waitFor());
    }

    private void awaitLog(String text) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!String.join("\n", log).contains(text) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        assertTrue(String.join("\n", log).contains(text));
    }

    private void searcher(String name, String options) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        boolean frames = !options.contains("search");
        parties.put(name, new Party(false, frames, server));
        variables.put("address-" + name, "127.0.0.1:" + server.getLocalPort());
        variables.put("port-" + name, String.valueOf(server.getLocalPort()));
        variables.put("cell-" + name, options.split(" ")[0]);
        variables.put("kind-" + name, frames ? "std" : "archive");
        list(name, "ready");
    }

    private void list(String name, String status) {
        discovery.publish(
                name,
                "{\"name\":\""
                        + name
                        + "\",\"address\":\""
                        + variables.get("address-" + name)
                        + "\",\"zone\":\"a\",\"type\":\""
                        + variables.get("kind-" + name)
                        + "\",\"group\":"
                        + variables.get("cell-" + name)
                        + ",\"status\":\""
                        + status
                        + "\",\"weight\":1.0,\"since_ms\":0}");
    }

    private void start(String firstKey, String furtherPairs) throws Exception {
        String config =
                Files.readString(Path.of("src/test/resources/config.json"))
                        .replace("$known", discovery.completeList())
                        .replace("$discovery", "127.0.0.1:" + discovery.server.getLocalPort());
        if (store) {
            config = config.replaceFirst("\"discovery\":\"[^\"]*\",", "");
        }
        if (!firstKey.isEmpty()) {
            String[] pairs = (firstKey + " " + furtherPairs).split(" ", -1);
            for (int i = 0; i < pairs.length; i += 2) {
                assertTrue(
                        pairs[i] + " does not occur in the configuration",
                        config.contains(pairs[i]));
                config = config.replace(pairs[i], pairs[i + 1]);
            }
        }
        ProcessBuilder builder =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xmx48m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "reeldeal.server.Main",
                                "serve")
                        .redirectErrorStream(true);
        builder.environment()
                .keySet()
                .removeIf(k -> k.startsWith("LB_") || k.startsWith("REELDEAL_"));
        builder.environment()
                .put(
                        "LB_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config).toString());
        if (searchFront) {
            builder.environment().put("REELDEAL_SEARCH", "src/test/resources/search.json");
        }
        if (store) {
            Path zone =
                    Files.writeString(
                            folder.resolve("zone"),
                            substituteVariables(
                                    Files.readString(
                                            Path.of("src/test/resources/searchers.zone"))));
            String file =
                    "{\"node\":\"n0\",\"nodes\":{\"n0\":\"127.0.0.1:0\"},"
                            + "\"folder\":\""
                            + folder.resolve("state")
                            + "\",\"dns\":{\"listen\":\"127.0.0.1:0\","
                            + "\"origin\":\"searchers.test\",\"zone_file\":\""
                            + zone
                            + "\"}}";
            builder.environment()
                    .put(
                            "REELDEAL_STORE",
                            Files.writeString(folder.resolve("store.json"), file).toString());
            if (Files.exists(folder.resolve("state"))) {
                builder.environment().remove("LB_CONFIG"); // the configuration is in the store
            }
        }
        program = builder.start();
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            log.add(line);
            Matcher m =
                    Pattern.compile("(serving|search front|dns).* on .*/([0-9.]+:[0-9]+).*")
                            .matcher(line);
            if (m.matches()) {
                addresses.put(
                        m.group(1).equals("serving") ? "platform" : m.group(1).split(" ")[0],
                        m.group(2));
            }
            if (line.startsWith("serving")) {
                break;
            }
        }
        Thread reader =
                new Thread(
                        () -> {
                            try {
                                lines.lines().forEach(log::add);
                            } catch (java.io.UncheckedIOException e) {
                                log.add("log ended");
                            }
                        });
        reader.setDaemon(true);
        reader.start();
    }

    private void exchange(String name, String verb, String rest) throws Exception {
        Party party = parties.get(name);
        switch (verb) {
            case "<" -> {
                InputStream in = party.in(TIMEOUT_MS);
                String received;
                try {
                    received =
                            name.startsWith("dns")
                                    ? TextCodec.hex(in)
                                    : party.frames ? TextCodec.frame(in) : TextCodec.readHttp(in);
                } catch (SocketException e) {
                    received = "RESET";
                }
                countShardRequests(name, party, received);
                compare(rest, received);
            }
            case "silent" -> {
                try {
                    int received = party.in(Integer.parseInt(rest)).read();
                    fail("expected no data, but received byte " + received);
                } catch (SocketTimeoutException e) {
                    assertTrue(program.isAlive());
                }
            }
            case "udp" -> {
                String[] queryAndExpected = rest.split(" :: ");
                try (DatagramSocket socket = new DatagramSocket()) {
                    byte[] query = TextCodec.hex(queryAndExpected[0]);
                    socket.setSoTimeout(TIMEOUT_MS);
                    socket.send(
                            new DatagramPacket(
                                    query,
                                    2,
                                    query.length - 2,
                                    party.socket.getRemoteSocketAddress()));
                    DatagramPacket received = new DatagramPacket(new byte[512], 512);
                    socket.receive(received);
                    compare(
                            queryAndExpected[1],
                            HexFormat.of().formatHex(received.getData(), 0, received.getLength()));
                }
            }
            case "bytes" -> party.socket.getOutputStream().write(TextCodec.bytes(rest));
            case "hex" -> party.socket.getOutputStream().write(TextCodec.hex(rest));
            case "raw" ->
                    party.socket.getOutputStream().write(rest.getBytes(StandardCharsets.UTF_8));
            case "accept" -> {
                party.socket = null;
                party.in(TIMEOUT_MS);
            }
            case "close" -> {
                party.socket.setSoLinger(true, 0);
                party.socket.close();
                party.socket = null;
            }
            case "half-close" -> party.socket.shutdownOutput();
            case "down" -> party.server.close();
            case ">" ->
                    party.socket
                            .getOutputStream()
                            .write(
                                    party.frames
                                            ? TextCodec.frame(rest)
                                            : TextCodec.response(200, rest));
            default -> {
                // The form of a client's request: METHOD TARGET Header=value ... :: BODY
                String[] headAndBody = rest.split(" :: ", 2);
                String[] targetAndHeaders = headAndBody[0].split(" ");
                StringBuilder headers = new StringBuilder();
                for (String header :
                        Arrays.asList(targetAndHeaders).subList(1, targetAndHeaders.length)) {
                    headers.append(header.replaceFirst("=", ": ")).append("\r\n");
                }
                party.socket
                        .getOutputStream()
                        .write(
                                TextCodec.request(
                                        verb,
                                        targetAndHeaders[0],
                                        headers.toString(),
                                        headAndBody.length > 1 ? headAndBody[1] : ""));
            }
        }
    }

    private void countShardRequests(String name, Party party, String received) {
        if (!party.client) {
            Matcher requestLines =
                    Pattern.compile(party.frames ? "(?m)^(Q )?[!-~]+ [0-9]+ d=" : "\"preference\"")
                            .matcher(received);
            while (requestLines.find()) {
                shardRequestsReceived.merge(name, 1, Integer::sum);
                shardRequestsReceived.merge("all", 1, Integer::sum);
            }
        }
    }

    private void compare(String expected, String received) {
        List<String> names = new ArrayList<>();
        StringBuilder regex = new StringBuilder();
        Matcher placeholders = Pattern.compile("\\{([a-z0-9-]*)\\}").matcher(expected);
        int literalStart = 0;
        while (placeholders.find()) {
            regex.append(Pattern.quote(expected.substring(literalStart, placeholders.start())))
                    .append("(.*?)");
            names.add(placeholders.group(1));
            literalStart = placeholders.end();
        }
        regex.append(Pattern.quote(expected.substring(literalStart)));
        Matcher match = Pattern.compile(regex.toString(), Pattern.DOTALL).matcher(received);
        if (!match.matches()) {
            assertEquals(expected, received);
        }
        for (int i = 0; i < names.size(); i++) {
            if (!names.get(i).isEmpty()) {
                variables.put(names.get(i), match.group(i + 1));
            }
        }
    }
}
