package reeldeal.http;

/**
 * Counts the memory used by the partly read messages of all connections of a server, against a
 * limit. Owned by the server and used only on its event loop.
 */
final class MemoryBudget {
    private final long maxBytes;
    private long usedBytes;

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds to the used bytes, or subtracts from them if {@code bytes} is negative. */
    void adjust(long bytes) {
        usedBytes += bytes;
    }

    boolean isExceeded() {
        return usedBytes > maxBytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
