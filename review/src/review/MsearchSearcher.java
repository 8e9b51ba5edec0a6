package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A searcher that answers {@code _msearch}, one call at a time on each connection. It can write one
 * of its answers twice, the second copy right after the first, while nothing else waits on the
 * connection.
 */
final class MsearchSearcher {
    private static final Pattern SHARD = Pattern.compile("\"preference\":\"_shards:([0-9]+)\"");
    private static final Pattern TEXT = Pattern.compile("\"query_string\":\\{\"query\":\"([^\"]*)\"");

    private final Run run;
    private final String name;
    private final int serviceMs;
    private final int doubledAnswer;
    private final AtomicInteger answers = new AtomicInteger();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /**
     * Starts a searcher.
     *
     * @param doubledAnswer the number of the answer that is written twice, from 1; 0 for none
     */
    MsearchSearcher(Run run, String name, int serviceMs, int doubledAnswer) throws IOException {
        this.run = run;
        this.name = name;
        this.serviceMs = serviceMs;
        this.doubledAnswer = doubledAnswer;
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

    int answers() {
        return answers.get();
    }

    private void serve(Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        while (true) {
            Wire.Message call = Wire.read(connection.getInputStream());
            if (!call.start().contains("_msearch")) {
                out.write(Wire.message("HTTP/1.1 200 OK", Map.of(), "{}"));
                continue;
            }
            Run.sleep(serviceMs);
            List<String> responses = new ArrayList<>();
            List<String> made = new ArrayList<>();
            String[] lines = call.body().split("\n");
            for (int i = 0; i + 1 < lines.length; i += 2) {
                int shard = Integer.parseInt(group(SHARD, lines[i]));
                String text = group(TEXT, lines[i + 1]);
                String value = FrameSearcher.value(text, shard);
                made.add(text + "/" + shard + "=" + value);
                responses.add(
                        "{\"took\":1,\"timed_out\":false,\"hits\":{\"total\":{\"value\":1,"
                                + "\"relation\":\"eq\"},\"max_score\":1,\"hits\":[{\"_index\":"
                                + "\"segments\",\"_id\":\""
                                + value
                                + "\",\"_score\":1,\"_source\":{\"doc\":\""
                                + value
                                + "\"}}]},\"status\":200}");
            }
            byte[] answer =
                    Wire.message(
                            "HTTP/1.1 200 OK",
                            Map.of("Content-Type", "application/json"),
                            "{\"took\":1,\"responses\":[" + String.join(",", responses) + "]}");
            boolean twice = answers.incrementAndGet() == doubledAnswer;
            run.note(name, "answers " + made + (twice ? ", and writes this answer twice" : ""));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(answer);
            if (twice) {
                bytes.writeBytes(answer);
            }
            out.write(bytes.toByteArray());
        }
    }

    private static String group(Pattern pattern, String line) throws IOException {
        Matcher matcher = pattern.matcher(line);
        if (!matcher.find()) {
            throw new IOException("expected " + pattern + " in " + line);
        }
        return matcher.group(1);
    }
}
