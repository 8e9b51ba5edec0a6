package reeldeal.serve;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A searcher on loopback that answers every part after a moment, and remembers when each came. */
final class StandIn implements AutoCloseable {
    private static final Pattern PART = Pattern.compile("(?m)^([!-~]+) [0-9]+ d=[^ ]* ([0-9]+)$");

    final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    /** When parts came, in System.nanoTime. */
    final List<Long> came = new ArrayList<>();
    private final int serviceMs;

    StandIn(int serviceMs) throws IOException {
        this.serviceMs = serviceMs;
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        });
    }

    /** What a thread does until its sockets end. */
    interface Work {
        void run() throws Exception;
    }

    static void daemon(Work work) {
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

    private void serve(Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        while (true) {
            String frame = Wire.frame(in);
            if (frame.equals("EOF")) {
                return;
            } else if (frame.charAt(0) == 'Q') {
                long now = System.nanoTime();
                Matcher parts = PART.matcher(frame.substring(2));
                List<String> names = new ArrayList<>();
                while (parts.find()) {
                    names.add(parts.group(1));
                }
                synchronized (came) {
                    names.forEach(n -> came.add(now));
                }
                Thread.sleep(serviceMs);
                for (String name : names) {
                    out.write(Wire.frame("A " + name + " ok 1 -\nv"));
                }
            } else if (frame.charAt(0) == 'P' || frame.charAt(0) == 'L') {
                out.write(Wire.frame(frame.charAt(0) + " cpu=0.1,waiting=0"));
            }
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** How long after this time the last part came, in ms, or below 0; parts of after {@code until} do not count. */
    double lastAfterMs(long from, long until) {
        synchronized (came) {
            return came.stream().filter(t -> t < until).mapToDouble(t -> (t - from) / 1e6).max().orElse(-1);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
