package reeldeal.dns;

import java.util.Arrays;
import java.util.Map;

/** A resource record; its data are as on the wire, names in them without compression. */
record Rr(String name, int type, int klass, long ttl, byte[] data) {
    static final int IN = 1;
    static final int NONE = 254;
    static final int ANY = 255;
    static final int A = 1;
    static final int NS = 2;
    static final int CNAME = 5;
    static final int SOA = 6;
    static final int PTR = 12;
    static final int MX = 15;
    static final int TXT = 16;
    static final int AAAA = 28;
    static final int SRV = 33;
    static final int AXFR = 252;
    static final Map<String, Integer> TYPES = Map.of("A", A, "NS", NS, "CNAME", CNAME, "SOA", SOA, "PTR", PTR,
            "MX", MX, "TXT", TXT, "AAAA", AAAA, "SRV", SRV);

    /** Whether the type only asks, and no record can have it. */
    static boolean isMeta(int type) {
        return type >= AXFR && type <= ANY || type == 249 || type == 250 || type == 251 || type == 41;
    }

    boolean sameData(byte[] other) {
        return Arrays.equals(data, other);
    }
}
