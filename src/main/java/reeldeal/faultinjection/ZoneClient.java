package reeldeal.faultinjection;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import reeldeal.dns.Message;
import reeldeal.dns.MessageWriter;
import reeldeal.dns.Names;
import reeldeal.dns.RecordText;
import reeldeal.dns.Rr;

/**
 * A name server on loopback at the other end of a TCP connection: what is sent and read, with
 * several out where wanted.
 */
final class ZoneClient implements AutoCloseable {
    private static final int MAX_MESSAGE_BYTES = 65_000;
    private static final int TIMEOUT_MS = 120_000;

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    ZoneClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
    }

    /** For how long a read waits. */
    void setTimeoutMs(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(byte[] message) throws IOException {
        out.writeShort(message.length);
        out.write(message);
        out.flush();
    }

    /** The next message's bytes; a code other than 0 is an error. */
    byte[] read() throws IOException {
        byte[] answer = in.readNBytes(in.readUnsignedShort());
        if (answer.length < 12 || (answer[3] & 0xf) != 0) {
            throw new IOException(
                    "not done: "
                            + (answer.length < 12 ? "no message" : "code " + (answer[3] & 0xf)));
        }
        return answer;
    }

    /** A question. */
    static MessageWriter question(String name, int type) {
        return new MessageWriter(1, 0, MAX_MESSAGE_BYTES).question(name, type, Rr.IN);
    }

    /**
     * An update of these actions: {@code add NAME TTL TYPE DATA}, {@code del NAME [TYPE [DATA]]}.
     */
    static byte[] update(String origin, List<String> actions) {
        MessageWriter writer =
                new MessageWriter(1, Message.UPDATE << 11, MAX_MESSAGE_BYTES)
                        .question(origin, Rr.SOA, Rr.IN);
        try {
            for (String action : actions) {
                String[] words = action.trim().split(" ", 2);
                boolean add = words[0].equals("add");
                if (!add && !words[0].equals("del")) {
                    throw new IllegalArgumentException("expected add or del: " + action);
                }
                RecordText r = RecordText.parse(words[1], origin, add);
                writer.add(
                        2,
                        add
                                ? r.record(Rr.IN, r.ttl())
                                : r.record(r.data().length > 0 ? Rr.NONE : Rr.ANY, 0));
            }
        } catch (RecordText.Unreadable e) {
            throw new IllegalArgumentException(e.getMessage());
        }
        return writer.toBytes();
    }

    /** The serial of a zone. */
    long serial(String origin) throws IOException {
        send(question(origin, Rr.SOA).toBytes());
        try {
            byte[] soa = Message.parse(read()).answers().get(0).data();
            int serialOffset =
                    soa.length
                            - 20; // serial, refresh, retry, expire, minimum come last, four bytes
            // each
            return (soa[serialOffset] & 0xffL) << 24
                    | (soa[serialOffset + 1] & 0xff) << 16
                    | (soa[serialOffset + 2] & 0xff) << 8
                    | (soa[serialOffset + 3] & 0xff);
        } catch (Message.Malformed e) {
            throw new IOException("not a message: " + e.getMessage());
        }
    }

    /**
     * Bytes of the answer to a question, whose end is silence for half a second, and ms until the
     * last of them.
     */
    long[] stream(MessageWriter question) throws IOException {
        long from = System.nanoTime();
        long last = from;
        long bytes = 0;
        send(question.toBytes());
        setTimeoutMs(500);
        try {
            while (true) {
                bytes += 2 + read().length;
                last = System.nanoTime();
            }
        } catch (java.net.SocketTimeoutException e) {
            setTimeoutMs(TIMEOUT_MS);
            return new long[] {bytes, (last - from) / 1_000_000};
        }
    }

    /** The SOA record that an incremental transfer's question has, as its asker's serial. */
    static Rr soa(String origin, long serial) {
        byte[] name = Names.wire(origin);
        java.nio.ByteBuffer data =
                java.nio.ByteBuffer.allocate(2 * name.length + 20)
                        .put(name)
                        .put(name)
                        .putInt((int) serial);
        return new Rr(origin, Rr.SOA, Rr.IN, 0, data.array());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
