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

    private final class ChunkInputStream extends InputStream {
        private final Iterator<byte[]> following = chunks.iterator();
        private byte[] chunk = new byte[0];
        private int offset;
        private int unread = length;

        private boolean advance() {
            while (offset == chunk.length) {
                if (!following.hasNext()) {
                    return false;
                }
                chunk = following.next();
                offset = 0;
            }
            return true;
        }

        @Override
        public int read() {
            if (!advance()) {
                return -1;
            }
            unread--;
            return chunk[offset++] & 0xff;
        }

        @Override
        public int read(byte[] target, int start, int maxBytes) {
            if (maxBytes == 0) {
                return 0;
            }
            if (!advance()) {
                return -1;
            }
            int count = Math.min(maxBytes, chunk.length - offset);
            System.arraycopy(chunk, offset, target, start, count);
            offset += count;
            unread -= count;
            return count;
        }

        @Override
        public int available() {
            return unread;
        }
    }
}
