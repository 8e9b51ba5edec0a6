package review;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, its processes and its time limit. The
 * processes are started with the command {@code run} of the deploy file, from the repository's
 * root, and all of them are ended by {@link #end}.
 */
final class Run {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int LIMIT_S = 110;

    /** Whether the case has its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final long startedNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path temporary;
    private final List<Daemon> daemons = new ArrayList<>();
    private boolean ended;

    /** The body of a case; returns an exit status. */
    interface Body {
        int run(Run run) throws Exception;
    }

    private Run(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        temporary = Files.createTempDirectory("review");
    }

    /** Runs a case and ends this process with its exit status; the argument names record.txt. */
    static void main(String[] args, Body body) throws Exception {
        Run run = new Run(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(run::end));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(LIMIT_S * 1000L);
                            run.note("case", "the case took more than " + LIMIT_S + " s");
                            run.finish(COULD_NOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        run.note("case", "trouble=" + (run.trouble ? 1 : 0));
        int status;
        try {
            status = body.run(run);
        } catch (Exception e) {
            run.note("case", "could not run: " + e);
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        run.finish(status);
    }

    private void finish(int status) {
        String[] words = {"the rule held", "the rule was broken", "the case could not run"};
        note("case", "exit " + status + ": " + words[status]);
        System.out.println(words[status] + " (exit " + status + ")");
        end();
        Runtime.getRuntime().halt(status);
    }

    private synchronized void end() {
        if (ended) {
            return;
        }
        ended = true;
        daemons.forEach(Daemon::kill);
        try {
            record.flush();
            try (Stream<Path> files = Files.walk(temporary)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException e) {
            System.err.println("clean-up: " + e);
        }
    }

    /** Returns the milliseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    /** Adds a line to the record. */
    void note(String who, String what) {
        synchronized (record) {
            try {
                record.write(String.format("%7d %-12s %s%n", now(), who, what));
                record.flush();
            } catch (IOException e) {
                System.err.println("record: " + e);
            }
        }
    }

    Path folder(String name) throws IOException {
        return Files.createDirectories(temporary.resolve(name));
    }

    Path write(String name, String text) throws IOException {
        return Files.writeString(temporary.resolve(name), text);
    }

    /** Returns a loopback port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a daemon thread; an I/O error ends it silently, as the peer has gone. */
    static void thread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A task that may end with an I/O error. */
    interface IoTask {
        void run() throws IOException;
    }

    /** Starts the program with the command {@code run} of the deploy file. */
    Daemon start(String name, Map<String, String> environment) throws IOException {
        Daemon daemon = new Daemon(name, environment);
        daemons.add(daemon);
        return daemon;
    }

    private static String runCommand() throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        return matcher.group(1);
    }

    /** A process of the program. */
    final class Daemon {
        final String name;
        private final Process process;
        private volatile boolean leads;

        private Daemon(String name, Map<String, String> environment) throws IOException {
            this.name = name;
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", runCommand())
                            .redirectErrorStream(true)
                            .redirectInput(new File("/dev/null"));
            builder.environment()
                    .keySet()
                    .removeIf(k -> k.startsWith("LB_") || k.startsWith("REELDEAL_"));
            builder.environment().putAll(environment);
            builder.environment().put("TMPDIR", folder("tmp-" + name).toString());
            process = builder.start();
            note(name, "started, process " + process.pid());
            thread(
                    () -> {
                        BufferedReader lines =
                                new BufferedReader(
                                        new InputStreamReader(
                                                process.getInputStream(), StandardCharsets.UTF_8));
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            note(name, "log: " + line);
                            leads |= line.contains("accepts writes as leader");
                        }
                        note(name, "its output has ended");
                    });
        }

        /** Whether the process has said in its log that it leads the store. */
        boolean leads() {
            return leads;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal such as TERM, STOP or CONT to this process. */
        void signal(String signal) throws IOException {
            note(name, "is sent SIG" + signal);
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /** Sends SIGKILL, if the process still runs. */
        void kill() {
            if (process.isAlive()) {
                note(name, "is sent SIGKILL");
                process.destroyForcibly();
            }
        }
    }
}
