package reeldeal.store;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.Map;
import java.util.stream.Stream;
import reeldeal.consensus.PieceInputStream;

/**
 * Encodes a snapshot while it is read: only the bytes of one value or session exist at a time. The
 * maps must not change while the stream is in use.
 */
final class SnapshotEncoder extends PieceInputStream {
    /** Writes one piece of the encoding. */
    private interface Piece {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private final Iterator<Piece> pieces;
    private final ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(encoded);

    /**
     * Creates a stream at the first byte of the encoding.
     *
     * @param length the length of the encoding, which {@link #available} counts down from
     */
    SnapshotEncoder(
            long version,
            Map<String, KeyValueState.Value> values,
            Map<String, KeyValueState.Session> sessions,
            int length) {
        super(length);
        Stream<Piece> encodedValues =
                values.entrySet().stream()
                        .map(
                                entry ->
                                        target ->
                                                KeyValueCodec.writeValue(
                                                        target, entry.getKey(), entry.getValue()));
        Stream<Piece> encodedSessions =
                sessions.entrySet().stream()
                        .map(
                                entry ->
                                        target ->
                                                KeyValueCodec.writeSession(
                                                        target, entry.getKey(), entry.getValue()));
        Piece valuesHeader =
                target -> KeyValueCodec.writeSnapshotHeader(target, version, values.size());
        Piece sessionsHeader = target -> target.writeInt(sessions.size());
        pieces =
                Stream.of(
                                Stream.of(valuesHeader),
                                encodedValues,
                                Stream.of(sessionsHeader),
                                encodedSessions)
                        .flatMap(stream -> stream)
                        .iterator();
    }

    /** Returns the length of the encoding of a snapshot, in bytes. */
    static int length(
            long version,
            Map<String, KeyValueState.Value> values,
            Map<String, KeyValueState.Session> sessions) {
        SnapshotEncoder encoder = new SnapshotEncoder(version, values, sessions, 0);
        long length = 0;
        for (byte[] piece = encoder.nextPiece(); piece != null; piece = encoder.nextPiece()) {
            length += piece.length;
        }
        return Math.toIntExact(length);
    }

    @Override
    protected byte[] nextPiece() {
        if (!pieces.hasNext()) {
            return null;
        }
        encoded.reset();
        try {
            pieces.next().writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a ByteArrayOutputStream does not throw
        }
        return encoded.toByteArray();
    }
}
