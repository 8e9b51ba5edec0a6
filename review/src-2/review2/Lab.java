package review2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, and the processes that it started, all of
 * which it ends. The program is started with the command {@code run} of the deploy file.
 */
final class Lab {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** The most that a run may take, ms; the issue allows 120 s. */
    private static final int WATCHDOG_MS = 116_000;

    /** Free ports are taken below the usual range of ephemeral ports, which connections use. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 18_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final Path caseFolder;
    private final PrintWriter record;
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private final long startNanos = System.nanoTime();
    private int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * 97 % PORTS);

    static {
        // An exception of the case itself says nothing about the rule; Java would exit with 1.
        Thread.currentThread()
                .setUncaughtExceptionHandler(
                        (thread, cause) -> {
                            cause.printStackTrace();
                            System.exit(COULD_NOT_RUN);
                        });
    }

    Lab(String caseFolder) throws IOException {
        this.caseFolder = Path.of(caseFolder);
        folder = Files.createTempDirectory("review-2-");
        record =
                new PrintWriter(
                        Files.newBufferedWriter(this.caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(WATCHDOG_MS);
                            end(COULD_NOT_RUN, "the run took too long");
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        note("TROUBLE=" + (trouble ? 1 : 0) + " on " + System.getProperty("os.arch"));
    }

    /** Milliseconds since the start of the run. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void note(String line) {
        record.printf("%10.1f  %s%n", now(), line);
    }

    /** Writes the verdict, ends all processes, and exits. */
    void end(int status, String verdict) {
        String word = status == HELD ? "HELD" : status == BROKEN ? "BROKEN" : "COULD NOT RUN";
        note(word + ": " + verdict);
        System.out.println(word + ": " + verdict);
        System.exit(status);
    }

    private void cleanUp() {
        for (Process process : List.copyOf(processes)) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : List.copyOf(processes)) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                break;
            }
        }
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // The folder is temporary; what cannot be deleted is left to the system.
        }
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps until a time of this run, in ms. */
    void until(double ms) {
        sleep(ms - now());
    }

    /** Returns a port on which nothing listens now. */
    synchronized int freePort() {
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + (nextPort++ - FIRST_PORT) % PORTS;
            try (ServerSocket probe =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return probe.getLocalPort();
            } catch (IOException e) {
                continue;
            }
        }
        throw new IllegalStateException("no free port");
    }

    Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text, StandardCharsets.UTF_8);
    }

    /** Returns the command {@code run} of the deploy file. */
    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    /** Starts a broker with the command of the deploy file; its log goes to a file. */
    Process startBroker(String name, Map<String, String> environment) throws IOException {
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.environment().keySet().removeIf(k -> k.startsWith("LB_") || k.startsWith("REEL"));
        builder.environment().putAll(environment);
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        note("started broker " + name + ", process " + process.pid());
        return process;
    }

    /** Runs one of the operators' commands and returns its output. */
    String operate(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/reeldeal.jar"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        int status = process.waitFor();
        note("operator: " + String.join(" ", arguments) + " -> " + status + " " + output);
        return status + " " + output;
    }

    /** Copies the lines of a broker's log that contain one of these texts to the record. */
    void noteLog(String name, String... texts) throws IOException {
        Path log = folder.resolve(name + ".log");
        if (!Files.exists(log)) {
            return;
        }
        int copied = 0;
        for (String line : Files.readAllLines(log)) {
            for (String text : texts) {
                if (line.contains(text) && copied++ < 60) {
                    record.println("            " + name + " log: " + line);
                    break;
                }
            }
        }
        record.flush();
    }

    /** Sends a signal to a process that this run started. */
    void signal(String signal, Process process) throws IOException, InterruptedException {
        note("SIG" + signal + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Settings of the site's classes and rules, as the platform's configuration gives them. */
    static Map<String, String> settings() {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put(
                "Categories",
                "["
                        + category("audit-report", 4000, 12000, 0.1, "repeatable", 5000, 3)
                        + ","
                        + category("notice-search", 1500, 4000, 0.1, "repeatable", 5000, 1)
                        + ","
                        + category("bid-mark", 1500, 5000, 0.3, "by_key", 2500, 2)
                        + "]");
        settings.put("Clients", "{\"MarksRetry\":false}");
        settings.put("Discovery", "\"pushed\"");
        settings.put("Family", "\"fanout\"");
        settings.put(
                "FamilyInfo",
                "{\"Batch\":4,\"Cells\":4,\"ClassFetch\":[3,0,0],\"CompleteFrom\":[1.0,1.0,1.0],"
                        + "\"InARow\":1,\"LeastShare\":[1.0,1.0,1.0],\"PartialEarns\":[0.9,0.9,0.9],"
                        + "\"PerCallWorkMs\":68.0,\"Ranges\":12,\"WarmKeys\":false}");
        settings.put("Instances", "1");
        settings.put("Kinds", "[\"std-10\",\"std-08\",\"archive\"]");
        settings.put("MyZone", "1");
        settings.put("Orgs", "[]");
        settings.put("OverShareWorth", "0.1");
        settings.put("PeriodMs", "5.0");
        settings.put(
                "PolicyLimits",
                "{\"Cancel\":true,\"ConnIdleMs\":30000.0,\"CpuUsPerRequest\":0.0,"
                        + "\"CpuUsPerS\":400000,\"DialTimeoutMs\":250.0,\"MaxAttempts\":4,"
                        + "\"MaxRetryAfterMs\":1000.0,\"MayTell\":false,\"MostHeld\":140,"
                        + "\"Probing\":true,\"RetryAfter\":true,\"SecondCopies\":false,"
                        + "\"StreamsPerConn\":32}");
        settings.put(
                "Rules",
                "{\"ColdFrom\":0.18,\"ColdMs\":18000.0,\"DrainGraceMs\":500.0,\"FallMs\":3000.0,"
                        + "\"FallMultiple\":2.5,\"GraceToAnswerMs\":20.0,\"MustAskInMs\":10000.0}");
        settings.put("SelfIndex", "0");
        settings.put("Telemetry", "{\"Columns\":[\"cpu\",\"waiting\"],\"Via\":\"probe\"}");
        settings.put("Tier", "0");
        settings.put("Tiers", "[\"otsing-pool\"]");
        settings.put("ValueBy", "\"work\"");
        settings.put("Weights", "\"none\"");
        settings.put("Zones", "[\"tln-lasna\",\"tln-ylemiste\",\"tartu-raadi\"]");
        return settings;
    }

    private static String category(
            String name,
            int aimMs,
            int deadlineMs,
            double late,
            String semantics,
            int windowMs,
            int worth) {
        return "{\"AimMs\":"
                + aimMs
                + ",\"Group\":\"all\",\"HardLimitMs\":"
                + deadlineMs
                + ",\"LateWorth\":"
                + late
                + ",\"Name\":\""
                + name
                + "\",\"Semantics\":\""
                + semantics
                + "\",\"Stream\":false,\"WindowMs\":"
                + windowMs
                + ",\"Worth\":"
                + worth
                + "}";
    }

    /** Writes a broker's configuration; {@code discovery} is null for a broker without it. */
    Path config(String name, int port, String discovery, Map<String, String> settings)
            throws IOException {
        List<String> fields = new ArrayList<>();
        settings.forEach((key, value) -> fields.add("\"" + key + "\":" + value));
        return write(
                name + ".json",
                "{\"name\":\""
                        + name
                        + "\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\","
                        + (discovery == null ? "" : "\"discovery\":\"" + discovery + "\",")
                        + "\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},"
                        + "\"settings\":{"
                        + String.join(",", fields)
                        + "}}");
    }
}
