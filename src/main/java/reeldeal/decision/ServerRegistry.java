package reeldeal.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Server;

/** The servers of the endpoint list, by id, by cell and as replicas of each shard. */
final class ServerRegistry {
    private final EventClock clock;
    private final Layout layout;
    private final double retentionMs;
    private final TreeMap<Long, ServerState> servers = new TreeMap<>();
    private final List<List<ServerState>> cells = new ArrayList<>();
    private final List<List<ServerState>> replicas = new ArrayList<>();

    /**
     * Creates an empty registry.
     *
     * @param retentionMs time for which the state of a server that is not ready is kept
     */
    ServerRegistry(EventClock clock, Layout layout, double retentionMs) {
        this.clock = clock;
        this.layout = layout;
        this.retentionMs = retentionMs;
        for (int cell = 0; cell < layout.cells(); cell++) {
            cells.add(new ArrayList<>());
            replicas.add(new ArrayList<>());
        }
    }

    /** Applies an endpoint list or changes to it; not for {@link EndpointListKind#FAILED}. */
    void update(EndpointListKind kind, List<Server> entries) {
        if (kind != EndpointListKind.CHANGES) {
            servers.values().forEach(server -> server.ready = false);
        }
        for (Server entry : entries) {
            ServerState server = servers.get(entry.id());
            if (server == null || server.listEntry.startedMs() != entry.startedMs()) {
                // A new process has none of the old one's work, and its health is unknown.
                server = new ServerState(entry.id(), server == null);
                servers.put(entry.id(), server);
            }
            server.listEntry = entry;
            // Draining servers get no new work from now on; the grace period is not used.
            server.ready = entry.state() == EndpointState.READY;
        }
        removeExpired();
        rebuildCells();
    }

    /**
     * Removes servers that have not been ready for the retention time. A server may return, so its
     * state is kept for a while; new servers keep appearing, so no state is kept forever.
     */
    private void removeExpired() {
        double now = clock.now();
        servers.values()
                .forEach(
                        server ->
                                server.notReadySinceMs =
                                        server.ready
                                                ? Double.MAX_VALUE
                                                : Math.min(server.notReadySinceMs, now));
        servers.values()
                .removeIf(
                        server ->
                                server.inFlight.isEmpty()
                                        && server.notReadySinceMs + retentionMs < now);
    }

    private void rebuildCells() {
        cells.forEach(List::clear);
        for (ServerState server : servers.values()) {
            if (server.ready && server.listEntry.cell() < cells.size()) {
                cells.get(server.listEntry.cell()).add(server);
            }
        }
        for (int cell = 0; cell < cells.size(); cell++) {
            replicas.get(cell).clear();
            for (int offset = 0; offset < layout.replicas(); offset++) {
                replicas.get(cell).addAll(cells.get((cell + offset) % cells.size()));
            }
        }
    }

    /** Returns all servers in the registry in order of id, whether ready or not. */
    Collection<ServerState> servers() {
        return servers.values();
    }

    /** Returns the server with this id, or null. */
    ServerState find(long id) {
        return servers.get(id);
    }

    /** Returns the first of the consecutive cells that hold a shard. */
    int cellOf(int shard) {
        return Math.floorMod(shard, cells.size());
    }

    /** Returns the ready servers that hold this shard. */
    List<ServerState> replicasOf(int shard) {
        return replicas.get(cellOf(shard));
    }

    /** Returns the ready servers of a cell; its number is taken modulo the number of cells. */
    List<ServerState> cell(int cell) {
        return cells.get(Math.floorMod(cell, cells.size()));
    }

    /** Returns how many cells on either side share shards with a cell, each counted once. */
    int neighbourCells() {
        return Math.min(layout.replicas() - 1, (cells.size() - 1) / 2);
    }
}
