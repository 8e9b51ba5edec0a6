package reeldeal.fleet.disruption;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.KnownSearcher;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;

/**
 * Grants and releases permits to go out of service. A holder counts as out from the grant until
 * there is {@link ReturnEvidence}; a member that went out without a permit counts too. No permit is
 * released because of elapsed time: times only delay grants.
 *
 * <p>Protected methods, here and in {@link BudgetLimits} and {@link ReturnEvidence}, are rules that
 * the simulation overrides with broken ones, to verify that it detects them.
 */
public class DisruptionBudget {
    private final BudgetLimits limits;
    private final ReturnEvidence evidence;

    /** Creates a budget with the production rules. */
    public DisruptionBudget() {
        this(new BudgetLimits(), new ReturnEvidence());
    }

    /** Creates a budget with the given rules. */
    public DisruptionBudget(BudgetLimits limits, ReturnEvidence evidence) {
        this.limits = limits;
        this.evidence = evidence;
    }

    /**
     * The assignment of shards to cells: shard s is held by the cells {@code (s + j) mod cells} for
     * each j below {@code consecutiveCells}.
     *
     * @param shards the number of shards, 0 if the layout is not known
     */
    public record ShardLayout(int shards, int cells, int consecutiveCells) {}

    /**
     * The observations of the deciding node that are not in the store.
     *
     * @param searchers the endpoint list by name; null if it is not known yet, in which case no
     *     decision about searchers is made
     * @param shards the assignment of shards to cells
     * @param voters the voters of the store, empty if they are irrelevant to the decision
     * @param sinceGrantMs how long ago this node saw the last grant, ms of its steady clock; at a
     *     leader, at most the time for which it has led
     */
    public record Observations(
            Map<String, ObservedSearcher> searchers,
            ShardLayout shards,
            Set<String> voters,
            long sinceGrantMs) {}

    /** The write that grants a permit, or the reason why it is rejected; the other one is null. */
    public record PermitDecision(ConditionalWrite write, String rejectionReason) {
        static PermitDecision reject(String reason) {
            return new PermitDecision(null, reason);
        }
    }

    /** Returns the limits that grants must not exceed. */
    public BudgetLimits limits() {
        return limits;
    }

    /** Returns the rules for evidence that a permit holder has returned. */
    public ReturnEvidence evidence() {
        return evidence;
    }

    // ---- grants ----

    /**
     * Decides whether a member may go out now. The write of a grant stores the permit and expects
     * all versions that the decision was based on.
     *
     * @param requestedBy see {@link Permit#requestedBy}
     */
    public PermitDecision grant(
            FleetView fleet,
            Observations observations,
            Kind kind,
            String name,
            String requestedBy,
            String reason) {
        Permit held = fleet.permits(kind).get(name);
        long minIntervalMs = fleet.policy().minGrantIntervalMs();
        if (held != null) {
            return PermitDecision.reject(name + " has a permit already: " + held.reason());
        } else if (observations.sinceGrantMs() < minIntervalMs) {
            return PermitDecision.reject(
                    "the last permit was granted "
                            + observations.sinceGrantMs()
                            + " ms ago, the minimum interval is "
                            + minIntervalMs
                            + " ms");
        }
        String rejection =
                kind == Kind.BROKER
                        ? brokerRejection(fleet, observations, name)
                        : searcherRejection(fleet, observations, name);
        if (rejection != null) {
            return PermitDecision.reject(rejection);
        }
        ConditionalWrite write =
                ConditionalWrite.withReason(
                                kind.lowerCase()
                                        + " "
                                        + name
                                        + " gets a permit to go out: "
                                        + reason)
                        .expect(FleetView.POLICY, fleet.version(FleetView.POLICY))
                        .expect(FleetView.permitKey(kind, name), 0);
        serializePermitChanges(fleet, write);
        if (kind == Kind.BROKER) {
            expectAllStates(fleet, write, name);
        }
        String mark = fleet.processMark(kind, name);
        write.put(
                FleetView.permitKey(kind, name),
                FleetCodec.encodePermit(mark, requestedBy, true, reason));
        return new PermitDecision(write, null);
    }

    private String brokerRejection(FleetView fleet, Observations observations, String name) {
        if (!fleet.members().containsKey(name)) {
            return "broker " + name + " has not registered";
        }
        Set<String> out = new HashSet<>(limits.brokersOut(fleet));
        out.add(name);
        String violation = limits.brokerViolation(fleet, out);
        return violation != null
                ? violation
                : BudgetLimits.quorumViolation(observations.voters(), name, out);
    }

    private String searcherRejection(FleetView fleet, Observations observations, String name) {
        if (observations.searchers() == null) {
            return "the endpoint list of searchers is not known yet";
        } else if (!fleet.searchers().containsKey(name)) {
            return "searcher " + name + " was never listed";
        }
        Set<String> out = new TreeSet<>(limits.searchersOut(fleet, observations));
        out.add(name);
        return limits.searcherViolation(fleet, observations, out);
    }

    /**
     * Adds the state of every member as a precondition: a member that lapses, registers or leaves
     * meanwhile invalidates the decision.
     */
    private static void expectAllStates(FleetView fleet, ConditionalWrite write, String name) {
        write.expect(FleetView.REGISTRATION + name, fleet.members().get(name).incarnation());
        for (Member member : fleet.members().values()) {
            write.expect(FleetView.STATE + member.name(), member.stateVersion());
        }
    }

