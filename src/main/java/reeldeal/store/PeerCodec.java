package reeldeal.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Message;

/**
 * Encodes and decodes consensus messages: the group's name, a letter for the type, the sender,
 * receiver and term, then the fields of the type. Every length is checked against the number of
 * bytes that follow.
 */
final class PeerCodec {
    private static final char VOTE_REQUEST = 'v';
    private static final char VOTE_RESPONSE = 'V';
    private static final char APPEND_REQUEST = 'a';
    private static final char APPEND_RESPONSE = 'A';
    private static final char HEARTBEAT = 'h';
    private static final char HEARTBEAT_RESPONSE = 'H';
    private static final char SNAPSHOT_CHUNK = 'p';
    private static final char SNAPSHOT_CHUNK_RESPONSE = 'P';
    private static final char TIMEOUT_NOW = 's';

    private static final int TYPICAL_BYTES = 64;

    private PeerCodec() {}

    /** The sender, receiver and term of a message that is being read. */
    private record Envelope(String from, String to, long term) {}

    static byte[] write(String group, Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeUTF(group);
            if (message instanceof Message.VoteRequest request) {
                writeVoteRequest(out, request);
            } else if (message instanceof Message.VoteResponse response) {
                writeVoteResponse(out, response);
            } else if (message instanceof Message.AppendRequest request) {
                writeAppendRequest(out, request);
            } else if (message instanceof Message.AppendResponse response) {
                writeAppendResponse(out, response);
            } else if (message instanceof Message.Heartbeat heartbeat) {
                writeHeartbeat(out, heartbeat);
            } else if (message instanceof Message.HeartbeatResponse response) {
                writeEnvelope(out, HEARTBEAT_RESPONSE, response);
                out.writeLong(response.round());
            } else if (message instanceof Message.SnapshotChunk chunk) {
                writeSnapshotChunk(out, chunk);
            } else if (message instanceof Message.SnapshotChunkResponse response) {
                writeEnvelope(out, SNAPSHOT_CHUNK_RESPONSE, response);
                out.writeLong(response.index());
                out.writeInt(response.receivedBytes());
            } else if (message instanceof Message.TimeoutNow) {
                writeEnvelope(out, TIMEOUT_NOW, message);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a ByteArrayOutputStream does not throw
        }
        return bytes.toByteArray();
    }

    private static void writeEnvelope(DataOutputStream out, char type, Message message)
            throws IOException {
        out.writeByte(type);
        out.writeUTF(message.from());
        out.writeUTF(message.to());
        out.writeLong(message.term());
    }

    private static void writeVoteRequest(DataOutputStream out, Message.VoteRequest request)
            throws IOException {
        writeEnvelope(out, VOTE_REQUEST, request);
        out.writeLong(request.lastLogIndex());
        out.writeLong(request.lastLogTerm());
        out.writeBoolean(request.preVote());
        out.writeBoolean(request.leadershipTransfer());
    }

    private static void writeVoteResponse(DataOutputStream out, Message.VoteResponse response)
            throws IOException {
        writeEnvelope(out, VOTE_RESPONSE, response);
        out.writeBoolean(response.preVote());
        out.writeBoolean(response.granted());
    }

    private static void writeAppendRequest(DataOutputStream out, Message.AppendRequest request)
            throws IOException {
        writeEnvelope(out, APPEND_REQUEST, request);
        out.writeLong(request.prevLogIndex());
        out.writeLong(request.prevLogTerm());
        out.writeLong(request.leaderCommit());
        out.writeInt(request.entries().size());
        for (Entry entry : request.entries()) {
            out.writeLong(entry.index());
            out.writeLong(entry.term());
            writeConfiguration(out, entry.configuration());
            ByteBlocks.write(out, entry.data());
        }
    }

    private static void writeAppendResponse(DataOutputStream out, Message.AppendResponse response)
            throws IOException {
        writeEnvelope(out, APPEND_RESPONSE, response);
        out.writeBoolean(response.success());
        out.writeLong(response.index());
        out.writeLong(response.hintIndex());
        out.writeLong(response.hintTerm());
    }

    private static void writeHeartbeat(DataOutputStream out, Message.Heartbeat heartbeat)
            throws IOException {
        writeEnvelope(out, HEARTBEAT, heartbeat);
        out.writeLong(heartbeat.commit());
        out.writeLong(heartbeat.round());
        out.writeLong(heartbeat.leaderCommit());
    }

