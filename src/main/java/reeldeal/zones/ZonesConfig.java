package reeldeal.zones;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reeldeal.dns.Tsig;
import reeldeal.endpoints.EndpointView;

/**
 * The configuration of the zone service.
 *
 * @param listen the address on which it listens, over UDP and TCP
 * @param zones the zones that it serves
 * @param keys the TSIG keys by name
 * @param maxConnections the limit of open TCP connections, 1 to 10,000
 * @param idleMs how long an idle TCP connection stays open, in ms
 * @param rules the rules by which the endpoint view lists searchers
 * @param overridesFile the file with the administrative overrides for searchers, or null
 */
public record ZonesConfig(
        InetSocketAddress listen,
        List<Entry> zones,
        Map<String, Tsig.Key> keys,
        int maxConnections,
        long idleMs,
        EndpointView.Rules rules,
        Path overridesFile) {

    /** A primary or secondary server, and the name of the key for messages with it, or null. */
    public record Peer(InetSocketAddress address, String key) {}

    /**
     * The configuration of one zone.
     *
     * @param origin the zone's name
     * @param file the zone file that is loaded if the store does not have the zone; null for a
     *     secondary zone
     * @param primaries the servers from which a secondary zone is transferred; empty for a primary
     *     zone
     * @param secondaries the servers to notify of changes
     * @param queryAccess who may query the zone
     * @param transferAccess who may transfer the zone
     * @param updateAccess who may update the zone
     * @param grants restrict what signed updates may change; if empty, a permitted update may
     *     change any record
     * @param searchers whether the zone lists searchers
     * @param maxJournalRecords how many records of changes are kept for incremental transfers, 0 to
     *     10 million
     * @param maxRecords the limit of records in the zone
     */
    public record Entry(
            String origin,
            Path file,
            List<Peer> primaries,
            List<Peer> secondaries,
            AccessList queryAccess,
            AccessList transferAccess,
            AccessList updateAccess,
            List<UpdateGrant> grants,
            boolean searchers,
            int maxJournalRecords,
            int maxRecords) {
        /** Returns whether the zone is a copy that is transferred from primaries. */
        boolean secondary() {
            return !primaries.isEmpty();
        }
    }
}
