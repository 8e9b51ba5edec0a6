package reeldeal.dns;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.pcollections.TreePMap;

/**
 * The record sets of a zone by name and type. A zone is an immutable value: a change returns a new
 * zone that shares all but one path of the tree. A change therefore costs time logarithmic in the
 * zone size, and a running transfer keeps reading the version that it began with.
 */
public final class Zone {
    /** The record sets at one name, by type in ascending order. */
    private record Node(int[] types, RrSet[] sets) {
        RrSet get(int type) {
            int i = Arrays.binarySearch(types, type);
            return i < 0 ? null : sets[i];
        }

        Node with(int type, RrSet set) {
            int i = Arrays.binarySearch(types, type);
            if (i >= 0) {
                RrSet[] changed = sets.clone();
                changed[i] = set;
                return new Node(types, changed);
            }
            int insertAt = -i - 1;
            int[] newTypes = new int[types.length + 1];
            RrSet[] newSets = new RrSet[types.length + 1];
            System.arraycopy(types, 0, newTypes, 0, insertAt);
            System.arraycopy(sets, 0, newSets, 0, insertAt);
            newTypes[insertAt] = type;
            newSets[insertAt] = set;
            System.arraycopy(types, insertAt, newTypes, insertAt + 1, types.length - insertAt);
            System.arraycopy(sets, insertAt, newSets, insertAt + 1, types.length - insertAt);
            return new Node(newTypes, newSets);
        }

        Node without(int type) {
            Node remaining = new Node(new int[0], new RrSet[0]);
            for (int i = 0; i < types.length; i++) {
                remaining = types[i] == type ? remaining : remaining.with(types[i], sets[i]);
            }
            return remaining;
        }
    }

    /** A record set with its owner name and type. */
    public record OwnedRrSet(String name, int type, RrSet set) {}

    public final String origin;
    private final TreePMap<String, Node> names;
    private final int recordCount;

    private Zone(String origin, TreePMap<String, Node> names, int recordCount) {
        this.origin = origin;
        this.names = names;
        this.recordCount = recordCount;
    }

    /** Returns an empty zone; the origin is absolute and in lower case. */
    public static Zone empty(String origin) {
        return new Zone(origin, TreePMap.empty(), 0);
    }

    /** Returns the record set of a name and type, or null. */
    public RrSet get(String name, int type) {
        Node node = names.get(Names.sortKey(name));
        return node == null ? null : node.get(type);
    }

    /** Returns the types of the record sets at a name, in ascending order. */
    public int[] types(String name) {
        Node node = names.get(Names.sortKey(name));
        return node == null ? new int[0] : node.types().clone();
    }

    /**
     * Returns whether a name exists: it or a name below it has records (RFC 4592, section 2.2.2).
     */
    public boolean exists(String name) {
        String key = Names.sortKey(name);
        Map.Entry<String, ?> next = names.ceilingEntry(key);
        return next != null && next.getKey().startsWith(key);
    }

    public boolean isEmpty() {
        return names.isEmpty();
    }

    /** Returns the number of records in the zone. */
    public int size() {
        return recordCount;
    }

    /**
     * Returns the zone with this record set in place of the previous one; null or an empty set
     * removes it.
     */
    public Zone with(String name, int type, RrSet set) {
        String key = Names.sortKey(name);
        Node node = names.get(key);
        RrSet before = node == null ? null : node.get(type);
        int recordChange =
                (set == null ? 0 : set.data().size()) - (before == null ? 0 : before.data().size());
        if (set != null && !set.data().isEmpty()) {
            Node base = node == null ? new Node(new int[0], new RrSet[0]) : node;
            return new Zone(
                    origin, names.plus(key, base.with(type, set)), recordCount + recordChange);
        }
        if (before == null) {
            return this;
        }
        Node remaining = node.without(type);
        return new Zone(
                origin,
                remaining.types().length == 0 ? names.minus(key) : names.plus(key, remaining),
                recordCount + recordChange);
    }

