package reeldeal.fleet;

import java.util.Map;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.membership.LocalMember;

/** A broker process with its own steady clock; it can be killed, paused or partitioned. */
final class SimulatedProcess {
    private static final long HEARTBEAT_MS = 500;
    private static final long PERMIT_TIMEOUT_MS = 2_000;
    private static final long RETRY_MS = 300;

    private final FleetSimulation fleet;
    final String name;
    final String boot;
    final String config;
    final LocalMember member;
    private final double clockRate;
    private final long clockOffset;

    boolean alive = true;
    long diedAt = -1;
    boolean paused;
    boolean partitioned;
    boolean draining;
    boolean serving;

    /**
     * Whether a leader has confirmed that it classified the outage before the start of this
     * process.
     */
    boolean startClassified;

    /** The leadership that sent the last answer this process received. */
    long lastAnsweredLeadership = -1;

    /** Why this process exits, null while it does not. */
    String exitReason;

    /** The version up to which it has applied the log. */
    long appliedVersion;

    /** Its view of the fleet at that version. */
    FleetView appliedView = new FleetView(Map.of());

    SimulatedProcess(FleetSimulation fleet, String name) {
        this.fleet = fleet;
        this.name = name;
        clockRate = fleet.drawClockRate();
        clockOffset = fleet.rng.nextInt(1_000_000);
        boot = name + "#" + fleet.nextBootNumber();
        config = fleet.drawConfig(name);
        member =
                fleet.modules.localMember(
                        new LocalMember.Identity(
                                name,
                                boot,
                                "s" + boot,
                                name.hashCode() % 2 == 0 ? "a" : "b",
                                "p",
                                config),
                        new LocalMember.Timing(
                                FleetSimulation.TERM_MS, HEARTBEAT_MS, PERMIT_TIMEOUT_MS, RETRY_MS),
                        fleet.modules.disruptionBudget());
        fleet.after(50 + fleet.rng.nextInt(400), () -> run(this::serve));
        tick();
    }

    private void serve() {
        serving = true;
        if (fleet.extension != null) {
            fleet.extension.onStarted(this);
        }
        fleet.invariants.onServing(this);
        member.onReady(clock());
    }

    void markDead() {
        alive = false;
        diedAt = fleet.now;
    }

    /** Kills the process, which then no longer serves. */
    void kill() {
        markDead();
        serving = false;
    }

    /** Returns the time of its steady clock, ms. */
    long clock() {
        return clockOffset + (long) (fleet.now * clockRate);
    }

    boolean holdsLease() {
        return member.holdsLease(clock());
    }

    /** Returns whether it drains or has drained by an order, including an exit with a permit. */
    boolean isOutByOrder() {
        return draining && (exitReason == null || !exitReason.contains("unplanned"));
    }

    /** Runs an action in this process, after it resumes if it is paused. */
    void run(Runnable action) {
        if (!alive) {
            return;
        } else if (paused) {
            fleet.after(50, () -> run(action));
            return;
        }
        action.run();
        executeActions();
    }

    private void tick() {
        run(
                () -> {
                    if (partitioned) {
                        member.tick(clock());
                    } else {
                        appliedVersion = fleet.version;
                        appliedView = fleet.latestView;
                        member.onFleetChanged(clock(), appliedView, appliedVersion, true);
                    }
                    if (fleet.extension != null) {
                        fleet.extension.onTick(this);
                    }
                    fleet.after(80 + fleet.rng.nextInt(40), this::tick);
                });
    }

    private void executeActions() {
        for (LocalMember.Action action : member.drainActions()) {
            if (action instanceof LocalMember.Propose propose) {
                fleet.submit(
                        propose.write(),
                        partitioned,
                        committed -> run(() -> member.writeEnded(clock(), committed)));
            } else if (action instanceof LocalMember.SendHeartbeat heartbeat) {
                send(heartbeat);
            } else if (action instanceof LocalMember.Drain) {
                draining = true;
                fleet.check(
                        fleet.invariants.hasReported(this, State.DRAINING),
                        name + " drains before its state in the log is DRAINING");
            } else if (action instanceof LocalMember.Serve) {
                draining = false;
            } else if (action instanceof LocalMember.Exit exit) {
                exit(exit.reason());
            }
        }
    }

    private void send(LocalMember.SendHeartbeat heartbeat) {
        // A leader is drawn twice, because the recorded digests depend on the number of draws.
        if (!partitioned && fleet.election.drawLeader() != null) {
            SimulatedLeader leader = fleet.election.drawLeader();
            fleet.after(fleet.drawDelay(), () -> leader.onHeartbeat(this, heartbeat));
        }
    }

    /** Handles the leader's answer to a heartbeat. */
    void onAnswer(LocalMember.SendHeartbeat heartbeat, long leadership, boolean outageClassified) {
        lastAnsweredLeadership = leadership;
        startClassified |= outageClassified && heartbeat.incarnation() == member.incarnation();
        member.heartbeatAnswered(clock(), heartbeat.incarnation(), heartbeat.sentAtMs());
    }

    private void exit(String reason) {
        exitReason = reason;
        if (reason.startsWith("release")) {
            fleet.invariants.onRestart(name, fleet.operator.maxRestarts());
        }
        ConditionalWrite deregistration = member.deregistration();
        if (deregistration != null && fleet.rng.nextInt(5) > 0) {
            fleet.submit(deregistration, partitioned, committed -> {});
        }
        fleet.after(100 + fleet.rng.nextInt(800), this::kill);
        fleet.after(1_000 + fleet.rng.nextInt(2_000), () -> fleet.startIfDead(name));
    }
}
