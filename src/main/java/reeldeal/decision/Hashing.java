package reeldeal.decision;

/** The hash function used for rendezvous hashing and other stable pseudo-random choices. */
final class Hashing {
    private Hashing() {}

    /** Applies a 64-bit finalizer: every bit of the result depends on every bit of the value. */
    static long mix64(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
