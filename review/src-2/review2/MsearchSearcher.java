package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A searcher that serves OpenSearch's form: one {@code _msearch} carries several searches and has
 * one answer. While it hangs, it accepts and reads, and answers what it holds when the hang ends.
 */
final class MsearchSearcher {
    private static final Pattern SHARD = Pattern.compile("_shards:([0-9]+)");
    private static final Pattern QUERY = Pattern.compile("\"ext\":\\{\"query\":\"([^\"]+)\"");

    /** An attempt of a part as the searcher sees it: out from its arrival to its end. */
    static final class Attempt {
        final String part;
        final String searcher;
        final double fromMs;
        volatile double untilMs = Double.POSITIVE_INFINITY;
        volatile String end = "still out";

        Attempt(String part, String searcher, double fromMs) {
            this.part = part;
            this.searcher = searcher;
            this.fromMs = fromMs;
        }

        synchronized void end(double atMs, String how) {
            if (untilMs == Double.POSITIVE_INFINITY) {
                untilMs = atMs;
                end = how;
            }
        }
    }

    /** All attempts at all searchers, by part, in the order of their arrival. */
    static final Map<String, List<Attempt>> ATTEMPTS = new LinkedHashMap<>();

    private static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(2, MsearchSearcher::daemon);

    final String name;
    final int cell;
    final int port;
    private final Lab lab;
    private final int callMs;
    private final int recordMs;
    private final int markMs;
    private volatile double hangsUntilMs;

    /** Creates a searcher with the work of a call, and of a search for records and for marks. */
    MsearchSearcher(Lab lab, String name, int cell, int callMs, int recordMs, int markMs)
            throws IOException {
        this.lab = lab;
        this.name = name;
        this.cell = cell;
        this.callMs = callMs;
        this.recordMs = recordMs;
        this.markMs = markMs;
        port = lab.freePort();
        ServerSocket server = new ServerSocket(port, 100, InetAddress.getByName("127.0.0.1"));
        daemon(
                        () -> {
                            while (true) {
                                try {
                                    Socket socket = server.accept();
                                    socket.setTcpNoDelay(true);
                                    daemon(() -> serve(socket)).start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        })
                .start();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "msearch");
        thread.setDaemon(true);
        return thread;
    }

    void hang(int ms) {
        hangsUntilMs = lab.now() + ms;
    }

    private void serve(Socket socket) {
        List<Attempt> out = new ArrayList<>();
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String head = head(in);
                if (head == null) {
                    break;
                }
                int length = 0;
                for (String line : head.split("\r\n")) {
                    if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(15).trim());
                    }
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                if (head.startsWith("GET ")) {
                    answer(socket, "{\"name\":\"" + name + "\"}");
                } else {
                    onCall(socket, body, out);
                }
            }
        } catch (IOException e) {
            // The connection broke.
        }
        double now = lab.now();
        synchronized (out) {
            out.forEach(attempt -> attempt.end(now, "given up by closing the connection"));
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private void onCall(Socket socket, String body, List<Attempt> out) {
        String[] lines = body.split("\n");
        List<Attempt> call = new ArrayList<>();
        List<String> responses = new ArrayList<>();
        double now = lab.now();
        double workMs = callMs;
        for (int i = 0; i + 1 < lines.length; i += 2) {
            Matcher shard = SHARD.matcher(lines[i]);
            Matcher query = QUERY.matcher(lines[i + 1]);
            if (!shard.find() || !query.find()) {
                lab.note(name + ": not understood: " + lines[i] + " " + lines[i + 1]);
                continue;
            }
            boolean fetch = lines[i + 1].contains("\"from\":[");
            String part = query.group(1) + "." + shard.group(1) + (fetch ? ".f" : "");
            call.add(new Attempt(part, name, now));
            workMs += lines[i + 1].contains("\"mark ") ? markMs : recordMs;
            String doc = Integer.toHexString((query.group(1) + shard.group(1)).hashCode());
            responses.add(
                    "{\"took\":1,\"timed_out\":false,\"hits\":{\"hits\":[{\"_id\":\""
                            + doc
                            + "\",\"_score\":1.5,\"_source\":{\"doc\":\""
                            + doc
                            + "\"}}]},\"status\":200}");
        }
        synchronized (ATTEMPTS) {
            for (Attempt attempt : call) {
                ATTEMPTS.computeIfAbsent(attempt.part, key -> new ArrayList<>()).add(attempt);
            }
        }
        synchronized (out) {
            out.addAll(call);
        }
        List<String> parts = call.stream().map(attempt -> attempt.part).toList();
        lab.note(name + " takes a call of " + parts);
        double delayMs = Math.max(workMs, hangsUntilMs - lab.now());
        TIMER.schedule(
                () -> finish(socket, call, responses), (long) delayMs, TimeUnit.MILLISECONDS);
    }

    private void finish(Socket socket, List<Attempt> call, List<String> responses) {
        if (lab.now() < hangsUntilMs) {
            TIMER.schedule(
                    () -> finish(socket, call, responses),
                    (long) (hangsUntilMs - lab.now()) + 1,
                    TimeUnit.MILLISECONDS);
            return;
        }
        try {
            call.forEach(attempt -> attempt.end(lab.now(), "answered"));
            answer(socket, "{\"took\":1,\"responses\":[" + String.join(",", responses) + "]}");
        } catch (IOException e) {
            // The broker closed the connection.
        }
    }

    private static void answer(Socket socket, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            out.flush();
        }
    }
}
