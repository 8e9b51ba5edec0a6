package reeldeal.fleet.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.disruption.ObservedSearcher;

/**
 * Collects from the brokers' heartbeats which searchers each broker has ejected as outliers. A
 * searcher counts as ejected if more than half of the brokers with a lease have ejected it: the
 * report of a single broker may be due to a fault of its connection to a healthy searcher. Used on
 * the state loop.
 */
final class EjectionReports {
    private final Map<String, Set<String>> ejectedByBroker = new HashMap<>();

    void clear() {
        ejectedByBroker.clear();
    }

    void record(String broker, Set<String> ejected) {
        ejectedByBroker.put(broker, ejected);
    }

    /** Returns the searchers with {@link ObservedSearcher#ejected} set by the members' reports. */
    Map<String, ObservedSearcher> withReportedEjections(
            Map<String, ObservedSearcher> searchers, Collection<Member> members) {
        if (ejectedByBroker.isEmpty()) {
            return searchers;
        }
        long leaseHolders = members.stream().filter(Member::hasLease).count();
        Map<String, ObservedSearcher> updated = new HashMap<>();
        searchers.forEach(
                (name, searcher) -> {
                    boolean isEjectedByMost =
                            2 * countEjectingBrokers(name, members) > leaseHolders;
                    updated.put(name, searcher.withEjected(isEjectedByMost));
                });
        return updated;
    }

    private long countEjectingBrokers(String searcher, Collection<Member> members) {
        return members.stream()
                .filter(Member::hasLease)
                .filter(
                        member ->
                                ejectedByBroker
                                        .getOrDefault(member.name(), Set.of())
                                        .contains(searcher))
                .count();
    }
}
