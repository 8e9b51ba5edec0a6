package reeldeal.fleet.disruption;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import reeldeal.fleet.DisruptionPolicy;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.KnownSearcher;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.disruption.DisruptionBudget.Observations;
import reeldeal.fleet.disruption.DisruptionBudget.ShardLayout;

/**
 * Determines which members are out of service, and whether they are more than the {@link
 * DisruptionPolicy} allows. A violation is one line with the limit that is exceeded and the members
 * or the group that exceed it, or null if no limit is exceeded.
 */
public class BudgetLimits {
    private static final int MAX_NAMES_SHOWN = 5;

    /** Returns the brokers that are or may be out: with a permit, or not in the state SERVING. */
    public Set<String> brokersOut(FleetView fleet) {
        Set<String> out = new TreeSet<>(fleet.permits(Kind.BROKER).keySet());
        fleet.members().values().stream()
                .filter(member -> !member.isServing())
                .forEach(member -> out.add(member.name()));
        return out;
    }

    /**
     * Returns the searchers that are or may be out: with a permit, missing from the endpoint list,
     * draining in it, or ejected. The list must be known.
     */
    public Set<String> searchersOut(FleetView fleet, Observations observations) {
        Set<String> out = new TreeSet<>(fleet.permits(Kind.SEARCHER).keySet());
        fleet.searchers().keySet().stream()
                .filter(name -> !isServing(observations.searchers().get(name)))
                .forEach(out::add);
        return out;
    }

    private static boolean isServing(ObservedSearcher searcher) {
        return searcher != null && searcher.isServing();
    }

    /**
     * Returns the limit that is exceeded if a member went out without a permit granted beforehand.
     * If all members that are out have such permits, the policy was tightened after the grants;
     * this is no violation, since the members will return and no more permits are granted
     * meanwhile.
     */
    public String violation(FleetView fleet, Observations observations) {
        Set<String> brokersOut = brokersOut(fleet);
        if (anyUnplanned(fleet.permits(Kind.BROKER), brokersOut)) {
            String violation = brokerViolation(fleet, brokersOut);
            if (violation != null) {
                return violation;
            }
        }
        if (observations.searchers() == null) {
            return null;
        }
        Set<String> searchersOut = searchersOut(fleet, observations);
        return anyUnplanned(fleet.permits(Kind.SEARCHER), searchersOut)
                ? searcherViolation(fleet, observations, searchersOut)
                : null;
    }

    private static boolean anyUnplanned(Map<String, Permit> permits, Set<String> out) {
        return out.stream()
                .anyMatch(name -> !permits.containsKey(name) || !permits.get(name).planned());
    }

    /** Returns the limit that is exceeded while these brokers are out. */
    protected String brokerViolation(FleetView fleet, Set<String> out) {
        DisruptionPolicy policy = fleet.policy();
        long allowed = DisruptionPolicy.resolveLimit(policy.brokersOut(), fleet.members().size());
        if (out.size() > allowed) {
            return out.size() + " brokers out, " + allowed + " allowed: " + abbreviatedList(out);
        }
        return groupViolation(
                "brokers out of zone", out, policy.brokersZoneOut(), fleet.members(), Member::zone);
    }

    /** Returns the limit that is exceeded while these searchers are out. */
    String searcherViolation(FleetView fleet, Observations observations, Set<String> out) {
        DisruptionPolicy policy = fleet.policy();
        Map<String, KnownSearcher> all = fleet.searchers();
        long allowed = DisruptionPolicy.resolveLimit(policy.searchersOut(), all.size());
        if (out.size() > allowed) {
            return out.size() + " searchers out, " + allowed + " allowed: " + abbreviatedList(out);
        }
        return Stream.of(
                        groupViolation(
                                "searchers out of zone",
                                out,
                                policy.searchersZoneOut(),
                                all,
                                KnownSearcher::zone),
                        groupViolation(
                                "searchers out of kind",
                                out,
                                policy.searchersKindOut(),
                                all,
                                KnownSearcher::kind),
                        groupViolation(
                                "searchers out of set",
                                out,
                                policy.searchersSetOut(),
                                all,
                                searcher -> "cell-" + searcher.cell()))
                .filter(Objects::nonNull)
                .findFirst()
                .orElseGet(() -> shardViolation(fleet, observations, out));
    }

    /**
     * Returns a violation for the first shard that would have fewer warm, serving searchers than
     * the policy requires.
     */
    private static String shardViolation(
            FleetView fleet, Observations observations, Set<String> out) {
        ShardLayout layout = observations.shards();
        if (layout.shards() == 0 || layout.cells() == 0) {
            return null;
        }
        long[] warmByCell = warmSearchersByCell(observations, out);
        long required = fleet.policy().minWarmSearchersPerShard();
        for (int shard = 0; shard < Math.min(layout.shards(), layout.cells()); shard++) {
            long replicas = 0;
            for (int offset = 0; offset < layout.consecutiveCells(); offset++) {
                replicas += warmByCell[(shard + offset) % layout.cells()];
            }
            if (replicas < required) {
                return "shard "
                        + shard
                        + " would have "
                        + replicas
                        + " warm searchers, "
                        + required
                        + " required";
            }
        }
        return null;
    }

    private static long[] warmSearchersByCell(Observations observations, Set<String> out) {
        long[] warmByCell = new long[observations.shards().cells()];
        for (ObservedSearcher searcher : observations.searchers().values()) {
            boolean knownCell = searcher.cell() >= 0 && searcher.cell() < warmByCell.length;
            if (knownCell
                    && searcher.isServing()
                    && searcher.warm()
                    && !out.contains(searcher.name())) {
                warmByCell[searcher.cell()]++;
            }
        }
        return warmByCell;
    }

    /**
     * Returns why the store would lose its majority. With one or two voters, every restart loses
     * the majority, and is allowed nevertheless.
     */
    static String quorumViolation(Set<String> voters, String name, Set<String> out) {
        long remaining = voters.stream().filter(voter -> !out.contains(voter)).count();
        int majority = voters.size() / 2 + 1;
        if (!voters.contains(name) || voters.size() <= 2 || remaining >= majority) {
            return null;
        }
        return name
                + " is a voter of the store, and "
                + remaining
                + " of "
                + voters.size()
                + " voters would remain, "
                + majority
                + " required";
    }

    /**
     * Returns a violation for the first group, such as a zone, with more members out than the limit
     * allows.
     */
    private static <T> String groupViolation(
            String description,
            Set<String> out,
            String limit,
            Map<String, T> all,
            Function<T, String> groupOf) {
        Map<String, Long> sizes = new TreeMap<>();
        all.values().forEach(member -> sizes.merge(groupOf.apply(member), 1L, Long::sum));
        Map<String, Long> outByGroup = new TreeMap<>();
        out.stream()
                .map(all::get)
                .filter(Objects::nonNull)
                .forEach(member -> outByGroup.merge(groupOf.apply(member), 1L, Long::sum));
        for (Map.Entry<String, Long> group : outByGroup.entrySet()) {
            long allowed = DisruptionPolicy.resolveLimit(limit, sizes.get(group.getKey()));
            if (group.getValue() > allowed) {
                return group.getValue()
                        + " "
                        + description
                        + " "
                        + group.getKey()
                        + ", "
                        + allowed
                        + " allowed";
            }
        }
        return null;
    }

    private static String abbreviatedList(Set<String> names) {
        return names.stream().limit(MAX_NAMES_SHOWN).collect(Collectors.joining(" "))
                + (names.size() > MAX_NAMES_SHOWN ? " ..." : "");
    }
}
