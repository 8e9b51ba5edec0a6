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

/**
 * Discovery on loopback, with long polling, at a port of its own for each broker. Notes when a
 * broker was told that a searcher drains. Thread-safe.
 */
final class SoakDiscovery implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final String DRAINING = "draining";
    private static final Pattern WATCH = Pattern.compile("since=([0-9]+)&timeout_ms=([0-9]+)");

    /** An entry of the list, and the index of its latest change. */
    private record Entry(long index, String status, String json) {}

    private final DrainNotices drains;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long index = 1;

    SoakDiscovery(DrainNotices drains) {
        this.drains = drains;
    }

    /** Starts to listen for a broker, and returns the port. */
    int portFor(String broker) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        connection.setTcpNoDelay(true);
                        DaemonThreads.start(() -> serve(connection, broker));
                    }
                });
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
        if (!status.equals(DRAINING)) {
            drains.ended(searcher.name);
        }
        entries.put(searcher.name, new Entry(index, status, json));
        notifyAll();
    }

    /** Returns the whole list, in the form of the configuration's known searchers. */
    synchronized String completeList() {
        return list(0, true);
    }

    private String list(long since, boolean complete) {
        List<String> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean gone = entry.status().equals("gone");
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

    /** Notes that a broker has all changes up to an index. */
    private synchronized void acknowledge(String broker, long since) {
        entries.forEach(
                (searcher, entry) -> {
                    if (entry.status().equals(DRAINING) && entry.index() <= since) {
                        drains.told(broker, searcher);
                    }
                });
    }

    private void serve(Socket connection, String broker) throws Exception {
        try (connection) {
            while (true) {
                String request = TextCodec.readHttp(connection.getInputStream());
                if (request.equals("EOF")) {
                    return;
                }
                Matcher watch = WATCH.matcher(request);
                String body;
                if (watch.find()) {
                    long since = Long.parseLong(watch.group(1));
                    acknowledge(broker, since);
                    body = await(since, Long.parseLong(watch.group(2)));
                } else {
                    body = completeList();
                }
                connection.getOutputStream().write(TextCodec.response(200, body));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
