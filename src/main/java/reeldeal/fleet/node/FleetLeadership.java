package reeldeal.fleet.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.core.WallClock;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.leader.FleetController;
import reeldeal.fleet.membership.ClockMedian;
import reeldeal.fleet.node.HeartbeatCodec.Answer;
import reeldeal.fleet.node.HeartbeatCodec.Heartbeat;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;

/**
 * The duties of this node towards the fleet while it leads the store: answers heartbeats and
 * proposes the writes of its {@link FleetController}. Used on the state loop.
 */
final class FleetLeadership {
    private static final int ANSWER_DELAY_MS = 50;

    private final EventLoop loop;
    private final StoreNode store;
    private final FleetNode.Host host;
    private final Consumer<String> log;
    private final FleetController controller;
    private final ClockMedian clockMedian = new ClockMedian();
    private final List<Runnable> pendingAnswers = new ArrayList<>();
    private FleetView fleet = new FleetView(Map.of());
    private boolean answersScheduled;
    private long leaderSeenAt = FleetClock.nowMs();
    private String leadershipNonce = "";

    /** Creates the leadership of a node that does not lead. */
    FleetLeadership(
            EventLoop loop,
            StoreNode store,
            FleetNode.Host host,
            Consumer<String> log,
            FleetController controller) {
        this.loop = loop;
        this.store = store;
        this.host = host;
        this.log = log;
        this.controller = controller;
    }

    /** Begins this node's leadership. */
    void begin() {
        long now = FleetClock.nowMs();
        leadershipNonce = store.session() + "-" + now;
        clockMedian.clear();
        controller.beginLeadership(now, now - leaderSeenAt);
    }

    /** Updates the copy of the fleet after the store has applied a change. */
    void onFleetChanged(FleetView newFleet) {
        fleet = newFleet;
        controller.setVoters(store.configuration().voters());
        controller.onFleetChanged(FleetClock.nowMs(), newFleet);
    }

    /** Records when the store last had a leader, and ends a leadership that this node has lost. */
    void updateLeader() {
        if (store.leader() != null) {
            leaderSeenAt = FleetClock.nowMs();
        }
        if (controller.isLeading() && !store.acceptsWrites()) {
            controller.endLeadership();
        }
    }

    // ---- writes ----

    /** Proposes the controller's next write; each commit triggers the following write. */
    void proposeNextWrite() {
        if (!controller.isLeading() || !store.acceptsWrites()) {
            return;
        }
        controller.setSearchers(host.searchers(), host.shards());
        ConditionalWrite write = controller.nextWrite(FleetClock.nowMs());
        if (write != null) {
            store.write(
                    new KeyValueState.Command(
                            "", 0, StoreWrites.preconditions(write), StoreWrites.changes(write)),
                    result -> onWriteEnded(write, result instanceof StoreNode.Committed));
        }
    }

    private void onWriteEnded(ConditionalWrite write, boolean committed) {
        if (committed) {
            log.accept("fleet: " + write.reason());
        }
        // Deferred until this node has applied the committed change.
        loop.execute(
                () -> {
                    controller.onWriteEnded();
                    if (committed) {
                        proposeNextWrite(); // after a rejection the next tick decides again
                    }
                });
    }

    // ---- heartbeats ----

    /** Processes a member's heartbeat, and answers it if it renews the member's lease. */
    void onHeartbeat(String member, Heartbeat heartbeat, Consumer<Answer> sendAnswer) {
        boolean isLeaseRenewed =
                controller.onHeartbeat(
                        FleetClock.nowMs(),
                        member,
                        heartbeat.incarnation(),
                        heartbeat.appliedVersion(),
                        heartbeat.counts(),
                        heartbeat.ejected());
        if (!isLeaseRenewed) {
            return;
        }
        clockMedian.retainMembers(fleet.members().keySet());
        if (heartbeat.wallMs() > 0) {
            clockMedian.recordOffset(member, heartbeat.wallMs(), WallClock.now());
        }
        if (heartbeat.leaderNonce().equals(leadershipNonce)) {
            controller.onLivenessConfirmed(member);
        }
        pendingAnswers.add(
                () ->
                        sendAnswer.accept(
                                new Answer(
                                        heartbeat.incarnation(),
                                        heartbeat.sentAtMs(),
                                        leadershipNonce,
                                        controller.hasClassifiedOutage(),
                                        fleetWallMs())));
        scheduleAnswers();
    }

    /** Schedules one confirmation of the leadership for all heartbeats of a short interval. */
    private void scheduleAnswers() {
        if (!answersScheduled) {
            answersScheduled = true;
            loop.schedule(this::confirmAndAnswer, ANSWER_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void confirmAndAnswer() {
        answersScheduled = false;
        List<Runnable> answers = List.copyOf(pendingAnswers);
        pendingAnswers.clear();
        store.confirmLeadership(() -> answers.forEach(Runnable::run));
    }

    /** Returns the fleet's wall clock, Unix ms; 0 if too few members' clocks are known. */
    private long fleetWallMs() {
        int leaseHolders = (int) fleet.members().values().stream().filter(Member::hasLease).count();
        return clockMedian.hasQuorum(store.node(), leaseHolders)
                ? WallClock.now() + clockMedian.medianOffsetMs(store.node())
                : 0;
    }

    // ---- operators' requests ----

    /** Returns the state that this node observes itself, with its present endpoint list. */
    DisruptionBudget.Observations observations(long now) {
        controller.setSearchers(host.searchers(), host.shards());
        return controller.observations(now);
    }

    /** Returns the time since a member's last heartbeat, ms, or -1 if it is unknown here. */
    long silenceMs(Member member, long now) {
        return controller.isLeading() ? controller.silenceMs(member, now) : -1;
    }
}
