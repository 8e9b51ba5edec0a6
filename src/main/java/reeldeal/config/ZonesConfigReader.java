package reeldeal.config;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.dns.Names;
import reeldeal.dns.Rr;
import reeldeal.dns.Tsig;
import reeldeal.dns.Types;
import reeldeal.endpoints.EndpointView;
import reeldeal.zones.AccessList;
import reeldeal.zones.UpdateGrant;
import reeldeal.zones.ZonesConfig;

/**
 * Reads the {@code dns} section of the store's file: zones, keys, access lists and the rules of the
 * endpoint view.
 */
final class ZonesConfigReader {
    private static final Set<String> KNOWN_KEYS =
            Set.of(
                    "listen",
                    "origin",
                    "zone_file",
                    "key_files",
                    "example_keys",
                    "max_connections",
                    "idle_ms",
                    "words_file",
                    "zones.count",
                    "members.empty_grace_ms",
                    "members.hold_ms",
                    "members.gone_after_ms",
                    "members.remember_ms",
                    "members.flap_limit",
                    "members.flap_reuse",
                    "members.flap_half_life_ms");
    private static final Set<String> KNOWN_ZONE_KEYS =
            Set.of(
                    "origin",
                    "file",
                    "primaries.count",
                    "notify.count",
                    "allow_query",
                    "allow_transfer",
                    "allow_update",
                    "grants.count",
                    "searchers",
                    "journal_records",
                    "max_records");

    private ZonesConfigReader() {}

    static ZonesConfig read(ConfigValues values) throws InvalidConfigException {
        checkKeys(values);
        InetSocketAddress listen = values.loopbackAddress("dns.listen");
        Map<String, Tsig.Key> keys = new LinkedHashMap<>();
        for (String file : values.list("dns.key_files", "")) {
            // A checkout does not preserve file modes, so the mode of the example's keys, which are
            // not secret, is not checked.
            Tsig.Key key = TsigKeyFile.read(Path.of(file), !values.flag("dns.example_keys"));
            if (keys.put(key.name(), key) != null) {
                throw new InvalidConfigException(
                        "store dns.key_files: key " + key.name() + " is in more than one file");
            }
        }
        List<ZonesConfig.Entry> zones = new ArrayList<>();
        Set<String> origins = new HashSet<>();
        int count = values.count("dns.zones");
        for (int i = 0; i < count; i++) {
            zones.add(zone(values, "dns.zones." + i + ".", keys));
        }
        if (values.has("dns.origin")) {
            zones.add(shortFormZone(values, keys));
        }
        for (ZonesConfig.Entry zone : zones) {
            if (!origins.add(zone.origin())) {
                throw new InvalidConfigException(
                        "store dns.zones: zone " + zone.origin() + " is configured twice");
            }
        }
        if (zones.stream().noneMatch(ZonesConfig.Entry::searchers) && zones.isEmpty()) {
            throw new InvalidConfigException("store dns: expected zones, or origin and zone_file");
        }
        EndpointView.Rules rules = rules(values);
        String overridesFile = values.get("dns.words_file");
        return new ZonesConfig(
                listen,
                List.copyOf(zones),
                keys,
                (int) values.number("dns.max_connections", 64, 1, 10_000),
                values.number("dns.idle_ms", 10_000, 100, 3_600_000),
                rules,
                overridesFile == null ? null : Path.of(overridesFile));
    }

