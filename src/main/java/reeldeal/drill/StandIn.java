package reeldeal.drill;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A searcher on loopback that answers every part after a moment, and remembers when each came. */
public final class StandIn implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    /** When parts came, in System.nanoTime. */
    private final List<Long> came = new ArrayList<>();
    private final int serviceMs;
    private final Consumer<String> told;

    /** One that answers after so long. */
    public StandIn(int serviceMs) throws IOException {
        this(serviceMs, part -> { });
    }

    /** One that also tells the name of each part as it comes. */
    public StandIn(int serviceMs, Consumer<String> told) throws IOException {
        this.serviceMs = serviceMs;
        this.told = told;
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        });
    }

    /** What a thread does until its sockets end. */
    public interface Work {
        /** Does it. */
        void run() throws Exception;
    }

    /** Does it on a thread of its own, which an error ends. */
    public static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                return; // the socket's end
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** The names of a call's parts: a line whose last word is the text's length, then that text, with no line's end. */
    static List<String> names(String call) {
        List<String> names = new ArrayList<>();
        for (int at = 0; at < call.length();) {
            int end = call.indexOf('\n', at);
            String line = call.substring(at, end);
            names.add(line.substring(0, line.indexOf(' ')));
            at = end + 1 + Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
        }
        return names;
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        while (true) {
            String frame = Wire.frame(in);
            if (frame.equals("EOF")) {
                return;
            } else if (frame.charAt(0) == 'Q') {
                long now = System.nanoTime();
                List<String> names = names(frame.substring(2));
                synchronized (came) {
                    names.forEach(n -> came.add(now));
                }
                names.forEach(told);
                Thread.sleep(serviceMs);
                for (String name : names) {
                    out.write(Wire.frame("A " + name + " ok 1 -\nv"));
                }
            } else if (frame.charAt(0) == 'P' || frame.charAt(0) == 'L') {
                out.write(Wire.frame(frame.charAt(0) + " cpu=0.1,waiting=0"));
            }
        }
    }

    /** Where it listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** How long after this time the last part came, in ms, or below 0; parts of after {@code until} do not count. */
    public double lastAfterMs(long from, long until) {
        synchronized (came) {
            return came.stream().filter(t -> t < until).mapToDouble(t -> (t - from) / 1e6).max().orElse(-1);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
