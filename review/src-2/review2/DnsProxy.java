package review2;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A way over TCP to a name server. It can be cut, at once or when a transfer is asked for. */
final class DnsProxy {
    private static final int IXFR = 251;
    private static final int HEADER_BYTES = 12;

    final int port;
    private final Lab lab;
    private final String name;
    private final int target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private volatile boolean cut;
    private volatile boolean cutAtTransfer;

    DnsProxy(Lab lab, String name, int target) throws IOException {
        this.lab = lab;
        this.name = name;
        this.target = target;
        port = lab.freePort();
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    boolean isCut() {
        return cut;
    }

    /** Resets the open connections and refuses new ones. */
    void cut() {
        cut = true;
        lab.note(name + " is cut off");
        try {
            server.close();
        } catch (IOException e) {
            // It is closed.
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** Cuts the way as soon as an incremental transfer is asked for, before it is answered. */
    void cutAtTransfer() {
        cutAtTransfer = true;
    }

    private void accept() {
        while (!cut) {
            try {
                Socket client = server.accept();
                Socket upstream = new Socket("127.0.0.1", target);
                sockets.add(client);
                sockets.add(upstream);
                start(() -> requests(client, upstream));
                start(() -> answers(upstream, client));
            } catch (IOException e) {
                if (cut) {
                    return;
                }
            }
        }
    }

    private void requests(Socket client, Socket upstream) {
        try (client;
                upstream) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            DataOutputStream out = new DataOutputStream(upstream.getOutputStream());
            while (true) {
                byte[] message = new byte[in.readUnsignedShort()];
                in.readFully(message);
                int type = questionType(message);
                lab.note(name + " is asked for type " + type);
                if (type == IXFR && cutAtTransfer) {
                    cut();
                    return;
                }
                out.writeShort(message.length);
                out.write(message);
                out.flush();
            }
        } catch (IOException e) {
            // One side closed.
        }
    }

    private static int questionType(byte[] message) {
        int at = HEADER_BYTES;
        while (message[at] != 0) {
            at += 1 + (message[at] & 0xff);
        }
        return (message[at + 1] & 0xff) << 8 | message[at + 2] & 0xff;
    }

    private static void answers(Socket upstream, Socket client) {
        try (upstream;
                client) {
            InputStream in = upstream.getInputStream();
            OutputStream out = client.getOutputStream();
            byte[] buffer = new byte[8192];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                out.write(buffer, 0, read);
                out.flush();
            }
        } catch (IOException e) {
            // One side closed.
        }
    }
}
