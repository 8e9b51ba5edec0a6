package reeldeal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.recovery.BrokerRecoveryStatus;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.recovery.OutageClassifier;
import reeldeal.fleet.recovery.RecoveryController;
import reeldeal.fleet.recovery.RecoveryRamp;
import reeldeal.fleet.rollout.RolloutHealth;

/**
 * Simulates successive power outages of everything or of a zone, in addition to the other faults of
 * the fleet simulation. Checked against the true losses: each outage begins a recovery epoch and
 * nothing else does; the steps are taken once and in order; no broker that restarted in an outage
 * serves without restriction before the last step; no broker that continued to serve is restricted;
 * all brokers serve without restriction in bounded time; releases are halted.
 */
final class RecoverySimulation implements FleetSimulation.Extension {
    static final RecoveryRamp RAMP = RecoveryRamp.DEFAULT;
    private static final long WARM_UP_MS = 15_000;
    private static final double COLD_CAPACITY = 0.2;

    /**
     * The time just before the operator starts the brokers that stay down; all other faults have
     * ended by then.
     */
    private static final long BEFORE_MANUAL_STARTS = 47_900;

    private static final long END_AT = 130_000;

    /** The modules under test, which subclasses replace with broken ones. */
    static class Modules extends FleetSimulation.Modules {
        @Override
        OutageClassifier outageClassifier() {
            return new OutageClassifier(RAMP);
        }

        @Override
        RecoveryController recoveryController() {
            return new RecoveryController(RAMP);
        }

        BrokerRecoveryStatus recoveryStatus(String zone) {
            return new BrokerRecoveryStatus(RAMP, zone);
        }
    }

    /** The request counters of one process. */
    private static final class RequestCounts {
        long requests;
        long late;
    }

    final FleetSimulation fleet;
    private final Modules modules;
    private final Map<SimulatedProcess, BrokerRecoveryStatus> statuses = new HashMap<>();
    private final Map<SimulatedProcess, RequestCounts> counts = new HashMap<>();
    private final Map<String, Long> outageBeforeStart = new HashMap<>();
    private final Map<SimulatedProcess, Long> startedAfterOutage = new HashMap<>();
    private final Map<String, Long> lastLostAt = new HashMap<>();
    private final Set<SimulatedProcess> servedUnrestricted = new HashSet<>();
    private Epoch epoch = Epoch.of(new FleetView(Map.of()));
    private long stepBeganAt;
    private long epochBeganAt;
    private long overloadedSince = -1;
    private long fullOutageAt = -1;
    private boolean fullOutageExpected;
    private boolean allWerePresent;
    private long zoneOutageAt = -1;
    private boolean zoneOutageExpected;

    int epochs;
    int stepsReverted;
    long longestRecoveryMs;

    RecoverySimulation(long seed, Modules modules) {
        this.modules = modules;
        fleet = new FleetSimulation(seed, modules);
        fleet.extension = this;
        long firstOutageAt = 14_000L + fleet.rng.nextInt(12_000);
        fleet.after(firstOutageAt, () -> cutPower(null));
        if (fleet.rng.nextInt(2) == 0) {
            fleet.after(
                    firstOutageAt + 1_500 + fleet.rng.nextInt(9_000),
                    () -> cutPower(fleet.rng.nextInt(3) == 0 ? "a" : null));
        }
    }

    /** Runs to the end, and checks that all recoveries are complete and all brokers serve. */
    RecoverySimulation runToEnd() {
        fleet.runUntil(BEFORE_MANUAL_STARTS);
        fleet.check(
                epoch.ended() || epochBeganAt > 38_000 || epoch.step() > 1,
                "the recovery did not advance before all brokers were back: " + epoch);
        fleet.runUntil(END_AT);
        fleet.check(epoch.ended(), "the recovery has not ended at " + END_AT + " ms: " + epoch);
        fleet.check(
                epochBeganAt >= fullOutageAt || !fullOutageExpected,
                "full outage at " + fullOutageAt + ", but no epoch has begun since: " + epoch);
        fleet.check(
                epochBeganAt >= zoneOutageAt || !zoneOutageExpected,
                "zone outage at " + zoneOutageAt + ", but no epoch has begun since: " + epoch);
        fleet.processes.values().stream()
                .filter(process -> process.alive && process.serving)
                .filter(process -> !process.paused && !process.partitioned)
                .forEach(this::checkServesUnrestricted);
        return this;
    }

