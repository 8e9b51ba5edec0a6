package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A proxy on the way from one daemon to another. A link that is cut off says nothing: what comes is
 * dropped, open connections stay open and silent, and new ones get no answer. It is not healed.
 */
final class Link {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private volatile boolean cut;

    Link(int targetPort) throws IOException {
        Run.thread(
                () -> {
                    while (true) {
                        Socket near = server.accept();
                        Run.thread(() -> join(near, targetPort));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    void cut() {
        cut = true;
    }

    private void join(Socket near, int targetPort) throws IOException {
        near.setTcpNoDelay(true);
        while (cut) {
            if (near.getInputStream().read() < 0) {
                near.close();
                return;
            }
        }
        try {
            Socket far = Wire.connect(targetPort);
            Run.thread(() -> copy(near, far));
            copy(far, near);
        } catch (IOException e) {
            near.close(); // the other daemon does not listen
        }
    }

    private void copy(Socket from, Socket to) throws IOException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16_384];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (!cut) {
                    out.write(bytes, 0, count);
                }
            }
        } finally {
            if (!cut) {
                from.close();
                to.close();
            }
        }
    }
}
