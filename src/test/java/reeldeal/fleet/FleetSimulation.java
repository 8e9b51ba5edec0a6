package reeldeal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.membership.LeaseTable;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.recovery.OutageClassifier;
import reeldeal.fleet.recovery.RecoveryController;
import reeldeal.fleet.rollout.RolloutController;
import reeldeal.fleet.rollout.RolloutHealth;
import reeldeal.fleet.rollout.RolloutOrders;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.testing.EventDigest;

/**
 * Simulates a fleet in virtual time from one seed: processes that are killed, paused, partitioned
 * and restarted, each with its own clock; changes of the leader, including deposed leaders that
 * have not noticed it yet; writes that are lost, late, duplicated or of unknown outcome; searchers
 * whose list lags; operators who halt and roll back releases and tighten the policy. After each
 * commit and each action the invariants are checked against the true state, not against the view of
 * any node.
 */
final class FleetSimulation {
    static final long TERM_MS = 3_000;
    static final int SEARCHERS = 12;
    static final String FIRST_CONFIG = "v0";
    private static final String WRONG_CONFIG = "wrong";
    private static final long LIST_INTERVAL_MS = 200;
    private static final long FAULTS_END_AT = 40_000;
    private static final long DEADLINE = 400_000;
    private static final int TRACE_LENGTH = 60;

    /** The modules under test, which subclasses replace with broken ones. */
    static class Modules {
        DisruptionBudget disruptionBudget() {
            return new DisruptionBudget();
        }

        RolloutController rolloutController(DisruptionBudget budget) {
            return new RolloutController(budget);
        }

        LeaseTable leaseTable() {
            return new LeaseTable(TERM_MS);
        }

        LocalMember localMember(
                LocalMember.Identity identity, LocalMember.Timing timing, DisruptionBudget budget) {
            return new LocalMember(identity, timing, budget);
        }

        /** Returns null, as does {@link #recoveryController}, for a fleet without recovery. */
        OutageClassifier outageClassifier() {
            return null;
        }

        RecoveryController recoveryController() {
            return null;
        }

        /**
         * Returns whether a leader answers heartbeats only after a majority has confirmed that it
         * leads.
         */
        boolean confirmsLeadership() {
            return true;
        }

        ConditionalWrite rollBack(FleetView fleet) {
            return RolloutOrders.rollBack(fleet, "operator");
        }
    }

    /** Reports an invariant that was violated. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String rule) {
            super(rule);
        }
    }

    /** Additional behaviour of the processes, such as keyed requests. */
    interface Extension {
        void onStarted(SimulatedProcess process);

        void onTick(SimulatedProcess process);

        void onCommitted();

        /** Returns the counters of a process that its heartbeats contain. */
        default RolloutHealth.Counts counts(SimulatedProcess process) {
            return new RolloutHealth.Counts(0, 0, 0, 0, 0);
        }
    }

    private record Event(long atMs, long order, Runnable action) {}

    final UniformRandomProvider rng;
    final Modules modules;
    final boolean faultFree;
    final int brokerCount;
    final Map<String, SimulatedProcess> processes = new TreeMap<>();
    final Map<String, SimulatedSearcher> searchers = new TreeMap<>();
    final List<Map<String, ObservedSearcher>> endpointLists = new ArrayList<>();
    final SimulatedElection election = new SimulatedElection(this);
    final FleetInvariants invariants = new FleetInvariants(this);
    final SimulatedOperator operator;
    private final SimulatedFaults faults;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<SimulatedProcess> allProcesses = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    private long eventCount;
    private int bootCount;

    /** Whether one process may yet start with a wrong configuration. */
    private boolean wrongConfigPending;

    /** The contents of the store. */
    final KeyValueState state = new KeyValueState();

    /** The version of the last write that reached the store. */
    long version;

    /** The view of the fleet after the last commit. */
    FleetView latestView = new FleetView(Map.of());

    /** The number of committed writes. */
    int commits;

    /** The digest of all committed writes, each with the time of its commit. */
    final EventDigest digest = new EventDigest();

    long now;
    boolean faultsEnded;
    Extension extension;

    /** How the release ended, "done" or "back"; "" while it has not. */
    String outcome = "";

    FleetSimulation(long seed, Modules modules) {
        this(seed, modules, 0, 0);
    }

