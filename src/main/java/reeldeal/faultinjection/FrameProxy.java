package reeldeal.faultinjection;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy between two nodes of the store. It reads frames by their length, so that single
 * frames can be dropped, duplicated, or delayed while later frames overtake them. The opposite
 * direction, which carries only a greeting, is forwarded unchanged.
 */
final class FrameProxy implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final int MAX_DELAY_MS = 400;

    /** The percentages of frames to drop, delay and duplicate. They may be changed at any time. */
    volatile int dropPct;

    volatile int delayPct;
    volatile int duplicatePct;
    final AtomicLong passed = new AtomicLong();
    final AtomicLong dropped = new AtomicLong();
    final AtomicLong delayed = new AtomicLong();
    final AtomicLong duplicated = new AtomicLong();

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    private final SplittableRandom random;
    private volatile boolean partitioned;

    /** Starts a proxy that forwards connections to a port on loopback. */
    FrameProxy(int targetPort, long seed) throws IOException {
        random = new SplittableRandom(seed);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket in = server.accept();
                        if (partitioned) {
                            in.close();
                            continue;
                        }
                        try {
                            Socket out = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                            in.setTcpNoDelay(true);
                            out.setTcpNoDelay(true);
                            openSockets.add(in);
                            openSockets.add(out);
                            DaemonThreads.start(() -> forwardFrames(in, out));
                            DaemonThreads.start(() -> forwardBytes(out, in));
                        } catch (IOException e) {
                            in.close(); // the target node is down
                        }
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    private record DelayedFrame(byte[] frame, long dueNanos) implements Delayed {
        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(dueNanos, ((DelayedFrame) other).dueNanos);
        }
    }

    private void forwardFrames(Socket from, Socket to) throws IOException {
        DelayQueue<DelayedFrame> delayQueue = new DelayQueue<>();
        DataOutputStream out = new DataOutputStream(to.getOutputStream());
        DaemonThreads.start(
                () -> {
                    while (!to.isClosed()) {
                        DelayedFrame due = delayQueue.poll(200, TimeUnit.MILLISECONDS);
                        if (due != null) {
                            write(out, due.frame());
                        }
                    }
                });
        try (from;
                to) {
            DataInputStream in = new DataInputStream(from.getInputStream());
            while (true) {
                int length = in.readInt();
                if (length < 1 || length > MAX_FRAME_BYTES) {
                    throw new IOException(
                            "frame length is not in 1.." + MAX_FRAME_BYTES + ": " + length);
                }
                byte[] frame = in.readNBytes(length);
                int dropRoll = randomPercent();
                if (dropRoll < dropPct) {
                    dropped.incrementAndGet();
                    continue;
                }
                passed.incrementAndGet();
                if (randomPercent() < delayPct) {
                    delayed.incrementAndGet();
                    delayQueue.add(
                            new DelayedFrame(
                                    frame,
                                    System.nanoTime()
                                            + (1 + randomPercent() * MAX_DELAY_MS / 100)
                                                    * 1_000_000L));
                } else {
                    write(out, frame);
                }
                if (randomPercent() < duplicatePct) {
                    duplicated.incrementAndGet();
                    delayQueue.add(
                            new DelayedFrame(
                                    frame,
                                    System.nanoTime()
                                            + (1 + randomPercent() * MAX_DELAY_MS / 100)
                                                    * 1_000_000L));
                }
            }
        } finally {
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    private int randomPercent() {
        synchronized (random) {
            return random.nextInt(100);
        }
    }

    private static void write(DataOutputStream out, byte[] frame) throws IOException {
        synchronized (out) {
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
        }
    }

    private static void forwardBytes(Socket from, Socket to) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[4_096];
            for (int count = in.read(bytes); count > 0; count = in.read(bytes)) {
                out.write(bytes, 0, count);
            }
        }
    }

    /** Closes all connections and accepts no more, or accepts connections again. */
    void setPartitioned(boolean partition) {
        partitioned = partition;
        if (partition) {
            List<Socket> closedSockets = new ArrayList<>();
            for (Socket socket : openSockets) {
                try {
                    socket.close();
                } catch (IOException e) {
                    closedSockets.add(socket); // the peer has closed the connection already
                }
            }
            openSockets.removeAll(closedSockets);
        }
    }

    @Override
    public void close() throws IOException {
        setPartitioned(true);
        server.close();
    }
}
