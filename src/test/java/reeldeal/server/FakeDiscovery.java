package reeldeal.server;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import reeldeal.faultinjection.TextCodec;

/**
 * A fake discovery server: serves the complete endpoint list, and long polls that wait for changes.
 */
final class FakeDiscovery implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<Integer, String> changes = new LinkedHashMap<>();
    private int index = 1;
    private String nextReply;
    private int highestPolledIndex;
    private int completeListRequests;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    FakeDiscovery() throws IOException {
        Thread acceptor =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = server.accept();
                                    connections.add(socket);
                                    Thread connectionThread = new Thread(() -> serve(socket));
                                    connectionThread.setDaemon(true);
                                    connectionThread.start();
                                }
                            } catch (IOException e) {
                                // the server socket was closed
                            }
                        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Adds or changes an entry of the list, and answers waiting polls. */
    synchronized void publish(String name, String entry) {
        index++;
        entries.put(name, entry);
        changes.put(index, entry);
        notifyAll();
    }

    /**
     * Answers the next poll with this reply instead of the changes, and waits until the program
     * requests the complete list again.
     */
    synchronized void replyOnce(String reply) throws InterruptedException {
        int requestsBefore = completeListRequests;
        nextReply = reply;
        notifyAll();
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (completeListRequests == requestsBefore && System.nanoTime() < deadlineNanos) {
            wait(50);
        }
    }

    /**
     * Waits until a poll asks for changes after the latest index. The program has then processed
     * all changes.
     */
    synchronized void awaitLatestIndexPolled() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (highestPolledIndex < index && System.nanoTime() < deadlineNanos) {
            wait(50);
        }
    }

    synchronized String completeList() {
        return "{\"index\":"
                + index
                + ",\"snapshot\":true,\"endpoints\":["
                + String.join(",", entries.values())
                + "]}";
    }

    private synchronized String answerCompleteList() {
        completeListRequests++;
        notifyAll();
        return completeList();
    }

    private synchronized String answerPoll(int since) throws InterruptedException {
        highestPolledIndex = Math.max(highestPolledIndex, since);
        notifyAll();
        while (index <= since && nextReply == null) {
            wait();
        }
        if (nextReply != null) {
            String reply = nextReply;
            nextReply = null;
            return reply;
        }
        StringBuilder changed = new StringBuilder();
        changes.forEach(
                (changeIndex, entry) -> {
                    if (changeIndex > since) {
                        changed.append(changed.length() > 0 ? "," : "").append(entry);
                    }
                });
        return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + changed + "]}";
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                String head = TextCodec.readHead(in);
                if (head == null) {
                    return;
                }
                int sinceStart = head.indexOf("since=");
                String body =
                        sinceStart < 0
                                ? answerCompleteList()
                                : answerPoll(
                                        Integer.parseInt(
                                                head.substring(sinceStart + 6, head.indexOf('&'))));
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + Integer.toHexString(body.length())
                                                + "\r\n"
                                                + body
                                                + "\r\n0\r\n\r\n")
                                        .getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            // the program closed the connection
        }
    }

    /** Stops accepting connections and closes the open ones. */
    void shutDown() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
