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
 * The listed searchers, by their names and by the ids that the decision module uses for them. An id
 * is computed from the name, so that it is the same at every broker.
 */
final class SearcherDirectory {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Number of low bits of the 64-bit hash that are dropped, since an id has 52 bits. */
    private static final int ID_SHIFT = 12;

    /** The most time that passes between a start and the list of changes that tells it, in ms. */
    static final double MAX_TOLD_AGE_MS = 15_000;

    /** The earliest start that is told; 0 means long ago. */
    private static final double EARLIEST_START_MS = 1;

    /** A start as the list tells it, and as this broker takes it. */
    private record Start(double listedMs, double believedMs) {}

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<Long, Searcher> searchers = new HashMap<>();
    private final Map<String, Long> ids = new HashMap<>();
    private final Map<String, Start> starts = new HashMap<>();
    private double restartedAtMs = Double.NEGATIVE_INFINITY;
    private String restartedZone = "";

    /**
     * Creates an empty directory.
     *
     * @param zones names of the zones, in the order of their indexes in the settings
     * @param kinds names of the kinds of searchers, in the order of their indexes in the settings
     */
    SearcherDirectory(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * A searcher to which nothing more may be sent at its present address.
     *
     * @param withdrawSends whether the current tick's sends to it are withdrawn as well; false if
     *     only its address has changed, since the sends then go to the new address
     */
    record Stopped(Searcher searcher, long id, boolean withdrawSends) {}

    /**
     * The result of an update.
     *
     * @param stopped searchers to which nothing more may be sent, in the order of the changes
     * @param servers the changed searchers in the form of the decision module
     */
    record Change(List<Stopped> stopped, List<Server> servers) {}

    /**
     * Applies a new list, or changes to the present one.
     *
     * @param nowMs present time of the broker's clock, which may differ from that of the list
     */
    Change update(EndpointListKind kind, List<Searcher> entries, double nowMs) {
        for (Searcher entry : entries) {
            believeStart(kind, entry, nowMs);
        }
        return apply(kind, entries);
    }

    /** Applies the present list again, after an assumed restart. */
    Change reapply() {
        return apply(EndpointListKind.CHANGES, all());
    }

    /**
     * Limits a start to what this broker's clock allows: not in the future, and recent if this is
     * the first that the broker hears of it. Otherwise a clock that is wrong by an hour would hide
     * a searcher's slow start, or prolong it.
     */
    private void believeStart(EndpointListKind kind, Searcher entry, double nowMs) {
        Start known = starts.get(entry.name());
        boolean startedLongAgo = entry.startedMs() <= 0;
        if (startedLongAgo || (known != null && known.listedMs() == entry.startedMs())) {
            return;
        }
        boolean told = kind == EndpointListKind.CHANGES || ids.containsKey(entry.name());
        double earliestMs = told ? nowMs - MAX_TOLD_AGE_MS : Double.NEGATIVE_INFINITY;
        double latestMs = Math.max(nowMs, EARLIEST_START_MS);
        double believedMs = Math.min(latestMs, Math.max(earliestMs, entry.startedMs()));
        starts.put(entry.name(), new Start(entry.startedMs(), believedMs));
    }

    private double believedStart(Searcher searcher) {
        Start start = starts.get(searcher.name());
        return start != null && start.listedMs() == searcher.startedMs()
                ? start.believedMs()
                : searcher.startedMs();
    }

    private Change apply(EndpointListKind kind, List<Searcher> entries) {
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

    /** Drops all state of a searcher; new names appear all the time, and would fill the memory. */
    private Stopped remove(Searcher searcher) {
        starts.remove(searcher.name());
        long id = ids.remove(searcher.name());
        searchers.remove(id);
        return new Stopped(searcher, id, true);
    }

    private Server toServer(Searcher searcher, long id) {
        return new Server(
                id,
                Math.max(0, zones.indexOf(searcher.zone())),
                searcher.cell(),
                believedStart(searcher),
                searcher.size(),
                Math.max(0, kinds.indexOf(searcher.kind())),
                searcher.state());
    }

    /**
     * Assumes after a power loss that all searchers of a zone started at this time or later. A
     * searcher that is listed with an earlier start gets this time as its start.
     *
     * @param restartMs the earliest start time that is believed
     * @param zone the zone that lost power; "" for all zones
     * @return whether this time is later than the one assumed before, so that the caller must apply
     *     the list of searchers again
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

    /** Returns the id of a name, and assigns one if the name is not listed. */
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

    /** Returns the searcher with this id, or null. */
    Searcher find(long id) {
        return searchers.get(id);
    }

    /** Returns the id of a listed searcher, or null. */
    Long findId(String name) {
        return ids.get(name);
    }

    /** Returns all listed searchers; removed ones are not listed. */
    List<Searcher> all() {
        return List.copyOf(searchers.values());
    }

    /** Returns the names of the searchers with these ids, in alphabetical order. */
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

    /** Returns the number of entries in both maps, which tests check for leaks. */
    int size() {
        return searchers.size() + ids.size();
    }
}
