package reeldeal.consensus;

import java.io.InputStream;

/**
 * A stream over bytes that exist piece by piece. It holds one piece at a time, does no I/O and does
 * not throw. Not thread-safe.
 */
public abstract class PieceInputStream extends InputStream {
    private byte[] piece = new byte[0];
    private int offset;
    private int unread;

    /** Creates a stream that yields {@code length} bytes in all. */
    protected PieceInputStream(int length) {
        unread = length;
    }

    /** Returns the next piece, which may be empty, or null if there is none. */
    protected abstract byte[] nextPiece();

    private boolean advance() {
        while (offset == piece.length) {
            byte[] next = nextPiece();
            if (next == null) {
                return false;
            }
            piece = next;
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
        return piece[offset++] & 0xff;
    }

    @Override
    public int read(byte[] target, int start, int maxBytes) {
        if (maxBytes == 0) {
            return 0;
        }
        if (!advance()) {
            return -1;
        }
        int count = Math.min(maxBytes, piece.length - offset);
        System.arraycopy(piece, offset, target, start, count);
        offset += count;
        unread -= count;
        return count;
    }

    /** Returns the number of bytes that are left. */
    @Override
    public int available() {
        return unread;
    }
}
