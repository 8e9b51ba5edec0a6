package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The reports of one source by set. Owned by the view and used on its thread; times are Unix
 * milliseconds.
 */
final class EndpointSource {
    private static final long NOT_EMPTY = -1;

    /** The reports of a set; while an empty set is in its grace period, its last reports. */
    private static final class ReportSet {
        List<EndpointReport> reports = List.of();
        long emptySince = NOT_EMPTY;

        boolean isInGrace() {
            return emptySince != NOT_EMPTY;
        }
    }

    private final String name;
    private final int rank;
    private final Map<String, ReportSet> sets = new TreeMap<>();
    private boolean observed;
    private boolean expired;

    EndpointSource(String name, int rank) {
        this.name = name;
        this.rank = rank;
    }

    String name() {
        return name;
    }

    /** Returns the rank among the sources; 0 is the highest rank. */
    int rank() {
        return rank;
    }

    boolean isExpired() {
        return expired;
    }

    /** Returns whether the source has been observed since the start and has not expired. */
    boolean isReporting() {
        return observed && !expired;
    }

    void expire() {
        expired = true;
        sets.clear();
    }

    /** Replaces all reports, and starts the grace periods of sets that became empty. */
    void update(
            long now,
            List<EndpointReport> reports,
            long emptyGraceMs,
            EndpointChangeLog changeLog) {
        observed = true;
        expired = false;
        Map<String, List<EndpointReport>> bySet = new TreeMap<>();
        for (EndpointReport report : reports) {
            bySet.computeIfAbsent(report.set(), set -> new ArrayList<>()).add(report);
        }
        Set<String> setNames = new TreeSet<>(bySet.keySet());
        setNames.addAll(sets.keySet());
        for (String setName : setNames) {
            ReportSet set = sets.computeIfAbsent(setName, key -> new ReportSet());
            List<EndpointReport> listed = bySet.get(setName);
            if (listed != null) {
                if (set.isInGrace()) {
                    changeLog.log(
                            name
                                    + ": "
                                    + setName
                                    + " lists searchers again after "
                                    + (now - set.emptySince)
                                    + " ms");
                }
                set.reports = List.copyOf(listed);
                set.emptySince = NOT_EMPTY;
            } else if (!set.isInGrace() && !set.reports.isEmpty()) {
                set.emptySince = now;
                changeLog.log(
                        name
                                + ": "
                                + setName
                                + " lists nothing; its "
                                + set.reports.size()
                                + " searchers are kept for "
                                + emptyGraceMs
                                + " ms");
            }
        }
    }

    /** Rule 3: drops the sets whose grace period is over; returns the end of the next one. */
    long dropEmptySets(long now, long emptyGraceMs) {
        long next = Long.MAX_VALUE;
        for (ReportSet set : sets.values()) {
            if (set.isInGrace()) {
                long graceEnd = set.emptySince + emptyGraceMs;
                if (now >= graceEnd) {
                    set.reports = List.of();
                } else {
                    next = Math.min(next, graceEnd);
                }
            }
        }
        sets.values().removeIf(set -> set.reports.isEmpty());
        return next;
    }

    /** Returns all reports of the source by the names of the searchers. */
    Map<String, List<EndpointReport>> reportsByName() {
        Map<String, List<EndpointReport>> byName = new TreeMap<>();
        for (ReportSet set : sets.values()) {
            for (EndpointReport report : set.reports) {
                byName.computeIfAbsent(report.name(), key -> new ArrayList<>()).add(report);
            }
        }
        return byName;
    }

    /** Adds the names of all searchers that the source lists to a set. */
    void addNamesTo(Set<String> names) {
        for (ReportSet set : sets.values()) {
            for (EndpointReport report : set.reports) {
                names.add(report.name());
            }
        }
    }
}
