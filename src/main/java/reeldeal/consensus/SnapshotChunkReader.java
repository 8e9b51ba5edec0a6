package reeldeal.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/**
 * Reads the chunks of one snapshot for one follower. Chunks are mostly read in order, so the reader
 * keeps its position, and keeps the last chunk in case it has to be sent again.
 */
final class SnapshotChunkReader {
    private final SnapshotData data;
    private InputStream in;
    private int nextOffset;
    private int lastOffset = -1;
    private byte[] lastChunk;

    SnapshotChunkReader(SnapshotData data) {
        this.data = data;
        this.in = data.open();
    }

    /** Returns the bytes at an offset, at most {@code maxBytes}. */
    byte[] read(int offset, int maxBytes) {
        if (offset == lastOffset) {
            return lastChunk;
        }
        try {
            if (offset < nextOffset) {
                in = data.open();
                nextOffset = 0;
            }
            in.skipNBytes(offset - nextOffset);
            lastChunk = in.readNBytes(maxBytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a reader of memory does not throw
        }
        lastOffset = offset;
        nextOffset = offset + lastChunk.length;
        return lastChunk;
    }
}
