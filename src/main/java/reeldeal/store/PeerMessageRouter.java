package reeldeal.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reeldeal.consensus.Message;
import reeldeal.consensus.RaftNode;

/**
 * Dispatches the messages of other nodes and of operators' commands to their handlers. Belongs to
 * the event loop.
 */
final class PeerMessageRouter implements PeerConnections.Receiver {
    private final String node;
    private final RaftNode raft;
    private final RaftDriver driver;
    private final StoreStatus status;
    private final WriteProposer proposer;
    private final WriteForwarder forwarder;
    private final PeerConnections connections;
    private final Map<Character, BiConsumer<String, byte[]>> topics = new HashMap<>();
    private final Map<String, BiConsumer<String, AdminReply>> adminHandlers = new HashMap<>();

    /**
     * The handlers of consensus messages, forwarded writes, and the results of forwarded writes.
     */
    record Handlers(RaftDriver driver, WriteProposer proposer, WriteForwarder forwarder) {}

    PeerMessageRouter(
            String node,
            RaftNode raft,
            Handlers handlers,
            StoreStatus status,
            PeerConnections connections) {
        this.node = node;
        this.raft = raft;
        this.driver = handlers.driver();
        this.proposer = handlers.proposer();
        this.forwarder = handlers.forwarder();
        this.status = status;
        this.connections = connections;
    }

    void onTopic(char topic, BiConsumer<String, byte[]> handler) {
        topics.put(topic, handler);
    }

    void onAdminRequest(String requestName, BiConsumer<String, AdminReply> handler) {
        adminHandlers.put(requestName, handler);
    }

    @Override
    public void onConsensusMessage(Message message) {
        driver.receive(message);
    }

    @Override
    public void onPeerMessage(PeerMessage message, Consumer<PeerMessage> reply) {
        if (status.isClosed()) {
            return;
        }
        if (status.isFrozen() && !(message instanceof PeerMessage.AdminRequest)) {
            return;
        }
        if (message instanceof PeerMessage.Forward forward) {
            if (isFromPeerToThisNode(forward.to(), forward.from())) {
                onForward(forward);
            }
        } else if (message instanceof PeerMessage.Forwarded forwarded) {
            if (forwarded.to().equals(node)) {
                forwarder.onForwarded(forwarded);
            }
        } else if (message instanceof PeerMessage.TopicMessage topicMessage) {
            if (isFromPeerToThisNode(topicMessage.to(), topicMessage.from())) {
                deliver(topicMessage.from(), topicMessage.bytes());
            }
        } else if (message instanceof PeerMessage.AdminRequest request) {
            onAdminRequest(request, reply);
        }
    }

    private boolean isFromPeerToThisNode(String to, String from) {
        return to.equals(node) && connections.hasPeer(from);
    }

    private void onForward(PeerMessage.Forward forward) {
        Consumer<StoreNode.Result> callback = result -> answerForward(forward, result);
        KeyValueState.Command command;
        try {
            command = KeyValueCodec.decode(forward.command());
        } catch (IOException | KeyValueState.UnsupportedFormatException e) {
            callback.accept(
                    new StoreNode.Rejected(
                            "a command that this node cannot read: " + e.getMessage()));
            return;
        }
        proposer.propose(command, callback);
    }

    private void answerForward(PeerMessage.Forward forward, StoreNode.Result result) {
        if (result instanceof StoreNode.Committed committed) {
            // The node that forwarded the write waits until it has applied the entry itself, so it
            // gets the entry first.
            raft.prioritizeCommitNotification(forward.from(), committed.version());
        }
        connections.send(
                forward.from(),
                new PeerMessage.Forwarded(node, forward.from(), forward.id(), result));
    }

    /**
     * Delivers the content of a topic message to the topic's handler; the first byte is the topic.
     * A message on a topic without a handler is dropped.
     */
    void deliver(String from, byte[] bytes) {
        BiConsumer<String, byte[]> handler = bytes.length == 0 ? null : topics.get((char) bytes[0]);
        if (handler != null) {
            handler.accept(from, Arrays.copyOfRange(bytes, 1, bytes.length));
        }
    }

    private void onAdminRequest(PeerMessage.AdminRequest request, Consumer<PeerMessage> reply) {
        String requestName = request.text().split(" ", 2)[0];
        BiConsumer<String, AdminReply> handler = adminHandlers.get(requestName);
        AdminReply adminReply =
                new AdminReply(
                        answer ->
                                reply.accept(
                                        new PeerMessage.AdminResponse(
                                                request.id(),
                                                answer.ok(),
                                                answer.text(),
                                                answer.leader())),
                        this::redirection);
        if (handler == null) {
            adminReply.reject("this node answers no such question: " + requestName);
        } else {
            handler.accept(request.text(), adminReply);
        }
    }

    private AdminAnswer redirection() {
        String leader = raft.leader();
        if (leader == null) {
            return new AdminAnswer(false, "no node leads: no majority is in reach", "");
        }
        InetSocketAddress address = connections.address(leader);
        return new AdminAnswer(
                false,
                "node " + leader + " leads, not " + node,
                address == null ? "" : address.getHostString() + ":" + address.getPort());
    }
}
