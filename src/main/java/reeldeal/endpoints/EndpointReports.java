package reeldeal.endpoints;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Pattern;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Names;
import reeldeal.dns.Rdata;
import reeldeal.dns.Rr;
import reeldeal.dns.RrSet;
import reeldeal.dns.Zone;

/**
 * Converts the data of a source to reports. In a zone, each SRV record (RFC 2782) at {@code
 * _searcher._tcp} or at a name below it gives a host and a port. The host's A records (AAAA records
 * if it has no A record) give its address, and its TXT strings the attributes: {@code cell=0},
 * {@code zone=a}, {@code type=m2}, {@code status=draining}, {@code since_ms=0}, {@code size=1}.
 * Stateless; may be called by any thread that may read the zone.
 */
public final class EndpointReports {
    /** Name, relative to the origin of a zone, at and below which the searchers are listed. */
    public static final String SERVICE = "_searcher._tcp.";

    private static final String DISCOVERY_SET = "discovery";
    private static final int MAX_CELL = 65_535;

    // Offsets in an SRV record's data.
    private static final int SRV_PRIORITY = 0;
    private static final int SRV_WEIGHT = 2;
    private static final int SRV_PORT = 4;
    private static final int SRV_TARGET = 6;

    /** The SRV target that means that the service is not available (RFC 2782). */
    private static final String NO_SERVICE = ".";

    private EndpointReports() {}

    /**
     * Returns the reports of a zone. The cost grows with the number of searchers listed, not with
     * the size of the zone.
     */
    public static List<EndpointReport> parse(Zone zone) {
        List<EndpointReport> reports = new ArrayList<>();
        for (Zone.OwnedRrSet placed : zone.setsBelow(SERVICE + zone.origin)) {
            if (placed.type() == Rr.SRV) {
                for (byte[] srv : placed.set().data()) {
                    String host = Names.text(srv, SRV_TARGET);
                    if (!host.equals(NO_SERVICE)) {
                        reports.add(toReport(zone, placed.name(), srv, host));
                    }
                }
            }
        }
        return reports;
    }

    private static EndpointReport toReport(Zone zone, String set, byte[] srv, String host) {
        HostAttributes attributes = new HostAttributes(zone.get(host, Rr.TXT));
        return new EndpointReport(
                set,
                host,
                addresses(zone, host, unsignedShort(srv, SRV_PORT)),
                unsignedShort(srv, SRV_PRIORITY),
                unsignedShort(srv, SRV_WEIGHT),
                List.copyOf(attributes.cells),
                attributes.zone,
                attributes.kind,
                attributes.startedMs,
                attributes.size,
                attributes.state,
                zone.types(host).length == 0);
    }

    private static List<String> addresses(Zone zone, String host, int port) {
        List<String> addresses = addresses(zone.get(host, Rr.A), Rr.A, port);
        return addresses.isEmpty() ? addresses(zone.get(host, Rr.AAAA), Rr.AAAA, port) : addresses;
    }

    private static List<String> addresses(RrSet records, int type, int port) {
        List<String> addresses = new ArrayList<>();
        if (records != null) {
            for (byte[] data : records.data()) {
                addresses.add(Rdata.format(type, data) + ":" + port);
            }
        }
        return List.copyOf(addresses);
    }

    private static int unsignedShort(byte[] data, int offset) {
        return ByteBuffer.wrap(data).getShort(offset) & 0xffff;
    }

    /** The attributes in a host's TXT strings; malformed values are ignored. */
    private static final class HostAttributes {
        private static final Pattern CELL = Pattern.compile("[0-9]{1,5}");
        private static final Pattern TIME = Pattern.compile("[0-9]{1,15}");
        private static final Pattern SIZE = Pattern.compile("[0-9]{1,4}(\\.[0-9]{1,4})?");

        final TreeSet<Integer> cells = new TreeSet<>();
        String zone = "";
        String kind = "";
        double startedMs;
        double size = 1;
        EndpointState state = EndpointState.READY;

        HostAttributes(RrSet txtRecords) {
            if (txtRecords != null) {
                txtRecords.data().forEach(this::readStrings);
            }
        }

        /** Reads the strings of one TXT record, each of which begins with a length byte. */
        private void readStrings(byte[] data) {
            int offset = 0;
            while (offset < data.length) {
                int length = data[offset] & 0xff;
                String string = new String(data, offset + 1, length, StandardCharsets.UTF_8);
                int equalsSign = string.indexOf('=');
                if (equalsSign > 0) {
                    read(
                            string.substring(0, equalsSign).trim(),
                            string.substring(equalsSign + 1).trim());
                }
                offset += 1 + length;
            }
        }

        private void read(String key, String value) {
            switch (key) {
                case "cell" -> readCell(value);
                case "zone" -> zone = value;
                case "type" -> kind = value;
                case "since_ms" -> readStart(value);
                case "size" -> readSize(value);
                case "status" -> readStatus(value);
                default -> {} // other programs may use other attributes in the same zone
            }
        }

        private void readCell(String value) {
            if (CELL.matcher(value).matches() && Integer.parseInt(value) <= MAX_CELL) {
                cells.add(Integer.parseInt(value));
            }
        }

        private void readStart(String value) {
            if (TIME.matcher(value).matches()) {
                startedMs = Math.max(startedMs, Double.parseDouble(value));
            }
        }

        private void readSize(String value) {
            if (SIZE.matcher(value).matches() && Double.parseDouble(value) > 0) {
                size = Double.parseDouble(value);
            }
        }

        /**
         * Reads a status. Every value except "ready" means draining; if several values differ,
         * draining takes precedence because it is the safer choice.
         */
        private void readStatus(String value) {
            if (!value.equals("ready")) {
                state = EndpointState.DRAINING;
            }
        }
    }

    /** Converts a searcher from discovery to a report; returns null if it is removed. */
    static EndpointReport fromDiscovery(Searcher searcher) {
        if (searcher.state() == EndpointState.REMOVED) {
            return null;
        }
        return new EndpointReport(
                DISCOVERY_SET,
                searcher.name(),
                List.of(searcher.address()),
                0,
                0,
                List.of(searcher.cell()),
                searcher.zone(),
                searcher.kind(),
                searcher.startedMs(),
                searcher.size(),
                searcher.state(),
                false);
    }
}
