package reeldeal.fleet.leader;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.membership.LeaseTable;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.recovery.OutageClassifier;
import reeldeal.fleet.recovery.RecoveryController;
import reeldeal.fleet.rollout.RolloutController;
import reeldeal.fleet.rollout.RolloutHealth;

/**
 * Makes the fleet's decisions on the node that leads the store: expires leases, records which
 * members are out and which have returned, and advances recoveries and releases. Proposes one write
 * at a time. Each write is conditional, so that a former leader, or a leader with an outdated copy,
 * changes nothing. The state of this class lasts for one leadership; a decision is delayed until
 * the observations that it needs are known.
 *
 * <p>Does no I/O. Times are ms of the node's steady clock. Used on the state loop.
 */
public class FleetController {
    private final DisruptionBudget budget;
    private final RolloutController rollout;
    private final LeaseTable leases;
    private final OutageClassifier outageClassifier;
    private final RecoveryController recovery;
    private final RolloutHealth health = new RolloutHealth();
    private final StageTimer stageTimer = new StageTimer();
    private final EjectionReports ejections = new EjectionReports();
    private FleetView fleet;
    private Map<String, ObservedSearcher> searchers;
    private DisruptionBudget.ShardLayout shards = new DisruptionBudget.ShardLayout(0, 0, 0);
    private Set<String> voters = Set.of();
    private boolean isLeading;
    private boolean writeInProgress;
    private long leaderlessMs;
    private long lastSerial = -1;
    private long grantSeenAt;

    /** Creates a controller of a fleet without a recovery plan. */
    public FleetController(DisruptionBudget budget, RolloutController rollout, LeaseTable leases) {
        this(budget, rollout, leases, null, null);
    }

    /**
     * Creates a controller of a node that does not lead; {@code outageClassifier} and {@code
     * recovery} are null if the fleet has no recovery plan.
     */
    public FleetController(
            DisruptionBudget budget,
            RolloutController rollout,
            LeaseTable leases,
            OutageClassifier outageClassifier,
            RecoveryController recovery) {
        this.budget = budget;
        this.rollout = rollout;
        this.leases = leases;
        this.outageClassifier = outageClassifier;
        this.recovery = recovery;
    }

    // ---- inputs ----

    /** Begins this node's leadership, after {@code withoutLeaderMs} without a known leader. */
    public void beginLeadership(long now, long withoutLeaderMs) {
        isLeading = true;
        writeInProgress = false;
        leaderlessMs = withoutLeaderMs;
        grantSeenAt = now;
        lastSerial = fleet == null ? -1 : fleet.version(FleetView.PERMIT_SERIAL);
        stageTimer.clear();
        health.clear();
        ejections.clear();
        leases.beginLeadership(now);
        if (fleet != null) {
            leases.onFleetChanged(fleet, now);
        }
        if (recovery != null) {
            recovery.beginLeadership(now);
            outageClassifier.beginLeadership();
        }
    }

    /** Ends this node's leadership. */
    public void endLeadership() {
        isLeading = false;
        leases.endLeadership();
    }

    /** Updates this node's copy of the fleet's state after the store has applied a change. */
    public void onFleetChanged(long now, FleetView newFleet) {
        fleet = newFleet;
        if (newFleet.version(FleetView.PERMIT_SERIAL) != lastSerial) {
            lastSerial = newFleet.version(FleetView.PERMIT_SERIAL);
            grantSeenAt = now;
        }
        leases.onFleetChanged(newFleet, now);
        stageTimer.onFleetChanged(newFleet, now);
    }

    /** Sets this node's endpoint list, null if it has none yet, and the layout of shards. */
    public void setSearchers(
            Map<String, ObservedSearcher> endpointList, DisruptionBudget.ShardLayout shardLayout) {
        shards = shardLayout;
        searchers =
                endpointList == null || fleet == null
                        ? endpointList
                        : ejections.withReportedEjections(endpointList, fleet.members().values());
    }

    /** Sets the store's voters; the disruption budget keeps a majority of them available. */
    public void setVoters(Set<String> newVoters) {
        voters = newVoters;
    }

    /**
     * Processes a member's heartbeat.
     *
     * @param appliedVersion the version up to which the member has applied the log
     * @param counts the member's request counts since its start
     * @param ejectedSearchers the searchers that the member has ejected
     * @return whether the heartbeat renews the member's lease and therefore has to be answered
     */
    public boolean onHeartbeat(
            long now,
            String name,
            long incarnation,
            long appliedVersion,
            RolloutHealth.Counts counts,
            Set<String> ejectedSearchers) {
        if (!isLeading
                || fleet == null
                || !leases.recordHeartbeat(fleet, name, incarnation, appliedVersion, now)) {
            return false;
        }
        String boot = fleet.members().get(name).bootId();
        ejections.record(name, ejectedSearchers);
        health.record(name, boot, now, counts);
        if (outageClassifier != null) {
            recovery.recordCounts(boot, counts);
        }
        return true;
    }