    /**
     * Returns the zone with this record added. The whole record set takes its TTL, and equal data
     * is not duplicated.
     */
    public Zone plus(Rr rr) {
        RrSet old = get(rr.name(), rr.type());
        return with(
                rr.name(),
                rr.type(),
                old == null
                        ? new RrSet(rr.ttl(), List.of(rr.data()))
                        : old.with(rr.ttl(), rr.data()));
    }

    /** Returns the zone without this record. */
    public Zone minus(String name, int type, byte[] data) {
        RrSet old = get(name, type);
        return old == null ? this : with(name, type, old.without(data));
    }

    /** Returns the zone's SOA record, or null if it has none. */
    public Rr soa() {
        RrSet soa = get(origin, Rr.SOA);
        return soa == null ? null : new Rr(origin, Rr.SOA, Rr.IN, soa.ttl(), soa.data().get(0));
    }

    /** Returns the serial number of the zone's SOA, 0 to 2^32 - 1, or -1 if it has none. */
    public long serial() {
        Rr soa = soa();
        return soa == null ? -1 : serial(soa.data());
    }

    static long serial(byte[] soa) {
        return soaField(soa, 0);
    }

    /**
     * Returns a numeric field of SOA data by its index: 0 serial, 1 refresh, 2 retry, 3 expire, 4
     * minimum; all but the serial are in seconds.
     */
    public static long soaField(byte[] soa, int index) {
        return ByteBuffer.wrap(soa).getInt(soa.length - 20 + 4 * index) & 0xffffffffL;
    }

    /** Returns the zone with its serial number incremented, skipping 0 (RFC 2136, section 3.6). */
    Zone incrementSerial() {
        long next = serial() + 1 & 0xffffffffL;
        return withSerial(next == 0 ? 1 : next);
    }

    /** Returns the zone with this serial number. */
    public Zone withSerial(long serial) {
        RrSet soa = get(origin, Rr.SOA);
        byte[] data = soa.data().get(0).clone();
        ByteBuffer.wrap(data).putInt(data.length - 20, (int) serial);
        return with(origin, Rr.SOA, new RrSet(soa.ttl(), List.of(data)));
    }

    /**
     * Iterates over all record sets, those of the origin first and those of each name before the
     * names below it. The sets are not copied up front.
     */
    public Iterator<OwnedRrSet> sets() {
        Iterator<Map.Entry<String, Node>> nodes = names.entrySet().iterator();
        return new Iterator<>() {
            private String name;
            private Node node;
            private int typeIndex;

            @Override
            public boolean hasNext() {
                return (node != null && typeIndex < node.types().length) || nodes.hasNext();
            }

            @Override
            public OwnedRrSet next() {
                if (node == null || typeIndex >= node.types().length) {
                    Map.Entry<String, Node> entry = nodes.next();
                    name = nameOf(entry.getKey());
                    node = entry.getValue();
                    typeIndex = 0;
                }
                typeIndex++;
                return new OwnedRrSet(
                        name, node.types()[typeIndex - 1], node.sets()[typeIndex - 1]);
            }
        };
    }

    private static String nameOf(String key) {
        if (key.isEmpty()) {
            return ".";
        }
        String[] labels = key.split("\u0001");
        StringBuilder name = new StringBuilder(key.length() + 1);
        for (int i = labels.length - 1; i >= 0; i--) {
            name.append(labels[i]).append('.');
        }
        return name.toString();
    }

    /**
     * Returns all record sets at or below a name, such as {@code _searcher._tcp} followed by the
     * origin.
     */
    public List<OwnedRrSet> setsBelow(String name) {
        String key = Names.sortKey(name);
        List<OwnedRrSet> found = new ArrayList<>();
        for (Map.Entry<String, Node> entry = names.ceilingEntry(key);
                entry != null && entry.getKey().startsWith(key);
                entry = names.higherEntry(entry.getKey())) {
            for (int i = 0; i < entry.getValue().types().length; i++) {
                found.add(
                        new OwnedRrSet(
                                nameOf(entry.getKey()),
                                entry.getValue().types()[i],
                                entry.getValue().sets()[i]));
            }
        }
        return found;
    }
}
