package reeldeal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FleetView.Step;

/** Checks the invariants between the log and the true state of the simulated fleet. */
final class FleetInvariants {
    private final FleetSimulation fleet;
    private final Map<String, Set<String>> processesThatServed = new HashMap<>();
    private final Set<String> processesThatDrained = new HashSet<>();
    private final Map<String, Integer> restarts = new HashMap<>();

    FleetInvariants(FleetSimulation fleet) {
        this.fleet = fleet;
    }

    /** Records that a process begins to serve. */
    void onServing(SimulatedProcess process) {
        processesThatServed
                .computeIfAbsent(process.name, name -> new HashSet<>())
                .add(process.boot);
    }

    /** Records a restart of a member by a release, and checks how often it was restarted. */
    void onRestart(String name, int maxRestarts) {
        int count = restarts.merge(name, 1, Integer::sum);
        fleet.check(
                count <= maxRestarts,
                name + " was restarted " + count + " times, at most " + maxRestarts + " expected");
    }

    /**
     * Returns whether the log has ever had a process in the given state; only DRAINING is tracked.
     */
    boolean hasReported(SimulatedProcess process, State state) {
        return state == State.DRAINING && processesThatDrained.contains(process.boot);
    }

    /** Checks the changes of a committed write. */
    void checkCommit(FleetView before, FleetView after) {
        for (Member member : after.members().values()) {
            if (member.state() == State.DRAINING) {
                processesThatDrained.add(member.bootId());
            }
            Member previous = before.members().get(member.name());
            boolean wasLapsed = previous != null && previous.state() == State.LAPSED;
            if (member.state() == State.LAPSED && !wasLapsed) {
                checkLapsed(member);
            }
        }
        checkReleasedPermits(before, after);
        for (Kind kind : Kind.values()) {
            checkGrants(before, after, kind);
        }
        after.steps().values().forEach(step -> checkStep(before, after, step));
        checkCompletion(before, after);
    }

    private void checkLapsed(Member member) {
        SimulatedProcess process = fleet.processes.get(member.name());
        boolean mayHoldLease =
                process != null
                        && process.alive
                        && !process.paused
                        && process.boot.equals(member.bootId());
        fleet.check(
                !mayHoldLease || !process.holdsLease(),
                member.name() + " holds its lease although the leader ended it");
    }

    private void checkReleasedPermits(FleetView before, FleetView after) {
        for (Permit permit : before.permits(Kind.BROKER).values()) {
            if (!after.permits(Kind.BROKER).containsKey(permit.name())) {
                checkBrokerReturned(permit);
            }
        }
        for (Permit permit : before.permits(Kind.SEARCHER).values()) {
            if (!after.permits(Kind.SEARCHER).containsKey(permit.name())) {
                checkSearcherReturned(permit);
            }
        }
    }

    private void checkBrokerReturned(Permit permit) {
        boolean newerServed =
                processesThatServed.getOrDefault(permit.name(), Set.of()).stream()
                        .anyMatch(boot -> !boot.equals(permit.processMark()));
        SimulatedProcess holder =
                fleet.allProcesses().stream()
                        .filter(process -> process.boot.equals(permit.processMark()))
                        .findFirst()
                        .orElseThrow();
        fleet.check(
                newerServed || !holder.draining,
                "the permit of broker "
                        + permit.name()
                        + " was released without evidence of its return");
        fleet.check(
                newerServed || holder.exitReason == null || !holder.alive,
                "the permit of broker " + permit.name() + " was released while its process exits");
    }

    private void checkSearcherReturned(Permit permit) {
        SimulatedSearcher searcher = fleet.searchers.get(permit.name());
        boolean restarted = searcher.startedAt > Long.parseLong(permit.processMark());
        fleet.check(
                (restarted && fleet.now >= searcher.startedAt) || !searcher.restartOrdered,
                "the permit of searcher " + permit.name() + " was released before its restart");
        fleet.check(
                !restarted || searcher.isWarm() || !searcher.up,
                "searcher " + permit.name() + " counts as back while it is warming up");
    }

    // ---- grants ----

