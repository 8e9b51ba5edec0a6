package reeldeal.zones;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import reeldeal.dns.RrSet;
import reeldeal.dns.Zone;
import reeldeal.store.KeyValueState;

/**
 * Maps zones to keys and values of the store: {@code zone/ORIGIN/head} holds the active generation,
 * {@code zone/ORIGIN/GENERATION/NAME/TYPE} a record set, and {@code zone/ORIGIN/state} when a
 * secondary zone was last confirmed and whether it has expired. A whole zone is replaced by writing
 * a new generation and then the head, so that the replacement is atomic however many writes it
 * takes.
 */
final class ZoneKeys {
    static final String PREFIX = "zone/";

    /** Prefix of the single zone of earlier versions of the program, without generations. */
    static final String LEGACY = "dns/";

    static final String HEAD = "head";
    static final String STATE = "state";

    /**
     * The parts of a key.
     *
     * @param generation the generation of a record set; below 0 for the head and state keys
     * @param name the owner name of a record set; {@link #HEAD} or {@link #STATE} for those keys
     */
    record Parsed(String origin, long generation, String name, int type) {}

    private ZoneKeys() {}

    static String headKey(String origin) {
        return PREFIX + origin + "/" + HEAD;
    }

    static String stateKey(String origin) {
        return PREFIX + origin + "/" + STATE;
    }

    static String recordSetKey(String origin, long generation, String name, int type) {
        return PREFIX + origin + "/" + generation + "/" + name + "/" + type;
    }

    static String generationPrefix(String origin, long generation) {
        return PREFIX + origin + "/" + generation + "/";
    }

    /** Parses a key; returns null if it is not a key of a zone. */
    static Parsed parse(String key) {
        boolean legacy = key.startsWith(LEGACY);
        if (!legacy && !key.startsWith(PREFIX)) {
            return null;
        }
        String[] parts = key.split("/");
        if (legacy && parts.length == 4) {
            return new Parsed(parts[1], 0, parts[2], Integer.parseInt(parts[3]));
        } else if (parts.length == 3) {
            return new Parsed(parts[1], -1, parts[2], 0);
        }
        return parts.length == 5
                ? new Parsed(
                        parts[1], Long.parseLong(parts[2]), parts[3], Integer.parseInt(parts[4]))
                : null;
    }

    /** Encodes a record set as its TTL and the data of each record in hexadecimal. */
    static String encode(RrSet set) {
        StringBuilder value = new StringBuilder().append(set.ttl());
        set.data().forEach(d -> value.append(' ').append(HexFormat.of().formatHex(d)));
        return value.toString();
    }

    static RrSet decode(String value) {
        String[] fields = value.split(" ");
        List<byte[]> data = new ArrayList<>(fields.length - 1);
        for (int i = 1; i < fields.length; i++) {
            data.add(HexFormat.of().parseHex(fields[i]));
        }
        return new RrSet(Long.parseLong(fields[0]), List.copyOf(data));
    }

    /** Reads a zone from the store's state; the zone is empty if the state has none. */
    static Zone readZone(String origin, KeyValueState state) {
        KeyValueState.Value head = state.get(headKey(origin));
        String prefix =
                head == null
                        ? LEGACY + origin + "/"
                        : generationPrefix(origin, Long.parseLong(head.text()));
        Zone zone = Zone.empty(origin);
        for (Map.Entry<String, KeyValueState.Value> entry : state.valuesUnder(prefix).entrySet()) {
            zone = apply(zone, parse(entry.getKey()), entry.getValue().text());
        }
        return zone;
    }

    static Zone apply(Zone zone, Parsed key, String value) {
        return zone.with(key.name(), key.type(), value == null ? null : decode(value));
    }
}
