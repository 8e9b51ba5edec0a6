package reeldeal.frames;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Reassembles frames that begin with their length, most significant byte first, and limits that
 * length. Not thread-safe; each buffer belongs to one connection.
 */
public final class FrameBuffer {
    private static final int INITIAL_BYTES = 512;

    private final int prefixBytes;
    private final int maxFrameBytes;
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int bufferedBytes;

    /**
     * Creates an empty buffer.
     *
     * @param prefixBytes size of the length prefix, two or four bytes
     * @param maxFrameBytes maximum length that a prefix may give
     */
    public FrameBuffer(int prefixBytes, int maxFrameBytes) {
        this.prefixBytes = prefixBytes;
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Appends all readable bytes of a buffer, and releases the buffer. */
    public void feed(ByteBuf in) {
        int length = in.readableBytes();
        if (buffer.length < bufferedBytes + length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + length));
        }
        in.readBytes(buffer, bufferedBytes, length);
        in.release();
        bufferedBytes += length;
    }

    /** Whether the length of the next frame is invalid: zero or above the maximum. */
    public boolean malformed() {
        return bufferedBytes >= prefixBytes && (length() < 1 || length() > maxFrameBytes);
    }

    /** Whether bytes of an incomplete frame are buffered. */
    public boolean inFrame() {
        return bufferedBytes > 0;
    }

    /** Removes and returns the next frame without its length prefix; null if it is incomplete. */
    public byte[] next() {
        if (bufferedBytes < prefixBytes || malformed() || bufferedBytes < prefixBytes + length()) {
            return null;
        }
        int frameEnd = prefixBytes + (int) length();
        byte[] frame = Arrays.copyOfRange(buffer, prefixBytes, frameEnd);
        System.arraycopy(buffer, frameEnd, buffer, 0, bufferedBytes - frameEnd);
        bufferedBytes -= frameEnd;
        if (bufferedBytes == 0 && buffer.length > INITIAL_BYTES) {
            // Frees the memory of a large frame, which would be held until the connection closes.
            buffer = new byte[INITIAL_BYTES];
        }
        return frame;
    }

    private long length() {
        long length = 0;
        for (int i = 0; i < prefixBytes; i++) {
            length = length << 8 | (buffer[i] & 0xff);
        }
        return length;
    }
}
