package reeldeal.faultinjection.soak;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import reeldeal.faultinjection.DaemonThreads;

/** A broker process of the soak, with its faults. Its methods may be called from any thread. */
final class SoakBroker implements AutoCloseable {
    /** How long after SIGTERM clients still open connections, ms. */
    private static final long NEW_CONNECTIONS_MS = 300;

    /** Requests that came this long after SIGTERM must be answered before SIGKILL, ms. */
    private static final long LATE_REQUEST_MS = 700;

    /** How long after a request's time its answer may be on its way, ms. */
    private static final long ANSWER_MS = 50;

    private static final int CLOSE_TIMEOUT_S = 10;

    final String name;
    final int port;
    final SyscallFaults faults;
    private final List<String> command;
    private final Map<String, String> environment;
    private final RequestLedger ledger;
    private final PrintWriter log;
    private final long startedAt = System.nanoTime();
    private volatile Process process;
    private volatile boolean serving;
    private volatile long terminatedAt; // nanoTime of SIGTERM, 0 before
    private volatile long killedAt; // nanoTime of SIGKILL, 0 before
    private volatile long exitedAt; // nanoTime of the end of the process, 0 before
    private volatile boolean ending;

    SoakBroker(
            String name,
            int port,
            Path folder,
            Map<String, String> environment,
            SyscallFaults faults,
            RequestLedger ledger)
            throws IOException {
        this.name = name;
        this.port = port;
        this.faults = faults;
        this.ledger = ledger;
        this.environment = new HashMap<>(environment);
        log = new PrintWriter(Files.newBufferedWriter(folder.resolve(name + ".log")), true);
        command =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xms24m",
                        "-Xmx64m",
                        "-Xss512k",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-XX:+UseSerialGC",
                        "-XX:MinHeapFreeRatio=10",
                        "-XX:MaxHeapFreeRatio=20",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:MaxDirectMemorySize=16m",
                        "-XX:MaxMetaspaceSize=40m",
                        "-XX:ReservedCodeCacheSize=24m",
                        "-XX:-UsePerfData",
                        "-Dio.netty.allocator.type=unpooled",
                        "-Dio.netty.noPreferDirect=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "reeldeal.server.Main",
                        "serve");
        // An interrupted soak must leave no broker behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::destroy, "soak-end"));
    }

    private void destroy() {
        Process running = process;
        if (running != null) {
            running.toHandle().destroyForcibly();
        }
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(new ArrayList<>(command))
                        .redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"));
        builder.environment()
                .keySet()
                .removeIf(key -> key.startsWith("LB_") || key.startsWith("REELDEAL_"));
        builder.environment().putAll(environment);
        serving = false;
        terminatedAt = 0;
        killedAt = 0;
        exitedAt = 0;
        Process started = builder.start();
        process = started;
        note("started");
        DaemonThreads.start(() -> readLog(started));
    }

    private void readLog(Process started) throws IOException, InterruptedException {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                note(line);
                if (line.startsWith("VIOLATION")) {
                    ledger.foundByGuard(name, line);
                }
                if (line.startsWith("serving as ") && process == started) {
                    serving = true;
                }
            }
        }
        int status = started.waitFor();
        if (process == started) {
            exitedAt = System.nanoTime();
            serving = false;
            note("exit status " + status);
            if (terminatedAt == 0 && killedAt == 0 && !ending) {
                ledger.violation("crash", name + " ended with status " + status);
            }
        }
    }

    /** Adds a line to the broker's log, with the ms since the soak began. */
    void note(String line) {
        log.println((System.nanoTime() - startedAt) / 1_000_000 + " " + line);
    }

    boolean isServing() {
        return serving && process.isAlive();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Whether clients open new connections now. */
    boolean takesNewConnections() {
        long signalled = terminatedAt;
        boolean open =
                signalled == 0 || System.nanoTime() - signalled < NEW_CONNECTIONS_MS * 1_000_000L;
        return isServing() && open && killedAt == 0;
    }

    boolean wasKilled() {
        return killedAt != 0;
    }

    /**
     * Whether SIGKILL may find a request unanswered: it came without SIGTERM, or before the last
     * requests did and the request's own time reaches to it.
     */
    boolean excusesUnanswered(long sentAtNanos, long timeLeftMs) {
        long killed = killedAt;
        if (killed == 0 || terminatedAt == 0) {
            return killed != 0;
        }
        long dueAtNanos = sentAtNanos + (timeLeftMs + ANSWER_MS) * 1_000_000L;
        return sentAtNanos < terminatedAt + LATE_REQUEST_MS * 1_000_000L && dueAtNanos > killed;
    }

    /** Returns the ms from SIGTERM to the end of the process, or a negative number. */
    long endedAfterMs() {
        return exitedAt == 0 || terminatedAt == 0 ? -1 : (exitedAt - terminatedAt) / 1_000_000;
    }

    void terminate() {
        if (terminatedAt == 0) {
            terminatedAt = System.nanoTime();
        }
        note("SIGTERM");
        process.toHandle().destroy();
    }

    void kill() {
        if (process.isAlive()) {
            killedAt = System.nanoTime();
            note("SIGKILL");
            process.toHandle().destroyForcibly();
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        note("SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    void awaitEnd() throws InterruptedException {
        process.waitFor(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        ending = true;
        destroy();
        if (process != null) {
            awaitEnd();
        }
        log.close();
    }
}
