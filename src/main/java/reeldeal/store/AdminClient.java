package reeldeal.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Sends one operator's request to a running node, and on to the leader if only that can answer.
 * Blocks; may be used on any thread but an event loop.
 */
public final class AdminClient {
    private static final int MAX_REDIRECTS = 3;
    private static final int REQUEST_ID = 1;

    private AdminClient() {}

    /**
     * The answer to a request.
     *
     * @param timeoutMs for each connection and each read
     * @throws IOException if the node is not reachable, is of another group, or does not answer in
     *     time
     */
    public static StoreNode.AdminAnswer send(
            InetSocketAddress node, String group, String request, int timeoutMs)
            throws IOException {
        InetSocketAddress address = node;
        StoreNode.AdminAnswer answer = null;
        for (int i = 0; i < MAX_REDIRECTS; i++) {
            answer = sendOnce(address, group, request, timeoutMs);
            if (answer.leader().isEmpty()) {
                return answer;
            }
            int colon = answer.leader().lastIndexOf(':');
            address =
                    new InetSocketAddress(
                            answer.leader().substring(0, colon),
                            Integer.parseInt(answer.leader().substring(colon + 1)));
        }
        return answer;
    }

    private static StoreNode.AdminAnswer sendOnce(
            InetSocketAddress node, String group, String request, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(node, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] frame =
                    PeerMessageCodec.write(
                            group, new PeerMessage.AdminRequest(REQUEST_ID, request));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
            return readAnswer(new DataInputStream(socket.getInputStream()), group);
        }
    }

    /** Reads up to the answer; the node announces its level before. */
    private static StoreNode.AdminAnswer readAnswer(DataInputStream in, String group)
            throws IOException {
        while (true) {
            int length = in.readInt();
            if (length < 1 || length > PeerConnections.MAX_FRAME_BYTES) {
                throw new IOException("impossible length " + length);
            }
            if (PeerMessageCodec.read(group, in.readNBytes(length))
                    instanceof PeerMessage.AdminResponse response) {
                return new StoreNode.AdminAnswer(response.ok(), response.text(), response.leader());
            }
        }
    }
}