    private void checkServesUnrestricted(SimulatedProcess process) {
        BrokerRecoveryStatus status = statuses.get(process);
        fleet.check(
                status.admittedShare() == 1,
                process.boot + " still restricts its load: " + status.describe());
    }

    // ---- outages ----

    private List<Member> membersOf(String zone) {
        return fleet.latestView.members().values().stream()
                .filter(member -> zone == null || member.zone().equals(zone))
                .filter(member -> member.state() != State.GONE)
                .toList();
    }

    /** Simulates a power outage of a zone, or of everything if the zone is null. */
    private void cutPower(String zone) {
        long restartWithinMs = 1L + fleet.rng.nextInt(6_000);
        // A member whose new process has not registered yet, for example just after another
        // outage, is not detected as lost again.
        boolean allPresent = membersOf(zone).stream().allMatch(this::isPresent);
        int staysDownOneIn = fleet.rng.nextInt(3) == 0 ? 6 : 0;
        for (SimulatedProcess process : fleet.cutPower(zone, restartWithinMs, staysDownOneIn)) {
            outageBeforeStart.put(process.name, fleet.now);
            lastLostAt.put(process.name, fleet.now);
        }
        if (zone == null) {
            fullOutageAt = fleet.now;
            allWerePresent = allPresent || epochs == 0;
            fullOutageExpected = allWerePresent && isFullOutage();
        } else {
            zoneOutageAt = fleet.now;
            List<Member> members = membersOf(zone);
            long lost = members.stream().filter(member -> lostAt(member) == fleet.now).count();
            zoneOutageExpected = allPresent && members.size() >= 3 && lost == members.size();
        }
    }

    private long lostAt(Member member) {
        return lastLostAt.getOrDefault(member.name(), -1L);
    }

    private boolean isPresent(Member member) {
        SimulatedProcess process = fleet.processes.get(member.name());
        return member.hasLease() && process != null && process.boot.equals(member.bootId());
    }

    /**
     * Returns whether enough members were lost for a full outage, including members that stay down.
     */
    private boolean isFullOutage() {
        List<Member> known = membersOf(null);
        long lost =
                known.stream()
                        .filter(member -> lastLostAt.containsKey(member.name()))
                        .filter(member -> lostAt(member) >= fullOutageAt)
                        .count();
        // One member may have been between two of its processes, which the log does not show.
        return known.size() >= 2 && lost - 1 > RAMP.outageShare() * known.size();
    }

    // ---- processes ----

    @Override
    public void onStarted(SimulatedProcess process) {
        statuses.put(process, modules.recoveryStatus(process.member.zone()));
        counts.put(process, new RequestCounts());
        startedAfterOutage.put(process, outageBeforeStart.getOrDefault(process.name, -1L));
        outageBeforeStart.remove(process.name);
    }

    @Override
    public void onTick(SimulatedProcess process) {
        BrokerRecoveryStatus status = statuses.get(process);
        if (status == null || !process.serving) {
            return;
        }
        update(process, status);
        if (status.stage() == BrokerRecoveryStatus.Stage.SERVING
                && servedUnrestricted.add(process)) {
            checkMayServeUnrestricted(process);
        }
        fleet.check(
                !servedUnrestricted.contains(process) || status.admittedShare() == 1,
                process.boot
                        + " served without restriction before, and now admits "
                        + status.admittedShare());
        countRequests(process, status.admittedShare());
    }

    private void update(SimulatedProcess process, BrokerRecoveryStatus status) {
        Member member = process.appliedView.members().get(process.name);
        boolean isRegistered = member != null && member.bootId().equals(process.boot);
        double previousShare = status.admittedShare();
        status.update(
                process.appliedView,
                isRegistered ? member : null,
                new BrokerRecoveryStatus.Inputs(
                        !process.appliedView.members().isEmpty(),
                        false,
                        process.startClassified,
                        true));
        if (status.admittedShare() != previousShare) {
            fleet.digest.add(fleet.now + " " + process.boot + " admits " + status.admittedShare());
        }
    }

    /**
     * Checks that a process that restarted in a full outage serves without restriction only after
     * the recovery from it.
     */
    private void checkMayServeUnrestricted(SimulatedProcess process) {
        boolean restarted = fullOutageAt >= 0 && startedAfterOutage.get(process) >= fullOutageAt;
        boolean recovered = epoch.ended() && epoch.number() > 0 && stepBeganAt >= fullOutageAt;
        fleet.check(
                !restarted || recovered || !allWerePresent || !isFullOutage(),
                process.boot + " serves without restriction during a recovery: " + epoch);
    }

