package review;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A sound searcher that speaks frames: it answers each part after its service time, drops repeats of
 * a key, answers probes, and does not answer a part that the broker gave up.
 */
final class FrameSearcher {
    private static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    2,
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private final Run run;
    private final String name;
    private final Effects effects;
    private final int serviceMs;
    private final int valueLength;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /** The ids of all parts that came here. */
    final Set<String> received = ConcurrentHashMap.newKeySet();

    /** Starts a searcher whose values are short, as in the protocol page's examples. */
    FrameSearcher(Run run, String name, int serviceMs, Effects effects) throws IOException {
        this(run, name, serviceMs, effects, 0);
    }

    /** Starts a searcher whose values have at least a length. */
    FrameSearcher(Run run, String name, int serviceMs, Effects effects, int valueLength)
            throws IOException {
        this.valueLength = valueLength;
        this.run = run;
        this.name = name;
        this.serviceMs = serviceMs;
        this.effects = effects;
        Run.thread(
                () -> {
                    while (true) {
                        Socket connection = server.accept();
                        connection.setTcpNoDelay(true);
                        Run.thread(() -> serve(connection));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    /** The value that a searcher makes for a part: it follows from the query and the shard alone. */
    static String value(String text, int shard) {
        return Long.toHexString((text + "/" + shard).hashCode() * 0x9e3779b97f4a7c15L);
    }

    private record Part(String id, int shard, String key, String text) {}

    private void serve(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        Set<String> givenUp = ConcurrentHashMap.newKeySet();
        while (true) {
            String frame = new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
            if (frame.isEmpty()) {
                return;
            }
            switch (frame.charAt(0)) {
                case 'Q' -> parts(frame.substring(1)).forEach(part -> take(part, out, givenUp));
                case 'X' -> {
                    givenUp.add(frame.substring(1));
                    run.note(name, "given up: " + frame.substring(1));
                }
                case 'P' -> send(out, "Pok");
                case 'L' -> send(out, "Lutil=0.2,queue=0");
                default -> throw new IOException("unknown frame " + frame);
            }
        }
    }

    private static List<Part> parts(String call) {
        List<Part> parts = new ArrayList<>();
        byte[] bytes = call.getBytes(StandardCharsets.UTF_8);
        int at = 0;
        while (at < bytes.length) {
            int end = at;
            while (bytes[end] != '\n') {
                end++;
            }
            String[] line = new String(bytes, at, end - at, StandardCharsets.UTF_8).split(" ");
            int length = Integer.parseInt(line[3]);
            String text = new String(bytes, end + 1, length, StandardCharsets.UTF_8);
            String key = null;
            for (String item : line[2].split(",")) {
                key = item.startsWith("k=") ? item.substring(2) : key;
            }
            parts.add(new Part(line[0], Integer.parseInt(line[1]), key, text));
            at = end + 1 + length;
        }
        return parts;
    }

    private void take(Part part, DataOutputStream out, Set<String> givenUp) {
        received.add(part.id());
        String what = "";
        if (part.key() != null) {
            boolean ran = effects.run(part.key() + "/" + part.shard(), run.now());
            what = " key " + part.key() + (ran ? " RUNS" : " is dropped as a repeat");
        }
        run.note(name, "part " + part.id() + what);
        TIMER.schedule(
                () -> {
                    if (!givenUp.contains(part.id())) {
                        String value = value(part.text(), part.shard());
                        value += "x".repeat(Math.max(0, valueLength - value.length()));
                        send(out, "A" + part.id() + " ok 1 -\n" + value);
                    }
                },
                serviceMs,
                TimeUnit.MILLISECONDS);
    }

    private static void send(DataOutputStream out, String frame) {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        synchronized (out) {
            try {
                out.writeInt(bytes.length);
                out.write(bytes);
                out.flush();
            } catch (IOException e) {
                return; // the broker has closed the connection
            }
        }
    }
}
