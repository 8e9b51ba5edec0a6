package reeldeal.http;

import java.util.ArrayDeque;

/**
 * The arrival times of the bytes of one connection that are not parsed yet, so that the wait of a
 * message behind earlier ones is known. Owned by the connection and used on its event loop.
 */
final class ArrivalTimes {
    /** Bytes up to an offset in the connection's input arrived at a time. */
    private static final class Read {
        final long atMs;
        long endOffset;

        Read(long atMs, long endOffset) {
            this.atMs = atMs;
            this.endOffset = endOffset;
        }
    }

    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long fedBytes;

    /** Records that bytes have arrived. */
    void add(int bytes, long nowMs) {
        fedBytes += bytes;
        Read last = reads.peekLast();
        if (last != null && last.atMs == nowMs) {
            last.endOffset = fedBytes;
        } else {
            reads.add(new Read(nowMs, fedBytes));
        }
    }

    /**
     * Returns when the last parsed byte arrived, and forgets the bytes before it. At least one byte
     * must have been parsed since the last call.
     */
    long takeParsed(int unparsedBytes) {
        long parsedBytes = fedBytes - unparsedBytes;
        while (reads.size() > 1 && reads.peek().endOffset < parsedBytes) {
            reads.poll();
        }
        return reads.peek().atMs;
    }
}