    /**
     * Creates a fleet of a given number of brokers without faults, of which {@code maxOut} may be
     * out at a time; if that is 0, there is no release. If {@code brokers} is 0, the number of
     * brokers and the faults are drawn at random.
     */
    FleetSimulation(long seed, Modules modules, int brokers, int maxOut) {
        this.modules = modules;
        faultFree = brokers > 0;
        rng = RandomSource.XO_SHI_RO_256_PP.create(seed);
        Kind kind = rng.nextInt(3) == 0 && !faultFree ? Kind.SEARCHER : Kind.BROKER;
        int drawnBrokerCount = rng.nextInt(40) == 0 ? 30 + rng.nextInt(31) : 5 + rng.nextInt(8);
        brokerCount = faultFree ? brokers : drawnBrokerCount;
        faults = new SimulatedFaults(this, faultFree ? 0 : rng.nextInt(4) * 3);
        wrongConfigPending = !faultFree && kind == Kind.BROKER && rng.nextInt(4) == 0;
        operator = new SimulatedOperator(this, kind);
        for (int i = 0; i < SEARCHERS; i++) {
            SimulatedSearcher searcher = new SimulatedSearcher(this, i);
            searchers.put(searcher.name, searcher);
        }
        election.start();
        election.elect();
        commit(
                ConditionalWrite.withReason("policy")
                        .put(FleetView.POLICY, drawPolicy(String.valueOf(maxOut))));
        for (int i = 0; i < brokerCount; i++) {
            String name = "b" + i;
            after(rng.nextInt(300), () -> startIfDead(name));
        }
        listSearchers();
        if (!faultFree || maxOut > 0) {
            after(4_000, operator::plan);
        }
        after(5_000 + rng.nextInt(2_000), faults::injectNext);
        after(FAULTS_END_AT, this::endFaults);
    }

    private FormAttributes drawPolicy(String maxOut) {
        String brokersOut = faultFree ? maxOut : rng.nextBoolean() ? "1" : "25%";
        return new FormAttributes()
                .with("brokers_out", brokersOut)
                .with("searchers_out", rng.nextBoolean() ? "2" : "25%")
                .with("apart_ms", faultFree ? 0 : rng.nextInt(3) * 300);
    }

    // ---- virtual time ----

    void after(long delayMs, Runnable action) {
        events.add(new Event(now + delayMs, eventCount++, action));
    }

    private void runNextEvent() {
        Event event = events.poll();
        now = event.atMs();
        event.action().run();
    }

    /**
     * Runs until the release has ended, and checks that it does: once all faults have ended, no
     * member may stay out and the release must finish.
     */
    void runToEnd() {
        while (!events.isEmpty() && outcome.isEmpty()) {
            runNextEvent();
            check(now < DEADLINE, "not finished at " + now + " ms: " + describeRelease());
        }
    }

    private String describeRelease() {
        String release =
                latestView.release() == null
                        ? "no release"
                        : latestView.release() + " " + latestView.steps().values();
        return release
                + ", out "
                + latestView.permits(Kind.BROKER).keySet()
                + latestView.permits(Kind.SEARCHER).keySet();
    }

    /** Runs all events up to a time. */
    void runUntil(long time) {
        while (!events.isEmpty() && events.peek().atMs() <= time) {
            runNextEvent();
        }
    }

    boolean isReleaseDone() {
        return latestView.release() != null && latestView.release().progress() == Progress.DONE;
    }

    // ---- random values ----

    /** Returns the rate of a steady clock, 0.95 to 1.05. */
    double drawClockRate() {
        return 0.95 + rng.nextInt(1_000) / 10_000.0;
    }

    /** Returns the delay of a message, ms. */
    long drawDelay() {
        return rng.nextInt(25) == 0 && !faultFree ? rng.nextInt(2_500) : 1 + rng.nextInt(20);
    }

    /** Returns the configuration with which a process starts; one process may get a wrong one. */
    String drawConfig(String name) {
        String target = latestView.get(FleetView.TARGET_CONFIG + name);
        boolean isWrong = wrongConfigPending && rng.nextInt(4) == 0 && target != null;
        if (isWrong) {
            wrongConfigPending = false;
            return WRONG_CONFIG;
        }
        return target == null ? FIRST_CONFIG : target;
    }

    int nextBootNumber() {
        return ++bootCount;
    }

    // ---- checks and trace ----

    void check(boolean holds, String rule) {
        if (!holds) {
            throw new Violation(rule);
        }
    }

    void addToTrace(String line) {
        trace.add(now + " " + line);
    }

    /** Returns the last lines of the trace. */
    List<String> trace() {
        return trace.subList(Math.max(0, trace.size() - TRACE_LENGTH), trace.size());
    }

    // ---- processes and searchers ----

    /** Returns all processes that were ever started, the oldest first. */
    List<SimulatedProcess> allProcesses() {
        return allProcesses;
    }

    /** Starts a new process of a broker if the broker has no live process. */
    void startIfDead(String name) {
        SimulatedProcess current = processes.get(name);
        if (current == null || !current.alive) {
            SimulatedProcess process = new SimulatedProcess(this, name);
            processes.put(name, process);
            allProcesses.add(process);
        }
    }

    private void listSearchers() {
        Map<String, ObservedSearcher> list = new TreeMap<>();
        searchers.values().stream()
                .filter(searcher -> searcher.up)
                .forEach(searcher -> list.put(searcher.name, searcher.observed()));
        endpointLists.add(list);
        after(LIST_INTERVAL_MS, this::listSearchers);
    }

