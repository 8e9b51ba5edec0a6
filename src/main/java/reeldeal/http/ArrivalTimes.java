package reeldeal.http;

import java.util.ArrayDeque;

/**
 * The arrival times of the bytes of one connection that are not parsed yet, so that the wait of a
 * message behind earlier ones is known. Keeps a bounded number of times, however many pieces the
 * bytes arrive in. Owned by the connection and used on its event loop.
 */
final class ArrivalTimes {
    /** The most times that are kept. */
    static final int MAX_READS = 64;

    /** Bytes up to an offset in the connection's input arrived at a time or later. */
    private static final class Read {
        final long atMs;
        long endOffset;

        Read(long atMs, long endOffset) {
            this.atMs = atMs;
            this.endOffset = endOffset;
        }
    }

    private ArrayDeque<Read> reads = new ArrayDeque<>();
    private long fedBytes;

    /** Records that bytes have arrived. */
    void add(int bytes, long nowMs) {
        fedBytes += bytes;
        Read last = reads.peekLast();
        if (last != null && last.atMs == nowMs) {
            last.endOffset = fedBytes;
            return;
        }
        if (reads.size() == MAX_READS) {
            mergePairs();
        }
        reads.add(new Read(nowMs, fedBytes));
    }

    /** Returns the number of times that are kept. */
    int size() {
        return reads.size();
    }

    /** Halves the number of times. The earlier time of two counts, so that no wait is too short. */
    private void mergePairs() {
        ArrayDeque<Read> merged = new ArrayDeque<>(MAX_READS);
        while (!reads.isEmpty()) {
            Read first = reads.poll();
            if (!reads.isEmpty()) {
                first.endOffset = reads.poll().endOffset;
            }
            merged.add(first);
        }
        reads = merged;
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
