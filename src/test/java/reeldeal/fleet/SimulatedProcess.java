package reeldeal.fleet;

import java.util.Map;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.membership.LocalMember;

/** A broker's process, with a steady clock of its own; it may be killed, paused or partitioned. */
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

    /** Whether a leader has told it that it is certain what was lost. */
    boolean startClassified;

    /** The leadership of the last answer that it had. */
    long lastAnsweredLeadership = -1;

    /** Why it ends, null while it does not. */
    String exitReason;

    /** The version up to which it has applied the log, and the fleet at that version. */
    long appliedVersion;

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

    /** Kills it; nothing of it serves any more. */
    void kill() {
        markDead();
        serving = false;
    }

    /** Its steady clock, ms. */
    long clock() {
        return clockOffset + (long) (fleet.now * clockRate);
    }

    boolean holdsLease() {
        return member.holdsLease(clock());
    }

    /** Whether it drains or has drained by an order. */
    boolean isOutByOrder() {
        return draining && (exitReason == null || !exitReason.contains("unplanned"));
    }

    /** Runs an action in this process; a paused one runs it once it resumes. */
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
                        appliedView = fleet.latest;
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
                        name + " drains while the log holds it for serving");
            } else if (action instanceof LocalMember.Serve) {
                draining = false;
            } else if (action instanceof LocalMember.Exit exit) {
                exit(exit.reason());
            }
        }
    }

    private void send(LocalMember.SendHeartbeat heartbeat) {
        // A leader is drawn twice: the recorded digests depend on the number of draws.
        if (!partitioned && fleet.election.drawLeader() != null) {
            SimulatedLeader leader = fleet.election.drawLeader();
            fleet.after(fleet.drawDelay(), () -> leader.onHeartbeat(this, heartbeat));
        }
    }

    /** The leader answered a heartbeat. */
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
