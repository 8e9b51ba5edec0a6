package reeldeal.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A broker that runs as a process of its own and can be started, killed, paused and resumed. Its
 * log lines are added to the history.
 */
final class BrokerProcess {
    final String name;
    final int port;
    final int storePort;
    final int dnsPort;
    private List<String> serveCommand;
    private final Map<String, String> environment;
    private final History history;
    private int maxFileKb;
    private Process process;
    private volatile boolean isServing;
    private volatile boolean isPaused;

    BrokerProcess(
            String name,
            int port,
            int storePort,
            int dnsPort,
            List<String> programCommand,
            Map<String, String> environment,
            History history) {
        this.name = name;
        this.port = port;
        this.storePort = storePort;
        this.dnsPort = dnsPort;
        this.environment = new HashMap<>(environment);
        this.history = history;
        install(programCommand);
    }

    /**
     * Limits the size of each file that the process writes, as on a full disk, from its next start
     * on. 0 removes the limit.
     */
    void limitFileSize(int maxKb) {
        maxFileKb = maxKb;
    }

    /** Removes the failpoints at which the process ends itself, from its next start on. */
    void disableFailpoints() {
        environment.computeIfPresent(
                "JDK_JAVA_OPTIONS", (k, v) -> v.replaceAll(" ?-Dreeldeal\\.drill\\.die=\\S+", ""));
    }

    /**
     * Sets the wall clock of the process ahead by an offset in ms, or behind if negative, from its
     * next start on.
     */
    void shiftWallClock(long ms) {
        environment.computeIfPresent(
                "JDK_JAVA_OPTIONS", (k, v) -> v + " -Dreeldeal.drill.wall_off_ms=" + ms);
    }

    boolean hasFileSizeLimit() {
        return maxFileKb > 0;
    }

    /** Sets the program that the next start runs, as the beginning of its command line. */
    synchronized void install(List<String> programCommand) {
        serveCommand = new ArrayList<>(programCommand);
        serveCommand.add("serve");
    }

    /**
     * Returns the beginning of a command line that runs a program on the Java runtime of this JVM:
     * the given jar, or this JVM's class path if {@code jar} is null.
     */
    static List<String> commandFor(Path jar) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xms24m",
                                "-Xmx96m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData"));
        command.addAll(
                jar != null
                        ? List.of("-jar", jar.toString())
                        : List.of(
                                "-cp",
                                System.getProperty("java.class.path"),
                                "reeldeal.server.Main"));
        return command;
    }

    synchronized void start() throws IOException {
        if (process != null && process.isAlive()) {
            return;
        }
        List<String> command = new ArrayList<>();
        if (maxFileKb > 0) {
            command.addAll(
                    List.of("bash", "-c", "ulimit -f " + maxFileKb + "; exec \"$@\"", "bash"));
        }
        command.addAll(serveCommand);
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"));
        builder.environment()
                .keySet()
                .removeIf(k -> k.startsWith("LB_") || k.startsWith("REELDEAL_"));
        builder.environment().putAll(environment);
        history.add(name, "start", "");
        Process started = builder.start();
        process = started;
        isServing = false;
        isPaused = false;
        DaemonThreads.start(
                () -> {
                    try (BufferedReader lines =
                            new BufferedReader(
                                    new InputStreamReader(started.getInputStream(), UTF_8))) {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            history.add(name, "log", line);
                            if (line.startsWith("serving as ")) {
                                isServing = true;
                            }
                        }
                    }
                    if (process == started) {
                        isServing = false;
                    }
                    history.add(name, "exit", "status=" + started.waitFor());
                });
    }

    /**
     * Runs a command of the program and adds its output to the history. Returns whether its exit
     * status was 0.
     */
    static boolean runCommand(List<String> programCommand, List<String> arguments, History history)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(programCommand);
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"))
                        .start();
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                history.add("operator", "told", line);
            }
        }
        return process.waitFor() == 0;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the process has logged that it serves, and is neither ended nor paused. */
    boolean isServing() {
        return isServing && isAlive() && !isPaused;
    }

    void kill() throws InterruptedException {
        history.add(name, "kill", "");
        isServing = false;
        process.toHandle()
                .destroyForcibly(); // Process.destroyForcibly would close output not read yet
        process.waitFor();
    }

    void terminate() {
        history.add(name, "terminate", "");
        process.toHandle().destroy();
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    void pause() throws IOException, InterruptedException {
        history.add(name, "pause", "");
        isPaused = true;
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        if (isAlive()) {
            signal("CONT");
        }
        isPaused = false;
        history.add(name, "wake", "");
    }

    /**
     * Returns memory, CPU time and uptime of the process, as far as the operating system reports
     * them.
     */
    String resourceUsage() {
        String rssKb = "?";
        try {
            rssKb =
                    java.nio.file.Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))
                            .stream()
                            .filter(l -> l.startsWith("VmRSS:"))
                            .map(l -> l.replaceAll("[^0-9]", ""))
                            .findFirst()
                            .orElse("?");
        } catch (IOException e) {
            rssKb = "?"; // no /proc on this operating system, or the process has ended
        }
        long cpuMs =
                process.info().totalCpuDuration().map(java.time.Duration::toMillis).orElse(-1L);
        long uptimeMs =
                process.info()
                        .startInstant()
                        .map(i -> java.time.Duration.between(i, java.time.Instant.now()).toMillis())
                        .orElse(-1L);
        return "rss_kb=" + rssKb + " cpu_ms=" + cpuMs + " up_ms=" + uptimeMs;
    }

    boolean isPaused() {
        return isPaused;
    }

    /** Kills the process and waits up to 10 s for its end. */
    void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }
}
