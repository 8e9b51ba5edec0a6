package reeldeal.dns;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.core.Searcher;
import reeldeal.decide.Aggregator.Listed;

/**
 * The searchers that a zone names: each SRV record of {@code _searcher._tcp} gives a host and a port, the
 * host's A record its address, and its TXT strings the rest, as {@code cell=0}, {@code zone=a},
 * {@code type=m2}, {@code status=draining}, {@code since_ms=0}. A host that lacks any of it is passed over.
 */
final class SearcherZone {
    private SearcherZone() { }

    static List<Searcher> searchers(Zone zone) {
        List<Searcher> all = new ArrayList<>();
        Zone.RrSet services = zone.get("_searcher._tcp." + zone.origin, Rr.SRV);
        for (byte[] service : services == null ? List.<byte[]>of() : services.data()) {
            int port = ByteBuffer.wrap(service).getShort(4) & 0xffff;
            StringBuilder host = new StringBuilder();
            for (int at = 6; service[at] != 0; at += 1 + service[at]) {
                Names.label(host, service, at + 1, service[at]);
            }
            Zone.RrSet address = zone.get(host.toString(), Rr.A);
            Map<String, String> told = strings(zone.get(host.toString(), Rr.TXT));
            String cell = told.getOrDefault("cell", "");
            if (address == null || !cell.matches("[0-9]{1,5}")) {
                continue;
            }
            byte[] a = address.data().get(0);
            String since = told.getOrDefault("since_ms", "0");
            all.add(new Searcher(host.toString(), (a[0] & 0xff) + "." + (a[1] & 0xff) + "." + (a[2] & 0xff) + "."
                    + (a[3] & 0xff) + ":" + port, told.getOrDefault("zone", ""), told.getOrDefault("type", ""),
                    Integer.parseInt(cell), since.matches("[0-9]{1,15}") ? Double.parseDouble(since) : 0, 1,
                    told.getOrDefault("status", "ready").equals("ready") ? Listed.READY : Listed.DRAINING));
        }
        return all;
    }

    private static Map<String, String> strings(Zone.RrSet texts) {
        Map<String, String> told = new HashMap<>();
        for (byte[] data : texts == null ? List.<byte[]>of() : texts.data()) {
            for (int at = 0; at < data.length; at += 1 + (data[at] & 0xff)) {
                String string = new String(data, at + 1, data[at] & 0xff, StandardCharsets.UTF_8);
                int eq = string.indexOf('=');
                if (eq > 0) {
                    told.put(string.substring(0, eq), string.substring(eq + 1));
                }
            }
        }
        return told;
    }
}