    private static void writeSnapshotChunk(DataOutputStream out, Message.SnapshotChunk chunk)
            throws IOException {
        writeEnvelope(out, SNAPSHOT_CHUNK, chunk);
        out.writeLong(chunk.header().index());
        out.writeLong(chunk.header().indexTerm());
        writeConfiguration(out, chunk.header().configuration());
        out.writeInt(chunk.offset());
        ByteBlocks.write(out, chunk.data());
        out.writeInt(chunk.header().totalBytes());
    }

    private static void writeConfiguration(DataOutputStream out, GroupConfiguration configuration)
            throws IOException {
        out.writeBoolean(configuration != null);
        if (configuration != null) {
            configuration.writeTo(out);
        }
    }

    /**
     * Decodes a consensus message; throws IOException if the bytes are malformed or come from a
     * node of another group.
     */
    static Message read(String group, byte[] frame) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(frame));
        PeerMessageCodec.checkGroup(group, in);
        char type = (char) in.readByte();
        Envelope envelope = new Envelope(in.readUTF(), in.readUTF(), in.readLong());
        Message message =
                switch (type) {
                    case VOTE_REQUEST -> readVoteRequest(in, envelope);
                    case VOTE_RESPONSE -> readVoteResponse(in, envelope);
                    case APPEND_REQUEST -> readAppendRequest(in, envelope);
                    case APPEND_RESPONSE -> readAppendResponse(in, envelope);
                    case HEARTBEAT -> readHeartbeat(in, envelope);
                    case HEARTBEAT_RESPONSE ->
                            new Message.HeartbeatResponse(
                                    envelope.from(), envelope.to(), envelope.term(), in.readLong());
                    case SNAPSHOT_CHUNK -> readSnapshotChunk(in, envelope);
                    case SNAPSHOT_CHUNK_RESPONSE ->
                            new Message.SnapshotChunkResponse(
                                    envelope.from(),
                                    envelope.to(),
                                    envelope.term(),
                                    in.readLong(),
                                    in.readInt());
                    case TIMEOUT_NOW ->
                            new Message.TimeoutNow(envelope.from(), envelope.to(), envelope.term());
                    default ->
                            throw new IOException(
                                    "unknown type of consensus message: " + (int) type);
                };
        PeerMessageCodec.checkEnd(in);
        return message;
    }

    private static Message readVoteRequest(DataInputStream in, Envelope envelope)
            throws IOException {
        return new Message.VoteRequest(
                envelope.from(),
                envelope.to(),
                envelope.term(),
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean());
    }

    private static Message readVoteResponse(DataInputStream in, Envelope envelope)
            throws IOException {
        return new Message.VoteResponse(
                envelope.from(),
                envelope.to(),
                envelope.term(),
                in.readBoolean(),
                in.readBoolean());
    }

    private static Message readAppendRequest(DataInputStream in, Envelope envelope)
            throws IOException {
        long prevLogIndex = in.readLong();
        long prevLogTerm = in.readLong();
        long leaderCommit = in.readLong();
        List<Entry> entries = new ArrayList<>();
        for (int count = ByteBlocks.readCount(in); count > 0; count--) {
            long index = in.readLong();
            long term = in.readLong();
            GroupConfiguration configuration = readConfiguration(in);
            entries.add(new Entry(index, term, ByteBlocks.read(in), configuration));
        }
        return new Message.AppendRequest(
                envelope.from(),
                envelope.to(),
                envelope.term(),
                prevLogIndex,
                prevLogTerm,
                entries,
                leaderCommit);
    }

    private static Message readAppendResponse(DataInputStream in, Envelope envelope)
            throws IOException {
        return new Message.AppendResponse(
                envelope.from(),
                envelope.to(),
                envelope.term(),
                in.readBoolean(),
                in.readLong(),
                in.readLong(),
                in.readLong());
    }

    private static Message readHeartbeat(DataInputStream in, Envelope envelope) throws IOException {
        return new Message.Heartbeat(
                envelope.from(),
                envelope.to(),
                envelope.term(),
                in.readLong(),
                in.readLong(),
                in.readLong());
    }

    private static Message readSnapshotChunk(DataInputStream in, Envelope envelope)
            throws IOException {
        long index = in.readLong();
        long indexTerm = in.readLong();
        GroupConfiguration configuration = readConfiguration(in);
        int offset = in.readInt();
        byte[] data = ByteBlocks.read(in);
        Message.SnapshotHeader header =
                new Message.SnapshotHeader(index, indexTerm, configuration, in.readInt());
        return new Message.SnapshotChunk(
                envelope.from(), envelope.to(), envelope.term(), header, offset, data);
    }

    private static GroupConfiguration readConfiguration(DataInputStream in) throws IOException {
        return in.readBoolean() ? GroupConfiguration.readFrom(in) : null;
    }
}
