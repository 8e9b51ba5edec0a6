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
 * A DNS client with one TCP connection to a name server on loopback. Several messages may be sent
 * before their answers are read.
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

    /** Sets how long a read waits for an answer, ms. */
    void setTimeoutMs(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(byte[] message) throws IOException {
        out.writeShort(message.length);
        out.write(message);
        out.flush();
    }

    /**
     * Reads the next message.
     *
     * @throws IOException if it is shorter than a DNS header or its response code is not 0
     */
    byte[] read() throws IOException {
        byte[] answer = in.readNBytes(in.readUnsignedShort());
        if (answer.length < 12 || (answer[3] & 0xf) != 0) {
            throw new IOException(
                    "unexpected answer of the name server: "
                            + (answer.length < 12
                                    ? "shorter than a DNS header"
                                    : "response code " + (answer[3] & 0xf)));
        }
        return answer;
    }

    /** Returns a query for the records of a type at a name. */
    static MessageWriter question(String name, int type) {
        return new MessageWriter(1, 0, MAX_MESSAGE_BYTES).question(name, type, Rr.IN);
    }

    /**
     * Returns an update of a zone with actions of the form {@code add NAME TTL TYPE DATA} or {@code
     * del NAME [TYPE [DATA]]}.
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
                    throw new IllegalArgumentException(
                            "update action: expected add or del, found " + action);
                }
                RecordText record = RecordText.parse(words[1], origin, add);
                writer.add(
                        2,
                        add
                                ? record.record(Rr.IN, record.ttl())
                                : record.record(record.data().length > 0 ? Rr.NONE : Rr.ANY, 0));
            }
        } catch (RecordText.InvalidRecord e) {
            throw new IllegalArgumentException(e.getMessage());
        }
        return writer.toBytes();
    }

    /** Queries the serial of a zone. */
    long querySerial(String origin) throws IOException {
        send(question(origin, Rr.SOA).toBytes());
        try {
            byte[] soa = Message.parse(read()).answers().get(0).data();
            // Serial, refresh, retry, expire and minimum come last, with four bytes each.
            int serialOffset = soa.length - 20;
            return (soa[serialOffset] & 0xffL) << 24
                    | (soa[serialOffset + 1] & 0xff) << 16
                    | (soa[serialOffset + 2] & 0xff) << 8
                    | (soa[serialOffset + 3] & 0xff);
        } catch (Message.Malformed e) {
            throw new IOException("malformed DNS message: " + e.getMessage());
        }
    }

    /**
     * Sends a question and reads its answer until nothing more arrives for half a second. Returns
     * the number of bytes and the ms until the last message.
     */
    long[] measureTransfer(MessageWriter question) throws IOException {
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

    /**
     * Returns the SOA record that states the client's serial in a query for an incremental
     * transfer.
     */
    static Rr soaWithSerial(String origin, long serial) {
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