    private static EndpointView.Rules rules(ConfigValues values) throws InvalidConfigException {
        EndpointView.Rules defaults = EndpointView.Rules.DEFAULT;
        EndpointView.Rules rules =
                new EndpointView.Rules(
                        values.number(
                                "dns.members.empty_grace_ms", defaults.emptyGraceMs(), 0, 60_000),
                        values.number("dns.members.hold_ms", defaults.holdMs(), 0, 600_000),
                        values.number(
                                "dns.members.gone_after_ms",
                                defaults.goneAfterMs(),
                                1_000,
                                3_600_000),
                        values.number(
                                "dns.members.remember_ms",
                                defaults.rememberMs(),
                                1_000,
                                86_400_000),
                        values.number(
                                "dns.members.flap_limit",
                                (long) defaults.flapLimit(),
                                1,
                                1_000_000),
                        values.number(
                                "dns.members.flap_reuse",
                                (long) defaults.flapReuse(),
                                1,
                                1_000_000),
                        values.number(
                                "dns.members.flap_half_life_ms",
                                defaults.flapHalfLifeMs(),
                                100,
                                3_600_000));
        if (rules.flapReuse() > rules.flapLimit()) {
            throw new InvalidConfigException(
                    "store dns.members.flap_reuse: expected at most the value of flap_limit");
        }
        return rules;
    }

    /** Rejects unknown keys, so that a misspelled setting is not silently ignored. */
    private static void checkKeys(ConfigValues values) throws InvalidConfigException {
        for (String key : values.keys()) {
            if (!key.startsWith("dns.")) {
                continue;
            }
            String dnsKey = key.substring("dns.".length());
            String zoneKey = dnsKey.replaceFirst("^zones\\.[0-9]+\\.", "");
            boolean known =
                    KNOWN_KEYS.contains(dnsKey)
                            || (!zoneKey.equals(dnsKey)
                                    && (KNOWN_ZONE_KEYS.contains(zoneKey)
                                            || zoneKey.matches(
                                                    "(primaries|notify)\\.[0-9]+\\.(address|key)")
                                            || zoneKey.matches(
                                                    "grants\\.[0-9]+\\.(key|names|types)")));
            // An empty list is stored under its own key and without a count, since whether it
            // would hold scalars or objects is unknown.
            boolean emptyList =
                    values.get(key).isEmpty()
                            && dnsKey.matches("zones|zones\\.[0-9]+\\.(primaries|notify|grants)");
            if (!known && !emptyList) {
                throw values.invalid(key, "no such setting");
            }
        }
    }

    /**
     * Returns the zone of the short form, {@code origin} and {@code zone_file}: it lists searchers
     * and anyone may query it. Loopback may transfer it and, if no keys are configured, update it.
     */
    private static ZonesConfig.Entry shortFormZone(ConfigValues values, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        Path file = readableFile(values, "dns.zone_file");
        return new ZonesConfig.Entry(
                origin(values, "dns.origin"),
                file,
                List.of(),
                List.of(),
                AccessList.parse(List.of("any")),
                AccessList.parse(List.of("loopback")),
                defaultUpdateAccess(keys, List.of()),
                List.of(),
                true,
                100_000,
                1_000_000);
    }

    /**
     * Allows updates that are signed with a key that has grants; if no keys are configured, updates
     * from loopback addresses.
     */
    private static AccessList defaultUpdateAccess(
            Map<String, Tsig.Key> keys, List<UpdateGrant> grants) {
        List<String> entries = new ArrayList<>();
        grants.forEach(grant -> entries.add("key:" + grant.key()));
        return AccessList.parse(keys.isEmpty() ? List.of("loopback") : entries);
    }

    private static ZonesConfig.Entry zone(
            ConfigValues values, String prefix, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        String origin = origin(values, prefix + "origin");
        List<ZonesConfig.Peer> primaries = peers(values, prefix + "primaries", keys);
        if (primaries.isEmpty() == !values.has(prefix + "file")) {
            throw new InvalidConfigException(
                    "store " + prefix + "file: expected either a file or primaries for " + origin);
        }
        List<UpdateGrant> grants = grants(values, prefix + "grants", origin, keys);
        boolean searchers = values.flag(prefix + "searchers");
        return new ZonesConfig.Entry(
                origin,
                primaries.isEmpty() ? readableFile(values, prefix + "file") : null,
                primaries,
                peers(values, prefix + "notify", keys),
                accessList(values, prefix + "allow_query", "any", keys),
                accessList(values, prefix + "allow_transfer", "loopback", keys),
                values.has(prefix + "allow_update")
                        ? accessList(values, prefix + "allow_update", "", keys)
                        : defaultUpdateAccess(keys, grants),
                grants,
                searchers,
                (int) values.number(prefix + "journal_records", 100_000, 0, 10_000_000),
                (int) values.number(prefix + "max_records", 1_000_000, 1, 10_000_000));
    }

