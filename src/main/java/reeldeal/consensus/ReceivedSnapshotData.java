package reeldeal.consensus;

import java.io.InputStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The chunks of a snapshot that a follower receives. They stay separate arrays, so that appending a
 * chunk copies none of the earlier ones. Complete and no longer changed once it is installed.
 */
final class ReceivedSnapshotData implements SnapshotData {
    private final List<byte[]> chunks = new ArrayList<>();
    private int length;

    void append(byte[] chunk) {
        chunks.add(chunk);
        length += chunk.length;
    }

    @Override
    public int length() {
        return length;
    }

    @Override
    public InputStream open() {
        return new ChunkInputStream();
    }

    private final class ChunkInputStream extends PieceInputStream {
        private final Iterator<byte[]> following = chunks.iterator();

        ChunkInputStream() {
            super(length);
        }

        @Override
        protected byte[] nextPiece() {
            return following.hasNext() ? following.next() : null;
        }
    }
}