    private void checkGrants(FleetView before, FleetView after, Kind kind) {
        Set<String> granted = new TreeSet<>(after.permits(kind).keySet());
        granted.removeAll(before.permits(kind).keySet());
        granted.removeIf(name -> !after.permits(kind).get(name).planned());
        fleet.check(granted.size() <= 1, "one write grants several permits: " + granted);
        if (granted.isEmpty()) {
            return;
        }
        long out = kind == Kind.BROKER ? brokersOut(granted) : searchersOut(granted);
        DisruptionPolicy policy = after.policy();
        long allowed =
                kind == Kind.BROKER
                        ? DisruptionPolicy.resolveLimit(policy.brokersOut(), after.members().size())
                        : DisruptionPolicy.resolveLimit(
                                policy.searchersOut(), after.searchers().size());
        fleet.check(
                out <= allowed,
                out
                        + " members out after a grant to "
                        + granted
                        + ", "
                        + allowed
                        + " allowed: "
                        + describeBrokersOut());
    }

    private List<String> describeBrokersOut() {
        return fleet.allProcesses().stream()
                .filter(SimulatedProcess::isOutByOrder)
                .map(
                        process ->
                                process.boot
                                        + "/"
                                        + process.alive
                                        + "/"
                                        + process.exitReason
                                        + "/"
                                        + fleet.processes.get(process.name).boot)
                .toList();
    }

    /**
     * Returns how many brokers are out by order or about to be, whether their process is alive or
     * not.
     */
    private long brokersOut(Set<String> granted) {
        Set<String> out = new TreeSet<>(granted);
        List<SimulatedProcess> all = fleet.allProcesses();
        for (int i = 0; i < all.size(); i++) {
            SimulatedProcess process = all.get(i);
            List<SimulatedProcess> laterProcesses = all.subList(i + 1, all.size());
            if (process.isOutByOrder() && !isReplaced(process, laterProcesses)) {
                out.add(process.name);
            }
        }
        return out.size();
    }

    private boolean isReplaced(SimulatedProcess process, List<SimulatedProcess> laterProcesses) {
        Set<String> served = processesThatServed.getOrDefault(process.name, Set.of());
        return laterProcesses.stream()
                .anyMatch(other -> other.name.equals(process.name) && served.contains(other.boot));
    }

    private long searchersOut(Set<String> granted) {
        Set<String> out = new TreeSet<>(granted);
        fleet.searchers.values().stream()
                .filter(searcher -> searcher.restartOrdered)
                .forEach(searcher -> out.add(searcher.name));
        return out.size();
    }

    // ---- the release ----

    private void checkStep(FleetView before, FleetView after, Step step) {
        Step previous = before.steps().get(step.name());
        if (previous == null || previous.stage() == step.stage()) {
            return;
        }
        if (step.stage() == Stage.DRAIN || step.stage() == Stage.RESTART) {
            fleet.check(
                    before.release().isRunning(),
                    step.name()
                            + " advances to "
                            + step.stage()
                            + " while the release is "
                            + before.release().progress());
        }
        if (step.stage() == Stage.RESTART) {
            String drainKey = FleetView.drainKey(after.release().kind(), step.name());
            checkDrainApplied(step, after.version(drainKey));
        }
    }

    private void checkDrainApplied(Step step, long drainVersion) {
        for (SimulatedProcess process : fleet.processes.values()) {
            boolean maySend = process.alive && !process.paused && process.holdsLease();
            fleet.check(
                    !maySend || process.appliedVersion >= drainVersion,
                    step.name() + " restarts while " + process.name + " has not applied its drain");
        }
    }

    /** Checks that all live brokers run the version of the release once it is done. */
    private void checkCompletion(FleetView before, FleetView after) {
        FleetView.Release release = after.release();
        if (release == null
                || release.kind() != Kind.BROKER
                || release.progress() != Progress.DONE
                || before.release().progress() == Progress.DONE) {
            return;
        }
        String expected =
                release.rollingBack() ? FleetSimulation.FIRST_CONFIG : release.targetVersion();
        for (Step step : after.steps().values()) {
            SimulatedProcess process = fleet.processes.get(step.name());
            fleet.check(
                    !process.alive || process.config.equals(expected),
                    "the release is done, but "
                            + process.name
                            + " runs "
                            + process.config
                            + ", not "
                            + expected);
        }
    }
}
