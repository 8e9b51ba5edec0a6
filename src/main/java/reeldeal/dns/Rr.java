package reeldeal.dns;

import java.util.Arrays;

/**
 * A resource record. Its data is in wire form with uncompressed names.
 *
 * @param name absolute, in lower case
 * @param ttl seconds, 0 to 2^31 - 1 (RFC 2181, section 8)
 */
public record Rr(String name, int type, int recordClass, long ttl, byte[] data) {
    public static final int IN = 1;
    public static final int CH = 3;
    public static final int NONE = 254;
    public static final int ANY = 255;
    public static final int A = 1;
    public static final int NS = 2;
    public static final int CNAME = 5;
    public static final int SOA = 6;
    public static final int PTR = 12;
    public static final int MX = 15;
    public static final int TXT = 16;
    public static final int AAAA = 28;
    public static final int SRV = 33;
    public static final int DNAME = 39;
    public static final int OPT = 41;
    public static final int TSIG = 250;
    public static final int IXFR = 251;
    public static final int AXFR = 252;

    /**
     * Returns whether this is a query type or a type that belongs to a single message, such as OPT,
     * which no zone can hold.
     */
    public static boolean isMeta(int type) {
        return type == 0 || type == OPT || (type >= 249 && type <= ANY);
    }

    /** Returns whether the data is equal byte for byte (RFC 2136, section 1.1.1). */
    public boolean sameData(byte[] other) {
        return Arrays.equals(data, other);
    }
}
