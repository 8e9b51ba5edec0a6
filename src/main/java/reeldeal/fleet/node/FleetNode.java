package reeldeal.fleet.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reeldeal.core.WallClock;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.leader.AdminRequestHandler;
import reeldeal.fleet.leader.FleetController;
import reeldeal.fleet.membership.LeaseTable;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.node.HeartbeatCodec.Answer;
import reeldeal.fleet.node.HeartbeatCodec.Heartbeat;
import reeldeal.fleet.recovery.OutageClassifier;
import reeldeal.fleet.recovery.RecoveryController;
import reeldeal.fleet.recovery.RecoveryRamp;
import reeldeal.fleet.rollout.RolloutController;
import reeldeal.fleet.rollout.RolloutHealth;
import reeldeal.store.StoreNode;

/**
 * One node of the fleet. Owns this process's membership: updates it from the store, sends its
 * heartbeats and applies its actions to the broker. Used on the state loop, unless documented
 * otherwise at a method.
 */
public final class FleetNode {
    private static final char TOPIC = 'F';
    private static final int TICK_MS = 100;

    /** The time in which a process without a permit writes that its end is unplanned. */
    private static final int UNPLANNED_EXIT_MS = 300;

    private static final int DEREGISTRATION_TIMEOUT_MS = 1_500;

    /** The number of retry delays that {@link #terminate} waits beyond the time for a permit. */
    private static final int EXIT_GRACE_RETRIES = 5;

    /** The broker whose membership this node manages; called on the state loop. */
    public interface Host {
        /** Stops accepting clients. */
        void drain();

        /** Accepts clients again. */
        void serve();

        /** Begins a graceful shutdown of the process; returns without waiting for it. */
        void exit(String reason);

        /**
         * Limits the admitted load to a share.
         *
         * @param share the admitted share, from 0 to 1
         * @param retryAfterMs the Retry-After of rejected requests, ms
         * @param brokers the number of serving brokers, 0 if it is unknown
         */
        void setAdmissionQuota(double share, double retryAfterMs, int brokers);

        /**
         * Assumes that the searchers of a zone have just restarted, unless the endpoint list has a
         * later start of them; "" for all zones.
         */
        void assumeRestarted(String zone);

        /** Returns the broker's request counts since its start. */
        RolloutHealth.Counts counts();

        /** Returns the searchers that this broker has ejected. */
        Set<String> ejected();

        /** Returns the endpoint list without the fleet's own drains, null if there is none yet. */
        Map<String, ObservedSearcher> searchers();

        /** Returns the layout of shards. */
        DisruptionBudget.ShardLayout shards();
    }

    private final EventLoop loop;
    private final StoreNode store;
    private final Host host;
    private final Consumer<String> log;
    private final RollbackCheck rollbackCheck;
    private final long exitTimeoutMs;
    private final LocalMember self;
    private final FleetLeadership leadership;
    private final RecoveryProgress recovery;
    private final FleetAdminEndpoint adminEndpoint;
    private final FleetClock clock = new FleetClock();
    private final CountDownLatch exitOrdered = new CountDownLatch(1);
    private final List<BiConsumer<FleetView, Member>> viewListeners = new ArrayList<>();
    private FleetView fleet = new FleetView(Map.of());
    private long appliedVersion = -1;
    private boolean refreshScheduled;
    private String leaderNonce = "";

    /** Read from any thread. */
    private volatile long leaseUntil = Long.MIN_VALUE;

    /**
     * Creates a node on a store that has not been started.
     *
     * @param loop the state loop
     * @param counted the configuration and the number of starts on the data directory
     * @param rollbackCheck the check of the data directory, which has begun
     * @param configVersion the version of the configuration that the broker runs with
     */
    public FleetNode(
            EventLoop loop,
            StoreNode store,
            FleetConfig.WithStartCount counted,
            RollbackCheck rollbackCheck,
            String configVersion,
            Host host,
            Consumer<String> log) {
        this.loop = loop;
        this.store = store;
        this.host = host;
        this.log = log;
        this.rollbackCheck = rollbackCheck;
        FleetConfig config = counted.config();
        LocalMember.Timing timing = config.timing();
        exitTimeoutMs = timing.exitWaitMs() + EXIT_GRACE_RETRIES * timing.retryMs();
        DisruptionBudget budget = new DisruptionBudget();
        self = localMember(store, counted, configVersion, budget);
        RecoveryRamp ramp = config.recovery();
        recovery = ramp == null ? null : new RecoveryProgress(ramp, config.zone(), host, log);
        leadership =
                new FleetLeadership(
                        loop, store, host, log, controller(budget, timing.termMs(), ramp));
        adminEndpoint =
                new FleetAdminEndpoint(
                        loop,
                        store,
                        log,
                        new AdminRequestHandler(budget),
                        leadership,
                        recovery,
                        new AdminNode());
    }

