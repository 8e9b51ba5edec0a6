package review2;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A searcher in the platform's frame protocol with four workers. A draining one completes what it
 * holds and answers new parts with {@code busy}.
 */
final class FrameSearcher {
    /** A part that arrived, and whether it was accepted. */
    record Arrival(double atMs, String part, boolean accepted) {}

    final String name;
    final int cell;
    final int port;
    final List<Arrival> arrivals = new ArrayList<>();
    volatile boolean draining;
    private final Lab lab;
    private final int serviceMs;
    private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    private final ExecutorService workers = Executors.newFixedThreadPool(4, FrameSearcher::daemon);

    FrameSearcher(Lab lab, String name, int cell, int serviceMs) throws IOException {
        this.lab = lab;
        this.name = name;
        this.cell = cell;
        this.serviceMs = serviceMs;
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
        Thread thread = new Thread(task, "searcher");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the number of parts that arrived between two times, in ms of the run. */
    synchronized int arrivedBetween(double fromMs, double toMs) {
        int count = 0;
        for (Arrival arrival : arrivals) {
            count += arrival.atMs() >= fromMs && arrival.atMs() < toMs ? 1 : 0;
        }
        return count;
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (true) {
                int length = in.readInt();
                byte[] frame = new byte[length];
                in.readFully(frame);
                double now = lab.now();
                switch (frame[0]) {
                    case 'Q' -> onCall(frame, out, now);
                    case 'X' -> cancelled.add(
                            new String(frame, 1, length - 1, StandardCharsets.UTF_8));
                    case 'P' -> write(out, "Pok");
                    case 'L' -> write(out, "Lcpu=0.2,waiting=0");
                    default -> throw new IOException("unknown frame");
                }
            }
        } catch (EOFException e) {
            // The broker closed the connection.
        } catch (IOException e) {
            // The connection broke.
        }
    }

    private void onCall(byte[] frame, DataOutputStream out, double now) throws IOException {
        int at = 1;
        while (at < frame.length) {
            int end = at;
            while (frame[end] != '\n') {
                end++;
            }
            String line = new String(frame, at, end - at, StandardCharsets.UTF_8);
            String[] fields = line.split(" ");
            int textLength = Integer.parseInt(fields[fields.length - 1]);
            String text = new String(frame, end + 1, textLength, StandardCharsets.UTF_8);
            at = end + 1 + textLength;
            onPart(fields[0], Integer.parseInt(fields[1]), text, out, now);
        }
    }

    private void onPart(String id, int shard, String text, DataOutputStream out, double now)
            throws IOException {
        boolean accepted = !draining;
        synchronized (this) {
            arrivals.add(new Arrival(now, id, accepted));
        }
        lab.note(name + (accepted ? " takes " : " turns away ") + id);
        if (!accepted) {
            write(out, "A" + id + " busy - -\n");
            return;
        }
        workers.execute(
                () -> {
                    Lab.sleep(serviceMs);
                    try {
                        int score = (id + shard).hashCode() & 0xffff;
                        String value = Integer.toHexString((text + shard).hashCode());
                        write(out, "A" + id + " ok " + score + " cpu=0.2,waiting=0\n" + value);
                    } catch (IOException e) {
                        // The broker gave the part up.
                    }
                });
    }

    private static void write(DataOutputStream out, String frame) throws IOException {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        synchronized (out) {
            out.writeInt(bytes.length);
            out.write(bytes);
            out.flush();
        }
    }
}
