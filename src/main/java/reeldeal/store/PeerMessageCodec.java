package reeldeal.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes {@link PeerMessage}s: the group's name, a letter for the type, then the
 * fields of the type.
 */
final class PeerMessageCodec {
    private static final char HELLO = 'L';
    private static final char FORWARD = 'w';
    private static final char FORWARDED = 'W';
    private static final char TOPIC_MESSAGE = 'm';
    private static final char ADMIN_REQUEST = 'q';
    private static final char ADMIN_RESPONSE = 'Q';

    private static final char COMMITTED = 'c';
    private static final char REJECTED = 'r';
    private static final char NOT_LEADER = 'e';
    private static final char UNKNOWN = 'u';

    private static final int TYPICAL_BYTES = 64;

    private PeerMessageCodec() {}

    /** Encodes a message, without the length prefix of its frame. */
    static byte[] write(String group, PeerMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeUTF(group);
            if (message instanceof PeerMessage.Hello hello) {
                out.writeByte(HELLO);
                out.writeUTF(hello.node());
                out.writeInt(hello.level());
            } else if (message instanceof PeerMessage.Forward forward) {
                writeHeader(out, FORWARD, forward.from(), forward.to());
                out.writeLong(forward.id());
                ByteBlocks.write(out, forward.command());
            } else if (message instanceof PeerMessage.Forwarded forwarded) {
                writeHeader(out, FORWARDED, forwarded.from(), forwarded.to());
                out.writeLong(forwarded.id());
                writeResult(out, forwarded.result());
            } else if (message instanceof PeerMessage.TopicMessage topicMessage) {
                writeHeader(out, TOPIC_MESSAGE, topicMessage.from(), topicMessage.to());
                ByteBlocks.write(out, topicMessage.bytes());
            } else if (message instanceof PeerMessage.AdminRequest request) {
                out.writeByte(ADMIN_REQUEST);
                out.writeLong(request.id());
                ByteBlocks.writeText(out, request.text());
            } else if (message instanceof PeerMessage.AdminResponse response) {
                out.writeByte(ADMIN_RESPONSE);
                out.writeLong(response.id());
                out.writeBoolean(response.ok());
                ByteBlocks.writeText(out, response.text());
                out.writeUTF(response.leader());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a ByteArrayOutputStream does not throw
        }
        return bytes.toByteArray();
    }

    private static void writeHeader(DataOutputStream out, char type, String from, String to)
            throws IOException {
        out.writeByte(type);
        out.writeUTF(from);
        out.writeUTF(to);
    }

    private static void writeResult(DataOutputStream out, StoreNode.Result result)
            throws IOException {
        if (result instanceof StoreNode.Committed committed) {
            writeResult(out, COMMITTED, committed.version(), "");
        } else if (result instanceof StoreNode.Rejected rejected) {
            writeResult(out, REJECTED, 0, rejected.reason());
        } else if (result instanceof StoreNode.NotLeader notLeader) {
            writeResult(out, NOT_LEADER, 0, notLeader.reason());
        } else {
            writeResult(out, UNKNOWN, 0, "");
        }
    }

    private static void writeResult(DataOutputStream out, char type, long version, String reason)
            throws IOException {
        out.writeByte(type);
        out.writeLong(version);
        ByteBlocks.writeText(out, reason);
    }

    private static StoreNode.Result readResult(DataInputStream in) throws IOException {
        int type = in.readByte();
        long version = in.readLong();
        String reason = ByteBlocks.readText(in);
        return switch (type) {
            case COMMITTED -> new StoreNode.Committed(version);
            case REJECTED -> new StoreNode.Rejected(reason);
            case NOT_LEADER -> new StoreNode.NotLeader(reason);
            case UNKNOWN -> new StoreNode.Unknown();
            default -> throw new IOException("unknown result type of a forwarded write: " + type);
        };
    }

    /**
     * Decodes a message, or returns null if its type is none of these, as in a consensus message;
     * throws IOException if the bytes are malformed or come from a node of another group.
     */
    static PeerMessage read(String group, byte[] frame) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(frame));
        checkGroup(group, in);
        PeerMessage message =
                switch ((char) in.readByte()) {
                    case HELLO -> new PeerMessage.Hello(in.readUTF(), in.readInt());
                    case FORWARD ->
                            new PeerMessage.Forward(
                                    in.readUTF(), in.readUTF(), in.readLong(), ByteBlocks.read(in));
                    case FORWARDED ->
                            new PeerMessage.Forwarded(
                                    in.readUTF(), in.readUTF(), in.readLong(), readResult(in));
                    case TOPIC_MESSAGE ->
                            new PeerMessage.TopicMessage(
                                    in.readUTF(), in.readUTF(), ByteBlocks.read(in));
                    case ADMIN_REQUEST ->
                            new PeerMessage.AdminRequest(in.readLong(), ByteBlocks.readText(in));
                    case ADMIN_RESPONSE ->
                            new PeerMessage.AdminResponse(
                                    in.readLong(),
                                    in.readBoolean(),
                                    ByteBlocks.readText(in),
                                    in.readUTF());
                    default -> null;
                };
        if (message != null) {
            checkEnd(in);
        }
        return message;
    }

    /**
     * Reads the group's name, with which every message begins; throws IOException if it is not the
     * expected one.
     */
    static void checkGroup(String group, DataInputStream in) throws IOException {
        String senderGroup = in.readUTF();
        if (!senderGroup.equals(group)) {
            throw new IOException(
                    "message from a node of group " + senderGroup + ", expected group " + group);
        }
    }

    /** Throws IOException if bytes are left after the last field of a message. */
    static void checkEnd(DataInputStream in) throws IOException {
        if (in.available() > 0) {
            throw new IOException("unexpected bytes after the end of the message");
        }
    }
}
