package reeldeal.consensus;

/**
 * Sends a snapshot in chunks to a follower whose next entry is already compacted and, on a
 * follower, assembles the chunks and installs the snapshot.
 */
final class SnapshotTransfer {
    private final RaftContext context;
    private ReceivedSnapshotData receivedData = new ReceivedSnapshotData();
    private long receivedIndex = -1;
    private long receivedTerm;

    SnapshotTransfer(RaftContext context) {
        this.context = context;
    }

    /** Starts to send the log's latest snapshot to a follower. */
    void start(String node, PeerProgress peer) {
        peer.snapshot = context.log().snapshot();
        peer.snapshotReader = new SnapshotChunkReader(peer.snapshot.data());
        peer.snapshotOffset = 0;
        sendChunk(node, peer);
    }

    /**
     * Sends the chunk at the offset that the follower has confirmed, even if it was sent before.
     */
    void sendChunk(String node, PeerProgress peer) {
        Snapshot snapshot = peer.snapshot;
        byte[] chunk =
                peer.snapshotReader.read(peer.snapshotOffset, context.settings().messageBytes());
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
                                        snapshot.data().length()),
                                peer.snapshotOffset,
                                chunk));
    }

    /**
     * Ends the transfer of an earlier snapshot to a follower that has not answered for a whole
     * election timeout, so that a dead follower does not keep an old state in memory. Replication
     * starts a transfer of the latest snapshot once the follower answers again.
     */
    void releaseIfUnreachable(PeerProgress peer, long tick) {
        boolean isUnreachable = tick - peer.lastMessageTick > context.settings().electionTicks();
        boolean isEarlier =
                peer.snapshot != null && peer.snapshot.index() < context.log().snapshotIndex();
        if (isUnreachable && isEarlier) {
            peer.endSnapshotTransfer();
        }
    }

    /** Handles a follower's report of the bytes received: sends the next chunk. */
    void onChunkResponse(Message.SnapshotChunkResponse message, PeerProgress peer) {
        if (peer.snapshot != null
                && peer.snapshot.index() == message.index()
                && message.receivedBytes() <= peer.snapshot.data().length()) {
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
        if (receivedData.length() < header.totalBytes()) {
            context.outbox()
                    .send(
                            new Message.SnapshotChunkResponse(
                                    context.id(),
                                    message.from(),
                                    context.term(),
                                    header.index(),
                                    receivedData.length()));
            return;
        }
        SnapshotData state = receivedData;
        receivedData = new ReceivedSnapshotData();
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
            receivedData = new ReceivedSnapshotData();
            receivedIndex = index;
            receivedTerm = message.term();
        }
        if (message.offset() == receivedData.length()) {
            receivedData.append(message.data());
        }
    }
}
