package reeldeal.consensus;

import java.util.Arrays;

/**
 * Sends a snapshot in chunks to a follower whose next entry is already compacted and, on a
 * follower, assembles the chunks and installs the snapshot.
 */
final class SnapshotTransfer {
    private static final byte[] EMPTY = new byte[0];

    private final RaftContext context;
    private byte[] receivedData = EMPTY;
    private long receivedIndex = -1;
    private long receivedTerm;

    SnapshotTransfer(RaftContext context) {
        this.context = context;
    }

    /** Starts to send the log's latest snapshot to a follower. */
    void start(String node, PeerProgress peer) {
        peer.snapshot = context.log().snapshot();
        peer.snapshotOffset = 0;
        sendChunk(node, peer);
    }

    /**
     * Sends the chunk at the offset that the follower has confirmed, even if it was sent before.
     */
    void sendChunk(String node, PeerProgress peer) {
        Snapshot snapshot = peer.snapshot;
        byte[] data = snapshot.data();
        int end = Math.min(data.length, peer.snapshotOffset + context.settings().messageBytes());
        context.outbox()
                .send(
                        new Message.SnapshotChunk(
                                context.id(),
                                node,
                                context.term(),
                                new Message.SnapshotHeader(
                                        snapshot.index(),
                                        snapshot.term(),
                                        snapshot.configuration(),
                                        data.length),
                                peer.snapshotOffset,
                                Arrays.copyOfRange(data, peer.snapshotOffset, end)));
    }

    /** Handles a follower's report of the bytes received: sends the next chunk. */
    void onChunkResponse(Message.SnapshotChunkResponse message, PeerProgress peer) {
        if (peer.snapshot != null
                && peer.snapshot.index() == message.index()
                && message.receivedBytes() <= peer.snapshot.data().length) {
            peer.snapshotOffset = message.receivedBytes();
            sendChunk(message.from(), peer);
        }
    }

    /** Handles a chunk on a follower, and installs the snapshot once the last chunk has arrived. */
    void onChunk(Message.SnapshotChunk message) {
        Message.SnapshotHeader header = message.header();
        long commitIndex = context.log().commitIndex();
        if (header.index() <= commitIndex) {
            context.acknowledge(message.from(), commitIndex);
            return;
        }
        appendChunk(message);
        if (receivedData.length < header.totalBytes()) {
            context.outbox()
                    .send(
                            new Message.SnapshotChunkResponse(
                                    context.id(),
                                    message.from(),
                                    context.term(),
                                    header.index(),
                                    receivedData.length));
            return;
        }
        byte[] state = receivedData;
        receivedData = EMPTY;
        receivedIndex = -1;
        context.log()
                .install(
                        new Snapshot(
                                header.index(), header.indexTerm(), header.configuration(), state));
        context.membership().reload();
        context.acknowledge(message.from(), header.index());
    }

    private void appendChunk(Message.SnapshotChunk message) {
        long index = message.header().index();
        if (receivedIndex != index || receivedTerm != message.term() || message.offset() == 0) {
            receivedData = EMPTY;
            receivedIndex = index;
            receivedTerm = message.term();
        }
        if (message.offset() == receivedData.length) {
            int oldLength = receivedData.length;
            receivedData = Arrays.copyOf(receivedData, oldLength + message.data().length);
            System.arraycopy(message.data(), 0, receivedData, oldLength, message.data().length);
        }
    }
}
