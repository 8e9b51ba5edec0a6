package reeldeal.consensus;

/**
 * A client's read or write of one key; the calls form the history for the linearizability check.
 */
final class ClientCall {
    final boolean write;
    final String key;
    final long begin;

    /**
     * The time at which the client got the response; Long.MAX_VALUE if it never learned the result.
     */
    long end = Long.MAX_VALUE;

    /** The value written or, once a read is answered, the value read. */
    String value;

    /** Whether the call was rejected and therefore had no effect. */
    boolean failed;

    /** Whether the client is still waiting for the result. */
    boolean pending = true;

    ClientCall(boolean write, String key, String value, long begin) {
        this.write = write;
        this.key = key;
        this.value = value;
        this.begin = begin;
    }

    void abandon() {
        pending = false;
    }

    void fail() {
        failed = true;
        pending = false;
    }

    @Override
    public String toString() {
        return (write ? "w " : "r ")
                + key
                + "="
                + value
                + " ["
                + begin
                + ","
                + (end == Long.MAX_VALUE ? "?" : end)
                + "]";
    }
}
