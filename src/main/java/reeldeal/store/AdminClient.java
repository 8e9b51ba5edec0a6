package reeldeal.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Sends an operator's request to a running node, and follows its redirections to the leader. The
 * calls block, so they must not be made on an event loop.
 */
public final class AdminClient {
    private static final int MAX_REDIRECTS = 3;
    private static final int REQUEST_ID = 1;

    private AdminClient() {}

    /**
     * Returns the answer to a request, from the node itself or from the leader that it names.
     *
     * @param timeoutMs the time limit of each connection attempt and of each read
     * @throws IOException if the node is not reachable, belongs to another group, or does not
     *     answer in time
     */
    public static AdminAnswer send(
            InetSocketAddress node, String group, String request, int timeoutMs)
            throws IOException {
        InetSocketAddress address = node;
        AdminAnswer answer = null;
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

    private static AdminAnswer sendOnce(
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

    /** Reads frames up to the answer, and skips the node's level, which it announces first. */
    private static AdminAnswer readAnswer(DataInputStream in, String group) throws IOException {
        while (true) {
            int length = in.readInt();
            if (length < 1 || length > PeerConnections.MAX_FRAME_BYTES) {
                throw new IOException(
                        "expected a frame length from 1 to "
                                + PeerConnections.MAX_FRAME_BYTES
                                + " in the answer, found "
                                + length);
            }
            if (PeerMessageCodec.read(group, in.readNBytes(length))
                    instanceof PeerMessage.AdminResponse response) {
                return new AdminAnswer(response.ok(), response.text(), response.leader());
            }
        }
    }
}