    private static LocalMember localMember(
            StoreNode store,
            FleetConfig.WithStartCount counted,
            String configVersion,
            DisruptionBudget budget) {
        FleetConfig config = counted.config();
        LocalMember.Identity identity =
                new LocalMember.Identity(
                        store.node(),
                        store.session(),
                        store.session(),
                        config.zone(),
                        config.program(),
                        configVersion,
                        counted.starts());
        return new LocalMember(identity, config.timing(), budget);
    }

    private static FleetController controller(
            DisruptionBudget budget, long termMs, RecoveryRamp ramp) {
        return new FleetController(
                budget,
                new RolloutController(budget),
                new LeaseTable(termMs),
                ramp == null ? null : new OutageClassifier(ramp),
                ramp == null ? null : new RecoveryController(ramp));
    }

    /** Registers the node's callbacks at the store and begins its periodic ticks. */
    public void start() {
        store.whenFrozen(this::onCopyFrozen);
        store.onChange(
                changes -> {
                    if (changes.stream()
                            .anyMatch(change -> change.key().startsWith(FleetView.ROOT))) {
                        scheduleRefresh();
                    }
                });
        store.whenServingStale(
                copy -> {
                    if (recovery != null) {
                        recovery.onServingStale();
                    }
                    updateRecovery();
                });
        store.onPeerMessage(TOPIC, this::onPeerMessage);
        store.onAdminRequest("fleet", adminEndpoint::handle);
        store.whenLeading(
                () -> {
                    refreshView();
                    leadership.begin();
                });
        refreshView();
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    // ---- state from the store ----

    /**
     * Gives up the membership of this process: it renews its lease no longer, and a request to
     * terminate waits for no permit.
     */
    private void onCopyFrozen() {
        exitOrdered.countDown();
        viewListeners.forEach(listener -> listener.accept(fleet, null));
    }

    private void scheduleRefresh() {
        if (!refreshScheduled) {
            refreshScheduled = true;
            loop.execute(
                    () -> {
                        refreshScheduled = false;
                        refreshView();
                    });
        }
    }

    private void refreshView() {
        if (store.isFrozen()) {
            return;
        }
        Map<String, FleetView.Value> values = new TreeMap<>();
        store.valuesUnder(FleetView.ROOT)
                .forEach(
                        (key, value) ->
                                values.put(
                                        key, new FleetView.Value(value.text(), value.version())));
        fleet = new FleetView(values);
        appliedVersion = store.version();
        self.setVoters(store.configuration().voters());
        leadership.onFleetChanged(fleet);
        self.onFleetChanged(FleetClock.nowMs(), fleet, appliedVersion, mayWrite());
        executeMemberActions();
        updateRecovery();
        viewListeners.forEach(listener -> listener.accept(fleet, self.member()));
    }

    /**
     * Whether this process may register and write: its copy is current, and the check of its data
     * directory has passed.
     */
    private boolean mayWrite() {
        return rollbackCheck.isPassed() && store.isCurrent();
    }

    private void tick() {
        if (store.isFrozen()) {
            return;
        }
        long now = FleetClock.nowMs();
        leadership.updateLeader();
        if (store.version() != appliedVersion || store.isCurrent()) {
            appliedVersion = store.version();
            self.onFleetChanged(now, fleet, appliedVersion, mayWrite());
        } else {
            self.tick(now);
        }
        executeMemberActions();
        updateRecovery();
        leadership.proposeNextWrite();
    }

    private void updateRecovery() {
        if (recovery != null) {
            recovery.update(fleet, self.member(), store.node(), store.isCurrent());
        }
    }

    // ---- membership of this process ----

    private void executeMemberActions() {
        if (store.isFrozen()) {
            return;
        }
        leaseUntil = self.leaseUntil();
        self.drainActions().forEach(this::execute);
    }

    private void execute(LocalMember.Action action) {
        if (action instanceof LocalMember.Propose propose) {
            StoreWrites.submit(
                    store,
                    propose.write(),
                    result ->
                            loop.execute(
                                    () -> onWriteEnded(result instanceof StoreNode.Committed)));
        } else if (action instanceof LocalMember.SendHeartbeat heartbeat) {
            sendHeartbeat(heartbeat);
        } else if (action instanceof LocalMember.Drain) {
            log.accept("fleet: drains");
            host.drain();
        } else if (action instanceof LocalMember.Serve) {
            log.accept("fleet: serves again");
            host.serve();
        } else if (action instanceof LocalMember.Exit exit) {
            log.accept("fleet: ends: " + exit.reason());
            exitOrdered.countDown();
            store.transferLeadership();
            host.exit(exit.reason());
        } else if (action instanceof LocalMember.Log line) {
            log.accept("fleet: " + line.line());
        }
    }

    private void onWriteEnded(boolean committed) {
        self.writeEnded(FleetClock.nowMs(), committed);
        executeMemberActions();
    }

    private void sendHeartbeat(LocalMember.SendHeartbeat heartbeat) {
        String leader = store.leader();
        if (leader != null) {
            Heartbeat message =
                    new Heartbeat(
                            heartbeat.incarnation(),
                            leaderNonce,
                            heartbeat.sentAtMs(),
                            heartbeat.appliedVersion(),
                            WallClock.now(),
                            host.counts(),
                            host.ejected());
            store.sendToPeer(leader, TOPIC, HeartbeatCodec.encode(message));
        }
    }

    private void onPeerMessage(String from, byte[] bytes) {
        HeartbeatCodec.Message message = HeartbeatCodec.decode(bytes);
        if (message instanceof Heartbeat heartbeat) {
            leadership.onHeartbeat(
                    from,
                    heartbeat,
                    answer -> store.sendToPeer(from, TOPIC, HeartbeatCodec.encode(answer)));
        } else if (message instanceof Answer answer) {
            onHeartbeatAnswer(answer);
        }
    }

    private void onHeartbeatAnswer(Answer answer) {
        long now = FleetClock.nowMs();
        leaderNonce = answer.leaderNonce();
        if (recovery != null
                && answer.outageClassified()
                && answer.incarnation() == self.incarnation()) {
            recovery.onStartClassified();
        }
        self.heartbeatAnswered(now, answer.incarnation(), answer.sentAtMs());
        clock.onFleetWallClock(answer.fleetWallMs(), WallClock.now(), now - answer.sentAtMs());
        executeMemberActions();
    }

    /** Whether this member is certain to hold its lease; callable from any thread. */
    public boolean holdsLease() {
        return FleetClock.nowMs() < leaseUntil;
    }

    /**
     * Returns the minimum deviation of this node's wall clock from the fleet's, ms; negative while
     * it is unknown.
     */
    public long wallClockErrorMs() {
        return clock.errorMs();
    }

    /**
     * Returns this node's estimate of the fleet's wall clock, Unix ms: its own wall clock,
     * corrected by its minimum deviation.
     */
    public long fleetWallMs() {
        return WallClock.now() + clock.fleetAheadMs();
    }

    /** Returns the fleet as this node last read it from its copy of the store. */
    public FleetView fleet() {
        return fleet;
    }

    /**
     * Adds a listener that is called on the state loop whenever the fleet or this member may have
     * changed; the member is null while this process is not registered.
     */
    public void addListener(BiConsumer<FleetView, FleetView.Member> listener) {
        viewListeners.add(listener);
    }

    /** Reports that the broker accepts clients; callable from any thread. */
    public void ready() {
        loop.execute(
                () -> {
                    self.onReady(FleetClock.nowMs());
                    executeMemberActions();
                });
    }

    /**
     * Handles SIGTERM: blocks until the process may end, at most for the configured time and for
     * {@code maxWaitMs}. Must not be called on the state loop.
     */
    public void terminate(long maxWaitMs) throws InterruptedException {
        loop.execute(
                () -> {
                    self.terminate(FleetClock.nowMs(), maxWaitMs - UNPLANNED_EXIT_MS);
                    executeMemberActions();
                });
        // Times out if the node has not been started: without ticks no exit is ordered.
        exitOrdered.await(Math.min(maxWaitMs, exitTimeoutMs), TimeUnit.MILLISECONDS);
    }

    /**
     * Deregisters the process after it has drained, and blocks until the write has ended or timed
     * out. Must not be called on the state loop.
     */
    public void deregister() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    ConditionalWrite write = self.deregistration();
                    leaseUntil = self.leaseUntil();
                    if (write == null) {
                        done.countDown();
                    } else {
                        StoreWrites.submit(store, write, result -> done.countDown());
                    }
                });
        done.await(DEREGISTRATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Gives operators' requests access to this node's state. */
    private final class AdminNode implements FleetAdminEndpoint.Node {
        @Override
        public FleetView fleet() {
            return fleet;
        }

        @Override
        public FleetView refreshedFleet() {
            refreshView();
            return fleet;
        }

        @Override
        public String describe() {
            return self.describe(FleetClock.nowMs())
                    + " version="
                    + store.version()
                    + (store.isCurrent() ? "" : " old");
        }
    }
}
