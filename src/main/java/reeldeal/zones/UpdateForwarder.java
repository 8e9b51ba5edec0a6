package reeldeal.zones;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.dns.Rcode;
import reeldeal.store.StoreNode;

/**
 * Forwards updates from a node that does not accept writes to the leader. Each update is sent once
 * and unchanged, and the response is returned unchanged, including its signature. The client gets
 * the response of an update that has succeeded only once this node shows the update too: the leader
 * sends it after a heartbeat with the commit index, and this node holds it back until its copy is
 * current. If no response can be given in time, the update may or may not have been applied: the
 * client receives SERVFAIL, and the update is not sent again.
 */
final class UpdateForwarder {
    private static final char REQUEST = 'U';
    private static final char RESPONSE = 'u';
    private static final int TIMEOUT_MS = 3_000;
    private static final int CURRENT_POLL_MS = 5;

    /** The offset of the byte of a DNS message that contains the response code. */
    private static final int RCODE_OFFSET = 3;

    private static final int RCODE_MASK = 0x0f;

    /** The limit of open requests, and of the request ids remembered for each sending node. */
    private static final int MAX_REQUESTS = 1_000;

    /** Handles forwarded updates. */
    interface UpdateHandler {
        /**
         * Handles a forwarded message as if its client had sent it to this node.
         *
         * @param onResponse receives the response
         */
        void handle(byte[] message, InetSocketAddress from, Consumer<byte[]> onResponse);
    }

    private final StoreNode store;
    private final ScheduledExecutorService loop;
    private final Map<Long, Consumer<byte[]>> openRequests = new HashMap<>();
    private final Map<String, Set<Long>> receivedIds = new HashMap<>();
    private final List<Runnable> unconfirmedResponses = new ArrayList<>();
    private boolean confirming;
    // Starts above all ids that this node used before a restart.
    private long nextId = System.currentTimeMillis() << 16;

    UpdateForwarder(StoreNode store, ScheduledExecutorService loop, UpdateHandler handler) {
        this.store = store;
        this.loop = loop;
        store.onPeerMessage(REQUEST, (node, bytes) -> onRequest(node, bytes, handler));
        store.onPeerMessage(
                RESPONSE,
                (node, bytes) -> {
                    try (DataInputStream in =
                            new DataInputStream(new ByteArrayInputStream(bytes))) {
                        completeOnceShown(in.readLong(), in.readAllBytes());
                    } catch (IOException e) {
                        return; // not a response in this format
                    }
                });
        store.whenLeading(
                () -> {
                    unconfirmedResponses.clear();
                    confirming = false;
                });
    }

    /**
     * Forwards a message to the leader.
     *
     * @param onResponse receives the response, or null if none arrived in time
     * @return false if nothing was sent: no other node is known as the leader, it cannot be
     *     reached, or too many requests are open
     */
    boolean forward(byte[] message, InetSocketAddress from, Consumer<byte[]> onResponse) {
        String leader = store.leader();
        if (leader == null || leader.equals(store.node()) || openRequests.size() >= MAX_REQUESTS) {
            return false;
        }
        long id = nextId++;
        byte[] address = from.getAddress().getAddress();
        if (!store.sendToPeer(
                leader,
                REQUEST,
                encode(
                        out -> {
                            out.writeLong(id);
                            out.writeByte(address.length);
                            out.write(address);
                            out.writeShort(from.getPort());
                            out.write(message);
                        }))) {
            return false;
        }
        openRequests.put(id, onResponse);
        loop.schedule(() -> complete(id, null), TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return true;
    }

    private void completeOnceShown(long id, byte[] response) {
        if (store.isCurrent() || !isSuccess(response)) {
            complete(id, response);
        } else if (openRequests.containsKey(id)) {
            loop.schedule(
                    () -> completeOnceShown(id, response), CURRENT_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static boolean isSuccess(byte[] response) {
        return response.length > RCODE_OFFSET
                && (response[RCODE_OFFSET] & RCODE_MASK) == Rcode.NOERROR;
    }

    private void complete(long id, byte[] response) {
        Consumer<byte[]> onResponse = openRequests.remove(id);
        if (onResponse != null) {
            onResponse.accept(response);
        }
    }

    private void onRequest(String node, byte[] bytes, UpdateHandler handler) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            long id = in.readLong();
            InetAddress address = InetAddress.getByAddress(in.readNBytes(in.readUnsignedByte()));
            InetSocketAddress from = new InetSocketAddress(address, in.readUnsignedShort());
            byte[] message = in.readAllBytes();
            if (!store.acceptsWrites() || !markReceived(node, id)) {
                // A duplicate, or this node is no longer the leader: no response is sent, and the
                // request times out at the sender.
                return;
            }
            handler.handle(
                    message,
                    from,
                    response -> respondAfterHeartbeat(() -> respond(node, id, response)));
        } catch (IOException e) {
            return; // not a request in this format
        }
    }

    private void respond(String node, long id, byte[] response) {
        byte[] content =
                encode(
                        out -> {
                            out.writeLong(id);
                            out.write(response);
                        });
        store.sendToPeer(node, RESPONSE, content);
    }

    /**
     * Sends a response after a heartbeat round that a majority has confirmed. One round serves all
     * responses that wait when it begins. If this node stops leading, they are never sent.
     */
    private void respondAfterHeartbeat(Runnable response) {
        unconfirmedResponses.add(response);
        if (!confirming) {
            confirmNext();
        }
    }

    private void confirmNext() {
        confirming = !unconfirmedResponses.isEmpty();
        if (confirming) {
            List<Runnable> responses = List.copyOf(unconfirmedResponses);
            unconfirmedResponses.clear();
            store.confirmLeadership(
                    () -> {
                        responses.forEach(Runnable::run);
                        confirmNext();
                    });
        }
    }

    /** Records a request id; returns false if the same node has sent it before. */
    private boolean markReceived(String node, long id) {
        Set<Long> ids = receivedIds.computeIfAbsent(node, n -> new LinkedHashSet<>());
        boolean isNew = ids.add(id);
        if (ids.size() > MAX_REQUESTS) {
            ids.remove(ids.iterator().next());
        }
        return isNew;
    }

    private interface PayloadWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private static byte[] encode(PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            payload.writeTo(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not reached: writes to memory do not fail
        }
        return bytes.toByteArray();
    }
}
