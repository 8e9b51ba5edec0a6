package reeldeal.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Server;

/**
 * The listed searchers by name and by the id that the decision module knows them by. An id is
 * computed from the name, so that it is the same at every broker.
 */
final class SearcherDirectory {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Bits of the hash that are dropped: an id has 52 bits. */
    private static final int ID_SHIFT = 12;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<Long, Searcher> searchers = new HashMap<>();
    private final Map<String, Long> ids = new HashMap<>();
    private double restartedAtMs = Double.NEGATIVE_INFINITY;
    private String restartedZone = "";

    /** An empty directory; zones and kinds are the settings' names for their indexes. */
    SearcherDirectory(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * A searcher at which nothing more may be started.
     *
     * @param withdrawSends whether the current tick's sends to it are withdrawn as well; not where
     *     it only has another address
     */
    record Stopped(Searcher searcher, long id, boolean withdrawSends) {}

    /** What a change means for connections, in order, and for the decision module. */
    record Change(List<Stopped> stopped, List<Server> servers) {}

    /** Takes a new list, or changes of it. */
    Change update(EndpointListKind kind, List<Searcher> entries) {
        List<Stopped> stopped = new ArrayList<>();
        if (kind == EndpointListKind.COMPLETE) {
            removeMissing(entries, stopped);
        }
        List<Server> servers = new ArrayList<>();
        for (Searcher entry : entries) {
            Searcher searcher = withAssumedStart(entry);
            long id = idOf(searcher.name());
            Searcher previous = searchers.put(id, searcher);
            if (previous != null && !previous.address().equals(searcher.address())) {
                stopped.add(new Stopped(previous, id, false));
            }
            if (searcher.state() == EndpointState.REMOVED) {
                stopped.add(remove(searcher));
            } else if (searcher.state() != EndpointState.READY) {
                stopped.add(new Stopped(searcher, id, true));
            }
            servers.add(toServer(searcher, id));
        }
        return new Change(stopped, servers);
    }

    private void removeMissing(List<Searcher> entries, List<Stopped> stopped) {
        Map<Long, Searcher> missing = new HashMap<>(searchers);
        entries.forEach(entry -> missing.remove(idOf(entry.name())));
        missing.values().forEach(searcher -> stopped.add(remove(searcher)));
    }

    /** Nothing of a removed searcher is kept: new ones come all day. */
    private Stopped remove(Searcher searcher) {
        long id = ids.remove(searcher.name());
        searchers.remove(id);
        return new Stopped(searcher, id, true);
    }

    private Server toServer(Searcher searcher, long id) {
        return new Server(
                id,
                Math.max(0, zones.indexOf(searcher.zone())),
                searcher.cell(),
                searcher.startedMs(),
                searcher.size(),
                Math.max(0, kinds.indexOf(searcher.kind())),
                searcher.state());
    }

    /**
     * After a power loss, takes searchers of a zone that are listed with an earlier start to have
     * started at this time.
     *
     * @param zone "" for all
     * @return whether this is later than what was assumed before, so that the searchers have to be
     *     listed again
     */
    boolean assumeRestart(double restartMs, String zone) {
        if (restartMs <= restartedAtMs) {
            return false;
        }
        restartedAtMs = restartMs;
        restartedZone = zone;
        return true;
    }

    private Searcher withAssumedStart(Searcher searcher) {
        boolean otherZone = !restartedZone.isEmpty() && !restartedZone.equals(searcher.zone());
        return searcher.startedMs() >= restartedAtMs || otherZone
                ? searcher
                : searcher.withStart(restartedAtMs);
    }

    /** The id of a name; a new one where the name is not listed. */
    private long idOf(String name) {
        Long existingId = ids.get(name);
        if (existingId != null) {
            return existingId;
        }
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        long id = hash >>> ID_SHIFT;
        while (ids.containsValue(id)) {
            id++;
        }
        ids.put(name, id);
        return id;
    }

    /** The searcher of this id, or null. */
    Searcher find(long id) {
        return searchers.get(id);
    }

    /** The id of a listed searcher, or null. */
    Long findId(String name) {
        return ids.get(name);
    }

    /** All searchers that are not removed. */
    List<Searcher> all() {
        return List.copyOf(searchers.values());
    }

    /** The names of these searchers, in order. */
    Set<String> namesOf(Set<Long> selectedIds) {
        Set<String> names = new TreeSet<>();
        ids.forEach(
                (name, id) -> {
                    if (selectedIds.contains(id)) {
                        names.add(name);
                    }
                });
        return names;
    }

    /** Entries that are remembered. */
    int size() {
        return searchers.size() + ids.size();
    }
}