    private static List<UpdateGrant> grants(
            ConfigValues values, String prefix, String origin, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        List<UpdateGrant> grants = new ArrayList<>();
        for (int i = 0; i < values.count(prefix); i++) {
            String key = keyName(values, prefix + "." + i + ".key", keys);
            if (key == null) {
                throw new InvalidConfigException("store " + prefix + "." + i + ".key: not set");
            }
            List<String> names = new ArrayList<>();
            for (String name :
                    values.list(prefix + "." + i + ".names", "*." + origin + "," + origin)) {
                String parsed = Names.parse(name, origin);
                if (parsed == null || !Names.within(parsed, origin)) {
                    throw new InvalidConfigException(
                            "store "
                                    + prefix
                                    + "."
                                    + i
                                    + ".names: expected names within "
                                    + origin
                                    + ", found "
                                    + name);
                }
                names.add(parsed);
            }
            Set<Integer> types = new TreeSet<>();
            for (String type : values.list(prefix + "." + i + ".types", "")) {
                int number = type.equals("ANY") ? Rr.ANY : Types.number(type);
                if (number < 0) {
                    throw new InvalidConfigException(
                            "store "
                                    + prefix
                                    + "."
                                    + i
                                    + ".types: expected record types, found "
                                    + type);
                }
                types.add(number);
            }
            grants.add(new UpdateGrant(key, List.copyOf(names), types));
        }
        return List.copyOf(grants);
    }

    private static List<ZonesConfig.Peer> peers(
            ConfigValues values, String prefix, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        List<ZonesConfig.Peer> peers = new ArrayList<>();
        for (int i = 0; i < values.count(prefix); i++) {
            peers.add(
                    new ZonesConfig.Peer(
                            values.loopbackAddress(prefix + "." + i + ".address"),
                            keyName(values, prefix + "." + i + ".key", keys)));
        }
        return List.copyOf(peers);
    }

    private static String keyName(ConfigValues values, String setting, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        String configuredName = values.get(setting);
        String name = configuredName == null ? null : Names.parse(configuredName, ".");
        if (configuredName != null && !keys.containsKey(name)) {
            throw values.invalid(
                    setting, "expected a key of dns.key_files, found " + configuredName);
        }
        return name;
    }

    private static AccessList accessList(
            ConfigValues values, String setting, String defaultEntries, Map<String, Tsig.Key> keys)
            throws InvalidConfigException {
        List<String> entries = values.list(setting, defaultEntries);
        for (String entry : entries) {
            if (entry.startsWith("key:")
                    && !keys.containsKey(Names.parse(entry.substring(4), "."))) {
                throw values.invalid(setting, "expected a key of dns.key_files, found " + entry);
            }
        }
        try {
            return AccessList.parse(entries);
        } catch (IllegalArgumentException e) {
            throw values.invalid(setting, e.getMessage());
        }
    }

    private static String origin(ConfigValues values, String setting)
            throws InvalidConfigException {
        String text = values.required(setting);
        String origin = Names.parse(text, ".");
        if (origin == null || origin.equals(".")) {
            throw values.invalid(setting, "expected a domain name, found " + text);
        }
        return origin;
    }

    private static Path readableFile(ConfigValues values, String setting)
            throws InvalidConfigException {
        Path file = Path.of(values.required(setting));
        if (!Files.isReadable(file)) {
            throw values.invalid(setting, "cannot be read: " + file);
        }
        return file;
    }
}