    private void countRequests(SimulatedProcess process, double share) {
        double admitted =
                statuses.entrySet().stream()
                        .filter(entry -> entry.getKey().alive && entry.getKey().serving)
                        .mapToDouble(entry -> entry.getValue().admittedShare())
                        .average()
                        .orElse(0);
        double capacity = fleet.capacity(WARM_UP_MS, COLD_CAPACITY) * 1.1;
        long requests = Math.round(20 * share);
        RequestCounts processCounts = counts.get(process);
        processCounts.requests += requests;
        if (admitted > capacity) {
            double lateShare = Math.min(1, (admitted - capacity) / admitted * 2);
            processCounts.late += Math.round(requests * lateShare);
        }
        checkOverload(admitted, capacity);
    }

    /** Checks that a step that admits more than the searchers can serve is reverted. */
    private void checkOverload(double admitted, double capacity) {
        boolean isOverloaded = !epoch.ended() && epoch.step() > 2 && admitted > capacity * 1.8;
        if (!isOverloaded) {
            overloadedSince = -1;
        } else if (overloadedSince < 0) {
            overloadedSince = fleet.now;
        }
        fleet.check(
                overloadedSince < 0 || fleet.now - overloadedSince < 6_000,
                "step "
                        + epoch.step()
                        + " was not reverted: admitted "
                        + admitted
                        + " with capacity "
                        + capacity);
    }

    @Override
    public RolloutHealth.Counts counts(SimulatedProcess process) {
        RequestCounts processCounts = counts.getOrDefault(process, new RequestCounts());
        return new RolloutHealth.Counts(processCounts.requests, processCounts.late, 0, 0, 0);
    }

    // ---- epochs ----

    @Override
    public void onCommitted() {
        Epoch next = Epoch.of(fleet.latestView);
        if (next.version() == epoch.version()) {
            return;
        }
        if (next.number() != epoch.number()) {
            epochs++;
            checkNewEpoch(next);
            epochBeganAt = fleet.now;
        } else if (!next.ended() && next.step() != epoch.step()) {
            stepsReverted += next.step() < epoch.step() ? 1 : 0;
            checkStep(next);
        } else if (next.ended()) {
            fleet.check(
                    epoch.step() == RAMP.steps() && !epoch.ended(),
                    "the epoch ended before its last step: " + epoch);
            longestRecoveryMs =
                    Math.max(longestRecoveryMs, fullOutageAt < 0 ? 0 : fleet.now - fullOutageAt);
        }
        stepBeganAt = fleet.now;
        epoch = next;
    }

    private void checkStep(Epoch next) {
        fleet.check(
                Math.abs(next.step() - epoch.step()) == 1,
                "expected adjacent steps, found " + epoch.step() + " and " + next.step());
        fleet.check(
                fleet.now - stepBeganAt >= RAMP.dwellMs() * 0.85,
                "step " + epoch.step() + " lasted only " + (fleet.now - stepBeganAt) + " ms");
    }

    private void checkNewEpoch(Epoch next) {
        fleet.check(
                next.number() == epoch.number() + 1 && next.step() == 1 && !next.ended(),
                "epoch " + epoch + " is followed by " + next);
        boolean isFleetEpoch = next.kind() == Epoch.Kind.FLEET;
        long members = membersOf(isFleetEpoch ? null : next.zone()).size();
        long earliest = fleet.now - 30_000 - 12_000;
        long lost =
                fleet.allProcesses().stream()
                        .filter(process -> !process.alive && process.diedAt >= earliest)
                        .filter(
                                process ->
                                        isFleetEpoch || process.member.zone().equals(next.zone()))
                        .map(process -> process.name)
                        .distinct()
                        .count();
        fleet.check(
                lost * 2 > members,
                "epoch " + next + " with only " + lost + " of " + members + " members lost");
        fleet.check(
                fleet.latestView.release() == null || !fleet.latestView.release().isRunning(),
                "a release still runs in epoch " + next);
        boolean lostAgain =
                lost > 0
                        && fleet.allProcesses().stream()
                                .anyMatch(
                                        process ->
                                                !process.alive
                                                        && process.diedAt >= epochBeganAt - 4_000);
        fleet.check(
                epoch.ended() || lostAgain,
                "new epoch during a recovery, without another outage: " + next);
    }
}