    /**
     * Records that a member has sent a heartbeat after it received an answer of this leader. Only
     * such a heartbeat proves that the process is alive: any other one may have been delayed in the
     * network while its sender died.
     */
    public void onLivenessConfirmed(String name) {
        Member member = fleet == null ? null : fleet.members().get(name);
        if (outageClassifier != null && member != null) {
            outageClassifier.recordHeartbeat(member.bootId());
        }
    }

    /** Records that the last write of {@link #nextWrite} has ended, with any outcome. */
    public void onWriteEnded() {
        writeInProgress = false;
    }

    // ---- decisions ----

    /** Returns the state that this node observes itself and the store does not hold. */
    public DisruptionBudget.Observations observations(long now) {
        return new DisruptionBudget.Observations(searchers, shards, voters, now - grantSeenAt);
    }

    /** Returns the next write, or null if none is due or the previous one has not ended. */
    public ConditionalWrite nextWrite(long now) {
        if (!isLeading || writeInProgress || fleet == null) {
            return null;
        }
        ConditionalWrite write = decide(now);
        writeInProgress = write != null;
        return write;
    }

    private ConditionalWrite decide(long now) {
        Set<String> expired = leases.expiredMembers(fleet, now);
        if (!expired.isEmpty()) {
            return expireLease(fleet.members().get(expired.iterator().next()), now);
        }
        ConditionalWrite recoveryWrite =
                outageClassifier == null
                        ? null
                        : recovery.nextWrite(now, fleet, outageClassifier, readySearcherShare());
        if (recoveryWrite != null) {
            return recoveryWrite;
        }
        DisruptionBudget.Observations observations = observations(now);
        List<ConditionalWrite> budgetWrites = budget.pendingWrites(fleet, observations);
        if (!budgetWrites.isEmpty()) {
            return budgetWrites.get(0);
        }
        List<ConditionalWrite> rolloutWrites =
                rollout.nextWrites(fleet, observations, new LeaderObservations(now));
        if (fleet.release() == null || !fleet.release().isRunning()) {
            leaderlessMs = 0; // the same gap must not halt a resumed release again
        }
        return rolloutWrites.isEmpty() ? null : rolloutWrites.get(0);
    }

    private ConditionalWrite expireLease(Member member, long now) {
        leases.markExpiring(member);
        long silenceMs = Math.max(0, leases.silenceMs(member, now));
        return fleet.stateWrite(
                        member, FleetView.State.LAPSED, "not heard for " + silenceMs + " ms")
                .put(LocalMember.SESSION_PREFIX + member.session(), null);
    }

    /** Returns the share of the known searchers that are listed as ready, 1 if none is known. */
    private double readySearcherShare() {
        Set<String> known = fleet.searchers().keySet();
        if (searchers == null || known.isEmpty()) {
            return 1;
        }
        long ready = known.stream().filter(this::isReady).count();
        return (double) ready / known.size();
    }

    private boolean isReady(String searcher) {
        ObservedSearcher observed = searchers.get(searcher);
        return observed != null && observed.ready();
    }

    /**
     * Whether this leader is certain that the fleet has lost no more than single members and what
     * the log already records as an outage. Always true without a recovery plan.
     */
    public boolean hasClassifiedOutage() {
        if (outageClassifier == null) {
            return true;
        }
        OutageClassifier.Verdict verdict = outageClassifier.classify(fleet);
        return isLeading && verdict.isCertain() && verdict.kind() == Epoch.Kind.NONE;
    }

    /** Returns the time since a member's last heartbeat, ms, or -1 if this leader had none. */
    public long silenceMs(Member member, long now) {
        return leases.silenceMs(member, now);
    }

    /** Whether this node is the store's leader. */
    public boolean isLeading() {
        return isLeading;
    }

    /** The leader's own observations at one time, on which a rollout's next write depends. */
    private final class LeaderObservations implements RolloutController.MemberObservations {
        private final long now;

        LeaderObservations(long now) {
            this.now = now;
        }

        @Override
        public boolean acknowledged(long version) {
            return leases.membersBehind(fleet, version).isEmpty();
        }

        @Override
        public long stageMs(Step step) {
            return stageTimer.stageMs(step, now);
        }

        @Override
        public String healthRegression() {
            if (fleet.release().kind() != FleetView.Kind.BROKER) {
                return null;
            }
            Set<String> changed = RolloutController.changedMembers(fleet);
            Set<String> others = new TreeSet<>(fleet.members().keySet());
            others.removeAll(changed);
            return health.regression(changed, others, now);
        }

        @Override
        public long leaderlessMs() {
            return leaderlessMs;
        }
    }
}
