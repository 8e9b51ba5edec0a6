package reeldeal.frames;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Reassembles frames that begin with their length, most significant byte first, and bounds that
 * length. Not thread-safe; owned by one connection.
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
     * @param maxFrameBytes greatest length that a prefix may give
     */
    public FrameBuffer(int prefixBytes, int maxFrameBytes) {
        this.prefixBytes = prefixBytes;
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Appends all readable bytes and releases their buffer. */
    public void feed(ByteBuf in) {
        int length = in.readableBytes();
        if (buffer.length < bufferedBytes + length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + length));
        }
        in.readBytes(buffer, bufferedBytes, length);
        in.release();
        bufferedBytes += length;
    }

    /** Whether the next frame has an invalid length: zero, or beyond the maximum. */
    public boolean malformed() {
        return bufferedBytes >= prefixBytes && (length() < 1 || length() > maxFrameBytes);
    }

    /** Whether bytes of an incomplete frame are buffered. */
    public boolean inFrame() {
        return bufferedBytes > 0;
    }

    /** Removes and returns the next frame without its length; null until it is complete. */
    public byte[] next() {
        if (bufferedBytes < prefixBytes || malformed() || bufferedBytes < prefixBytes + length()) {
            return null;
        }
        int frameEnd = prefixBytes + (int) length();
        byte[] frame = Arrays.copyOfRange(buffer, prefixBytes, frameEnd);
        System.arraycopy(buffer, frameEnd, buffer, 0, bufferedBytes - frameEnd);
        bufferedBytes -= frameEnd;
        if (bufferedBytes == 0 && buffer.length > INITIAL_BYTES) {
            // One large frame must not occupy its memory as long as the connection is open.
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
