package reeldeal.store;

/**
 * A message to a node that is not part of consensus; other nodes and operators' commands send them.
 * A node announces its protocol level on every connection that it accepts. A program of level 1
 * neither announces a level nor reads these messages, so a node sends them only to nodes that
 * announced level 2 or higher.
 */
sealed interface PeerMessage {
    /** The highest level of messages and commands that this program supports. */
    int LEVEL = 2;

    /** Announces the level of a node on a connection that it accepted. */
    record Hello(String node, int level) implements PeerMessage {}

    /** A write that a node forwards to the leader; its result carries the same {@code id}. */
    record Forward(String from, String to, long id, byte[] command) implements PeerMessage {}

    /** The result of a forwarded write, sent back to the node that forwarded it. */
    record Forwarded(String from, String to, long id, StoreNode.Result result)
            implements PeerMessage {}

    /**
     * A message between users of the store, which does not interpret it: one byte for the topic,
     * then the content.
     */
    record TopicMessage(String from, String to, byte[] bytes) implements PeerMessage {}

    /** An operator's request, which is answered on the same connection. */
    record AdminRequest(long id, String text) implements PeerMessage {}

    /**
     * The answer to an operator's request. If {@code ok} is false, the text is the reason, and
     * {@code leader} is the address to send the request to instead, or "".
     */
    record AdminResponse(long id, boolean ok, String text, String leader) implements PeerMessage {}
}