    /** Returns the average capacity of the searchers, 1 if all are warm. */
    double capacity(long warmUpMs, double coldCapacity) {
        return searchers.values().stream()
                .mapToDouble(searcher -> searcher.capacity(warmUpMs, coldCapacity))
                .average()
                .orElse(0);
    }

    /**
     * Simulates a power outage of a zone, or of everything if the zone is null. The killed
     * processes restart one after another, except that each stays down with a probability of one in
     * {@code staysDownOneIn} (never if that is 0). In an outage of everything the searchers restart
     * too.
     */
    List<SimulatedProcess> cutPower(String zone, long restartWithinMs, int staysDownOneIn) {
        List<SimulatedProcess> killed = new ArrayList<>();
        // In some full outages one broker keeps running on a battery.
        String batteryBacked = zone == null && rng.nextInt(3) == 0 ? "b0" : "";
        for (SimulatedProcess process : List.copyOf(processes.values())) {
            boolean inZone = zone == null || process.member.zone().equals(zone);
            if (process.alive && !process.name.equals(batteryBacked) && inZone) {
                process.kill();
                killed.add(process);
                if (staysDownOneIn == 0 || rng.nextInt(staysDownOneIn) > 0) {
                    after(
                            200 + rng.nextInt((int) restartWithinMs),
                            () -> startIfDead(process.name));
                }
            }
        }
        addToTrace(
                "power outage of "
                        + (zone == null ? "everything" : "zone " + zone)
                        + ", "
                        + killed.size()
                        + " processes");
        if (zone == null) {
            searchers
                    .values()
                    .forEach(
                            searcher -> searcher.restart(500 + rng.nextInt((int) restartWithinMs)));
            election.elect();
        }
        return killed;
    }

    /** Ends all faults; the operator then brings the release to its end. */
    private void endFaults() {
        faultsEnded = true;
        for (SimulatedProcess process : processes.values()) {
            process.paused = false;
            process.partitioned = false;
        }
        election.endPartitions();
        after(8_000, operator::finish);
    }

    // ---- the store ----

    /**
     * Submits a write; {@code onEnd} receives false if the write was lost or its outcome is
     * unknown.
     */
    void submit(ConditionalWrite write, boolean partitioned, Consumer<Boolean> onEnd) {
        submit(write, partitioned, () -> true, onEnd);
    }

    /** Submits a write of a leader, which is committed before the next leader begins, or never. */
    void submit(
            ConditionalWrite write,
            boolean partitioned,
            BooleanSupplier isStillPossible,
            Consumer<Boolean> onEnd) {
        boolean isLost =
                partitioned || !election.hasLeader() || (rng.nextInt(25) == 0 && !faultFree);
        int copies = isLost ? 0 : rng.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            after(
                    drawDelay(),
                    () -> {
                        if (isStillPossible.getAsBoolean()) {
                            commit(write);
                        }
                    });
        }
        boolean isOutcomeKnown = copies > 0 && (rng.nextInt(15) > 0 || faultFree);
        after(isOutcomeKnown ? 30 : 1_500, () -> onEnd.accept(isOutcomeKnown));
    }

    /** Applies a write if its preconditions hold, and checks the invariants on its changes. */
    void commit(ConditionalWrite write) {
        if (!apply(write)) {
            return;
        }
        commits++;
        digest.add(
                now
                        + " "
                        + version
                        + " "
                        + new TreeMap<>(write.expectedVersions())
                        + " "
                        + new TreeMap<>(write.changes()));
        addToTrace(write.reason());
        FleetView before = latestView;
        latestView = readFleet();
        invariants.checkCommit(before, latestView);
        operator.restartSearchers(before);
        if (extension != null) {
            extension.onCommitted();
        }
    }

    private boolean apply(ConditionalWrite write) {
        List<KeyValueState.Precondition> expects =
                write.expectedVersions().entrySet().stream()
                        .map(
                                entry ->
                                        new KeyValueState.Precondition(
                                                entry.getKey(), entry.getValue()))
                        .toList();
        List<Change> changes =
                write.changes().entrySet().stream()
                        .map(entry -> new Change(entry.getKey(), entry.getValue()))
                        .toList();
        List<Change> changed = new ArrayList<>();
        state.apply(
                ++version,
                KeyValueState.encode(new KeyValueState.Command("", 0, expects, changes)),
                changed);
        return !changed.isEmpty();
    }

    private FleetView readFleet() {
        Map<String, FleetView.Value> values = new TreeMap<>();
        state.valuesUnder(FleetView.ROOT)
                .forEach(
                        (key, value) ->
                                values.put(
                                        key, new FleetView.Value(value.text(), value.version())));
        return new FleetView(values);
    }
}
