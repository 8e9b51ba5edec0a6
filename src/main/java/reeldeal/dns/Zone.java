package reeldeal.dns;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A zone's record sets by name and type. */
final class Zone {

    /** A set of records that share name and type. */
    record RrSet(long ttl, List<byte[]> data) {
        boolean holds(byte[] one) {
            return data.stream().anyMatch(d -> java.util.Arrays.equals(d, one));
        }
    }

    final String origin;
    private final TreeMap<String, TreeMap<Integer, RrSet>> names = new TreeMap<>();

    Zone(String origin) {
        this.origin = origin;
    }

    Zone copy() {
        Zone copy = new Zone(origin);
        names.forEach((name, sets) -> copy.names.put(name, new TreeMap<>(sets)));
        return copy;
    }

    RrSet get(String name, int type) {
        return names.getOrDefault(name, new TreeMap<>()).get(type);
    }

    Map<Integer, RrSet> at(String name) {
        return names.getOrDefault(name, new TreeMap<>());
    }

    boolean isEmpty() {
        return names.isEmpty();
    }

    void put(String name, int type, RrSet set) {
        if (set != null && !set.data().isEmpty()) {
            names.computeIfAbsent(name, n -> new TreeMap<>()).put(type, set);
        } else if (names.containsKey(name)) {
            names.get(name).remove(type);
            if (names.get(name).isEmpty()) {
                names.remove(name);
            }
        }
    }

    /** Adds a record; one with the same data takes its time to live. */
    void add(Rr record) {
        RrSet old = get(record.name(), record.type());
        List<byte[]> data = new ArrayList<>(old == null ? List.of() : old.data());
        if (old == null || !old.holds(record.data())) {
            data.add(record.data());
        }
        put(record.name(), record.type(), new RrSet(record.ttl(), List.copyOf(data)));
    }

    /** Takes a record away. */
    void remove(String name, int type, byte[] data) {
        RrSet old = get(name, type);
        if (old != null) {
            put(name, type, new RrSet(old.ttl(), old.data().stream()
                    .filter(d -> !java.util.Arrays.equals(d, data)).toList()));
        }
    }

    /** The serial number of the zone's SOA, or -1. */
    long serial() {
        RrSet soa = get(origin, Rr.SOA);
        return soa == null ? -1 : serial(soa.data().get(0));
    }

    static long serial(byte[] soa) {
        return ByteBuffer.wrap(soa).getInt(soa.length - 20) & 0xffffffffL;
    }

    /** Whether a serial number is later than another (RFC 1982). */
    static boolean later(long one, long other) {
        return one != other && (one - other & 0xffffffffL) < 0x80000000L;
    }

    /** Counts the serial number up; 0 is passed over. */
    void countUp() {
        RrSet soa = get(origin, Rr.SOA);
        byte[] data = soa.data().get(0).clone();
        long next = serial() + 1 & 0xffffffffL;
        ByteBuffer.wrap(data).putInt(data.length - 20, (int) (next == 0 ? 1 : next));
        put(origin, Rr.SOA, new RrSet(soa.ttl(), List.of(data)));
    }

    // ---- in the store: a key for each record set ----

    static String prefix(String origin) {
        return "dns/" + origin + "/";
    }

    /** The zone as values by their keys. */
    Map<String, String> toValues() {
        Map<String, String> values = new TreeMap<>();
        names.forEach((name, sets) -> sets.forEach((type, set) -> {
            StringBuilder value = new StringBuilder().append(set.ttl());
            set.data().forEach(d -> value.append(' ').append(HexFormat.of().formatHex(d)));
            values.put(prefix(origin) + name + "/" + type, value.toString());
        }));
        return values;
    }

    static Zone fromValues(String origin, Map<String, String> values) {
        Zone zone = new Zone(origin);
        values.forEach((key, value) -> {
            String rest = key.substring(prefix(origin).length());
            int slash = rest.lastIndexOf('/');
            String[] words = value.split(" ");
            List<byte[]> data = new ArrayList<>();
            for (int i = 1; i < words.length; i++) {
                data.add(HexFormat.of().parseHex(words[i]));
            }
            zone.put(rest.substring(0, slash), Integer.parseInt(rest.substring(slash + 1)),
                    new RrSet(Long.parseLong(words[0]), List.copyOf(data)));
        });
        return zone;
    }
}
