package reeldeal.dns;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The records that share a name and a type. They have one TTL (RFC 2181, section 5.2) and no
 * duplicate data.
 */
public record RrSet(long ttl, List<byte[]> data) {
    /**
     * Limit in bytes on {@link #messageBytes}: a larger set might not fit into a single message.
     */
    public static final int MAX_BYTES = 60_000;

    /** Returns whether a record of the set has this data. */
    public boolean contains(byte[] recordData) {
        for (byte[] d : data) {
            if (Arrays.equals(d, recordData)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the set with a new TTL, and with this data added unless it is already present. */
    RrSet with(long newTtl, byte[] recordData) {
        List<byte[]> extended = new ArrayList<>(data);
        if (!contains(recordData)) {
            extended.add(recordData);
        }
        return new RrSet(newTtl, List.copyOf(extended));
    }

    /** Returns the set without this data, or null if no record remains. */
    RrSet without(byte[] recordData) {
        List<byte[]> remaining = data.stream().filter(d -> !Arrays.equals(d, recordData)).toList();
        return remaining.isEmpty() ? null : new RrSet(ttl, remaining);
    }

    /**
     * Returns the size of the set in a message, in bytes, with the owner names as compression
     * pointers and the data uncompressed.
     */
    public int messageBytes() {
        int total = 0;
        for (byte[] d : data) {
            total += 12 + d.length;
        }
        return total;
    }

    /** Returns whether both sets have the same TTL and records, in any order. */
    public boolean sameRecords(RrSet other) {
        return other != null
                && ttl == other.ttl
                && data.size() == other.data.size()
                && data.stream().allMatch(other::contains);
    }
}