    /** Serializes a write with all other writes that grant or release permits. */
    protected void serializePermitChanges(FleetView fleet, ConditionalWrite write) {
        write.expect(FleetView.PERMIT_SERIAL, fleet.version(FleetView.PERMIT_SERIAL))
                .put(FleetView.PERMIT_SERIAL, "");
    }

    // ---- observed returns and outages ----

    /**
     * Returns the write that releases a permit; it expects all versions that the evidence is based
     * on.
     *
     * @param returnEvidence the evidence that the holder has returned, for the log
     */
    public ConditionalWrite releasePermit(FleetView fleet, Permit permit, String returnEvidence) {
        String permitKey = FleetView.permitKey(permit.kind(), permit.name());
        String drainKey = FleetView.drainKey(permit.kind(), permit.name());
        ConditionalWrite write =
                ConditionalWrite.withReason(
                                permit.kind().lowerCase()
                                        + " "
                                        + permit.name()
                                        + " has returned: "
                                        + returnEvidence)
                        .expect(permitKey, permit.version());
        if (permit.kind() == Kind.BROKER) {
            Member member = fleet.members().get(permit.name());
            write.expect(FleetView.REGISTRATION + permit.name(), member.incarnation())
                    .expect(FleetView.STATE + permit.name(), member.stateVersion());
        }
        write.expect(drainKey, fleet.version(drainKey));
        serializePermitChanges(fleet, write);
        return write.put(permitKey, null);
    }

    /**
     * Returns the writes that are due now: releases of the permits of members that have returned,
     * entries of searchers that were listed or restarted, ends of drains of restarted searchers,
     * and permits for searchers that went out without one.
     */
    public List<ConditionalWrite> pendingWrites(FleetView fleet, Observations observations) {
        List<ConditionalWrite> writes = new ArrayList<>();
        addPermitReleases(writes, fleet, observations, Kind.BROKER);
        if (observations.searchers() != null) {
            addListedSearchers(writes, fleet, observations);
            addEndedDrains(writes, fleet, observations);
            addPermitReleases(writes, fleet, observations, Kind.SEARCHER);
            addUnplannedOutages(writes, fleet, observations);
        }
        return writes;
    }

    private void addPermitReleases(
            List<ConditionalWrite> writes, FleetView fleet, Observations observations, Kind kind) {
        for (Permit permit : fleet.permits(kind).values()) {
            String returnEvidence = evidence.findEvidence(fleet, observations, permit);
            if (returnEvidence != null && !isReleasedByRollout(fleet, kind, permit.name())) {
                writes.add(releasePermit(fleet, permit, returnEvidence));
            }
        }
    }

    /** Returns whether the rollout releases this permit itself, in the same write as a step. */
    private static boolean isReleasedByRollout(FleetView fleet, Kind kind, String name) {
        Step step = fleet.steps().get(name);
        return fleet.release() != null
                && fleet.release().kind() == kind
                && step != null
                && (step.stage() == Stage.RESTART || step.stage() == Stage.UNDRAIN);
    }

    private static void addListedSearchers(
            List<ConditionalWrite> writes, FleetView fleet, Observations observations) {
        for (ObservedSearcher observed : observations.searchers().values()) {
            KnownSearcher known = fleet.searchers().get(observed.name());
            long version = known == null ? 0 : known.version();
            KnownSearcher listed =
                    new KnownSearcher(
                            observed.name(),
                            observed.zone(),
                            observed.kind(),
                            observed.cell(),
                            observed.startedAtMs(),
                            version);
            if (observed.ready() && !listed.equals(known)) {
                String key = FleetView.SEARCHER + observed.name();
                writes.add(
                        ConditionalWrite.withReason(
                                        "searcher "
                                                + observed.name()
                                                + " was listed, process started at "
                                                + observed.startedAtMs())
                                .expect(key, version)
                                .put(key, FleetCodec.encode(listed)));
            }
        }
    }

    /** Removes the drains of restarted searchers: a drain applies to one process only. */
    private static void addEndedDrains(
            List<ConditionalWrite> writes, FleetView fleet, Observations observations) {
        for (String name : fleet.drainedSearchers()) {
            ObservedSearcher observed = observations.searchers().get(name);
            if (observed == null || !observed.ready()) {
                continue;
            }
            long drainedStart = Long.parseLong(fleet.drainMark(Kind.SEARCHER, name));
            if (observed.startedAtMs() > drainedStart) {
                String key = FleetView.drainKey(Kind.SEARCHER, name);
                writes.add(
                        ConditionalWrite.withReason(
                                        "searcher " + name + " was restarted, its drain ends")
                                .expect(key, fleet.version(key))
                                .put(key, null));
            }
        }
    }

    private void addUnplannedOutages(
            List<ConditionalWrite> writes, FleetView fleet, Observations observations) {
        for (KnownSearcher known : fleet.searchers().values()) {
            ObservedSearcher observed = observations.searchers().get(known.name());
            boolean listed = observed != null && observed.ready();
            if (listed || fleet.permits(Kind.SEARCHER).containsKey(known.name())) {
                continue;
            }
            String key = FleetView.permitKey(Kind.SEARCHER, known.name());
            String reason = observed == null ? "not listed any more" : "draining in the list";
            ConditionalWrite write =
                    ConditionalWrite.withReason(
                                    "searcher " + known.name() + " is out without a permit")
                            .expect(key, 0);
            serializePermitChanges(fleet, write);
            String mark = String.valueOf(known.startedAtMs());
            writes.add(write.put(key, FleetCodec.encodePermit(mark, "found", false, reason)));
        }
    }
}
