package reeldeal.drill;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A searcher on loopback that answers every part after a moment. */
public final class StandIn implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(1, r -> {
        Thread thread = new Thread(r);
        thread.setDaemon(true);
        return thread;
    });
    private final int serviceMs;
    private final Consumer<String> told;

    /** One that answers after so long, and tells the name of each part as it comes. */
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
                List<String> names = names(frame.substring(2));
                names.forEach(told);
                // What comes meanwhile is read meanwhile: a part counts from when it came, not from when its turn did.
                later.schedule(() -> {
                    try {
                        for (String name : names) {
                            write(out, "A " + name + " ok 1 -\nv");
                        }
                    } catch (IOException e) {
                        return; // the broker has gone
                    }
                }, serviceMs, TimeUnit.MILLISECONDS);
            } else if (frame.charAt(0) == 'P' || frame.charAt(0) == 'L') {
                write(out, frame.charAt(0) + " cpu=0.1,waiting=0");
            }
        }
    }

    private static void write(OutputStream out, String frame) throws IOException {
        synchronized (out) {
            out.write(Wire.frame(frame));
        }
    }

    /** Where it listens. */
    public int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        later.shutdownNow();
    }
}
