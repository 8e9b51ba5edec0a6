package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages with a length, as the clients and the stand-ins of the cases send them. */
final class Wire {
    private Wire() {}

    /** A message: its start line, its headers with names in lower case, and its body. */
    record Message(String start, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads one message; throws EOFException if the peer ends the connection before it is whole. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is not whole");
        }
        return new Message(start, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static byte[] message(String start, Map<String, String> headers, String body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
        out.writeBytes(bytes);
        return out.toByteArray();
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends one request on a connection of its own and returns the answer. */
    static Message call(
            int port, int timeoutMs, String start, Map<String, String> headers, String body)
            throws IOException {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(message(start, headers, body));
            return read(socket.getInputStream());
        }
    }

    /** Waits until the broker at a port says that it takes clients. */
    static void awaitReady(Run run, int port, long limitMs) throws IOException {
        long until = run.now() + limitMs;
        while (run.now() < until) {
            try {
                if (call(port, 1_000, "GET /_health HTTP/1.1", Map.of("Host", "b"), "").status()
                        == 200) {
                    return;
                }
            } catch (IOException e) {
                Run.sleep(50);
            }
            Run.sleep(50);
        }
        throw new IOException("no broker is ready on port " + port);
    }
}
