package reeldeal.faultinjection.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reeldeal.faultinjection.DaemonThreads;
import reeldeal.faultinjection.TextCodec;

/** Discovery on loopback, with long polling. Thread-safe. */
final class SoakDiscovery implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final Pattern WATCH = Pattern.compile("since=([0-9]+)&timeout_ms=([0-9]+)");

    /** An entry of the list, and the index of its latest change. */
    private record Entry(long index, String json) {}

    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long index = 1;

    SoakDiscovery() throws IOException {
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        connection.setTcpNoDelay(true);
                        DaemonThreads.start(() -> serve(connection));
                    }
                });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Adds or changes the entry of a searcher; its status is ready, draining or gone. */
    synchronized void publish(SoakSearcher searcher, String status) {
        index++;
        String json =
                String.format(
                        "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"type\":\"std\","
                                + "\"group\":%d,\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%d}",
                        searcher.name,
                        searcher.port(),
                        searcher.cell,
                        status,
                        searcher.startedUnixMs());
        entries.put(searcher.name, new Entry(index, json));
        notifyAll();
    }

    /** Returns the whole list, in the form of the configuration's known searchers. */
    synchronized String completeList() {
        return list(0, true);
    }

    private String list(long since, boolean complete) {
        List<String> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean gone = entry.json().contains("\"status\":\"gone\"");
            if (entry.index() > since && !(complete && gone)) {
                changed.add(entry.json());
            }
        }
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + complete
                + ",\"endpoints\":["
                + String.join(",", changed)
                + "]}";
    }

    private synchronized String await(long since, long timeoutMs) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        while (index <= since) {
            long leftMs = (deadline - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                break;
            }
            wait(leftMs);
        }
        return list(since, false);
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            while (true) {
                String request = TextCodec.readHttp(connection.getInputStream());
                if (request.equals("EOF")) {
                    return;
                }
                Matcher watch = WATCH.matcher(request);
                String body =
                        watch.find()
                                ? await(
                                        Long.parseLong(watch.group(1)),
                                        Long.parseLong(watch.group(2)))
                                : completeList();
                connection.getOutputStream().write(TextCodec.response(200, body));
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
