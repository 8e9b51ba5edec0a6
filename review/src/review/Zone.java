package review;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;

/** Dynamic updates of a zone (RFC 2136), unsigned, over TCP. */
final class Zone {
    private static final int UPDATE_FLAGS = 5 << 11;
    private static final int SOA = 6;
    private static final int SRV = 33;
    private static final int IN = 1;
    private static final int NONE = 254;
    private static final int TIMEOUT_MS = 5_000;

    private Zone() {}

    /** Takes a searcher out of its set by deleting its SRV record; returns the response code. */
    static int removeSearcher(int dnsPort, String origin, String host, int port) throws IOException {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(target);
        data.writeShort(0);
        data.writeShort(0);
        data.writeShort(port);
        name(data, host + "." + origin);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeShort(4711);
        out.writeShort(UPDATE_FLAGS);
        out.writeShort(1);
        out.writeShort(0);
        out.writeShort(1);
        out.writeShort(0);
        name(out, origin);
        out.writeShort(SOA);
        out.writeShort(IN);
        name(out, "_searcher._tcp." + origin);
        out.writeShort(SRV);
        out.writeShort(NONE);
        out.writeInt(0);
        out.writeShort(target.size());
        out.write(target.toByteArray());
        try (Socket socket = Wire.connect(dnsPort)) {
            socket.setSoTimeout(TIMEOUT_MS);
            DataOutputStream to = new DataOutputStream(socket.getOutputStream());
            to.writeShort(bytes.size());
            to.write(bytes.toByteArray());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] answer = in.readNBytes(in.readUnsignedShort());
            return answer[3] & 0xf;
        }
    }

    private static void name(DataOutputStream out, String name) throws IOException {
        for (String label : name.split("\\.")) {
            out.writeByte(label.length());
            out.writeBytes(label);
        }
        out.writeByte(0);
    }
}
