package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery, as PROTOCOL-reeldeal.md describes it, with a list that does not change. */
final class Discovery {
    private static final Pattern WATCH = Pattern.compile("since=([0-9]+).*timeout_ms=([0-9]+)");
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String list;

    /** Starts to serve a list of entries. */
    Discovery(List<String> entries) throws IOException {
        list =
                "{\"index\":7,\"snapshot\":true,\"endpoints\":["
                        + String.join(",", entries)
                        + "]}";
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

    static String entry(String name, int port, String zone, String kind, int cell) {
        return String.format(
                "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"%s\","
                        + "\"group\":%d,\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}",
                name, port, zone, kind, cell);
    }

    private void serve(Socket connection) throws IOException {
        while (true) {
            String start = Wire.read(connection.getInputStream()).start();
            Matcher watch = WATCH.matcher(start);
            String body = list;
            if (watch.find() && watch.group(1).equals("7")) {
                Run.sleep(Long.parseLong(watch.group(2)));
                body = "{\"index\":7,\"snapshot\":false,\"endpoints\":[]}";
            }
            connection
                    .getOutputStream()
                    .write(Wire.message("HTTP/1.1 200 OK", Map.of(), body));
        }
    }
}
