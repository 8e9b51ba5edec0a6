package reeldeal.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget;

/**
 * One broker process as a member of the fleet: registers, renews its lease, reports its state, and
 * executes drains and restarts that were ordered. It begins to drain only after the log has its
 * state as DRAINING, and reports SERVING only once it accepts clients, so that it is never out of
 * service while the log has it as serving. Its incarnation is read from the log, which also shows
 * whether a write with an unknown outcome was committed.
 *
 * <p>A state machine without I/O: inputs are method calls with the time, ms of this node's steady
 * clock; outputs are {@link #drainActions}. Used on the state loop. Protected methods are rules
 * that the simulation overrides with broken ones, to verify that it detects them.
 */
public class LocalMember {
    /** An action that the caller must execute, in the order of the list. */
    public sealed interface Action {}

    /** Proposes a write; the caller reports its outcome with {@link LocalMember#writeEnded}. */
    public record Propose(ConditionalWrite write) implements Action {}

    /**
     * Sends a heartbeat to the leader; the caller reports the answer with {@link
     * LocalMember#heartbeatAnswered}.
     */
    public record SendHeartbeat(long incarnation, long sentAtMs, long appliedVersion)
            implements Action {}

    /** Stops accepting new clients and completes open requests. */
    public record Drain() implements Action {}

    /** Accepts clients again. */
    public record Serve() implements Action {}

    /** Shuts the process down gracefully. */
    public record Exit(String reason) implements Action {}

    /** Writes a line to the process log. */
    public record Log(String line) implements Action {}

    /**
     * The attributes of the process that it registers with.
     *
     * @param name the name of the broker, the same for all its processes
     * @param bootId the unique identifier of the process
     * @param session the process's session in the store
     * @param zone the availability zone
     * @param program the program's version
     * @param config the version of the configuration that the process runs
     * @param starts how many processes were started on this data directory, 0 if not counted
     */
    public record Identity(
            String name,
            String bootId,
            String session,
            String zone,
            String program,
            String config,
            long starts) {
        /** Creates the identity of a process whose starts are not counted. */
        public Identity(
                String name,
                String bootId,
                String session,
                String zone,
                String program,
                String config) {
            this(name, bootId, session, zone, program, config, 0);
        }
    }

    /**
     * Durations in ms.
     *
     * @param termMs the term of leases
     * @param heartbeatMs the interval of heartbeats
     * @param exitWaitMs how long a process that was asked to terminate waits for a permit
     * @param retryMs the delay after a failed write
     */
    public record Timing(long termMs, long heartbeatMs, long exitWaitMs, long retryMs) {
        /** The default durations. */
        public static final Timing DEFAULT = new Timing(6_000, 1_000, 10_000, 500);
    }

    /** The prefix of the keys that make the store keep a session, followed by the session. */
    public static final String SESSION_PREFIX = "session/";

    /** How many retry delays a process waits after the permit deadline before it exits anyway. */
    private static final int EXIT_GRACE_RETRIES = 4;

    private final Identity identity;
    private final Timing timing;
    private final DisruptionBudget budget;
    private final Lease lease;
    private final List<Action> actions = new ArrayList<>();

    // The state in this node's copy of the store.
    private FleetView fleet;
    private Set<String> voters = Set.of();
    private long appliedVersion;
    private boolean mayWrite;
    private boolean wasRegistered;
    private boolean superseded;
    private long lastSerial = -1;
    private long grantSeenAt = Long.MIN_VALUE / 2;

    // The state of this process.
    private boolean acceptsClients;
    private boolean isDraining;
    private boolean deregistered;
    private long nextHeartbeatAt = Long.MIN_VALUE;
    private boolean writeInProgress;
    private long nextWriteAt = Long.MIN_VALUE;

    // The exit of this process.
    private boolean terminating;
    private long permitWaitMs;
    private long permitDeadline = Long.MAX_VALUE;
    private boolean unplannedExit;
    private boolean exitOrdered;

    /** Creates a member that has not registered yet. */
    public LocalMember(Identity identity, Timing timing, DisruptionBudget budget) {
        this.identity = identity;
        this.timing = timing;
        this.budget = budget;
        this.lease = createLease(timing.termMs());
    }

    /** Creates the lease of this process. */
    protected Lease createLease(long termMs) {
        return new Lease(termMs);
    }

    // ---- inputs ----

    /**
     * Handles a new version of this node's copy of the store.
     *
     * @param writesAllowed whether this process may write: its copy is up to date, rather than read
     *     from disk at the start, and its data directory is known to be intact
     */
    public void onFleetChanged(long now, FleetView newFleet, long version, boolean writesAllowed) {
        fleet = newFleet;
        appliedVersion = version;
        mayWrite = writesAllowed;
        long serial = newFleet.version(FleetView.PERMIT_SERIAL);
        if (serial != lastSerial) {
            lastSerial = serial;
            grantSeenAt = now;
        }
        tick(now);
    }

    /** Sets the voters of the store, a majority of which must remain available. */
    public void setVoters(Set<String> newVoters) {
        voters = newVoters;
    }

    /** Records that the broker accepts clients. */
    public void onReady(long now) {
        acceptsClients = true;
        tick(now);
    }

    /**
     * Handles the end of a write. If it failed or its outcome is unknown, the next write is decided
     * after a delay.
     */
    public void writeEnded(long now, boolean committed) {
        writeInProgress = false;
        nextWriteAt = now + (committed ? 0 : timing.retryMs());
        tick(now);
    }

    /** Renews the lease for a heartbeat, sent at {@code sentAt}, that the leader answered. */
    public void heartbeatAnswered(long now, long incarnation, long sentAt) {
        lease.renew(incarnation, sentAt);
        tick(now);
    }

    /**
     * Handles SIGTERM: requests a permit, and exits without one after at most {@code maxWaitMs}.
     */
    public void terminate(long now, long maxWaitMs) {
        if (!terminating) {
            terminating = true;
            permitWaitMs = Math.max(0, Math.min(maxWaitMs, timing.exitWaitMs()));
            permitDeadline = now + permitWaitMs;
        }
        tick(now);
    }

    /** Returns the actions that have accumulated since the last call, in order, and clears them. */
    public List<Action> drainActions() {
        List<Action> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    // ---- state ----

    /** Returns the member entry of this process in the log, or null if it has not registered. */
    public Member member() {
        Member listed = fleet == null ? null : fleet.members().get(identity.name());
        return listed != null && listed.bootId().equals(identity.bootId()) ? listed : null;
    }

    /** Returns the member entry of this process if it may act under its lease, otherwise null. */
    private Member leaseHolder() {
        Member self = member();
        return self != null && self.hasLease() && !deregistered ? self : null;
    }

    /** Returns whether this process is certain to hold its lease. */
    public boolean holdsLease(long now) {
        Member self = leaseHolder();
        return self != null && lease.isValid(self.incarnation(), now);
    }

    /**
     * Returns until when this process is certain to hold its lease; {@code Long.MIN_VALUE} if it
     * does not hold it.
     */
    public long leaseUntil() {
        Member self = leaseHolder();
        return self == null ? Long.MIN_VALUE : lease.expiresAt(self.incarnation());
    }

    /** Returns the availability zone of this process. */
    public String zone() {
        return identity.zone();
    }

    /** Returns the incarnation of this process, 0 if it has not registered. */
    public long incarnation() {
        Member self = member();
        return self == null ? 0 : self.incarnation();
    }

    /** Returns whether this process has begun to drain. */
    public boolean isDraining() {
        return isDraining;
    }

    // ---- decisions ----

    /** Advances the state machine to the current time, and decides the next actions. */
    public void tick(long now) {
        if (fleet == null || superseded) {
            return;
        }
        Member self = member();
        if (self == null && wasRegistered && fleet.members().containsKey(identity.name())) {
            onSuperseded();
            return;
        }
        wasRegistered |= self != null;
        if (self != null && now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + timing.heartbeatMs();
            actions.add(new SendHeartbeat(self.incarnation(), now, appliedVersion));
        }
        if (exitOrdered) {
            return; // only heartbeats continue until the process has ended
        }
        followOrders(self);
        if (mayWrite && !writeInProgress && now >= nextWriteAt) {
            if (self == null || self.state() == State.LAPSED) {
                register();
            } else {
                reportState(now, self);
            }
        }
        exitIfOverdue(now, self);
    }

    private void onSuperseded() {
        superseded = true;
        actions.add(
                new Log(
                        "another process has registered as "
                                + identity.name()
                                + ", incarnation "
                                + fleet.members().get(identity.name()).incarnation()
                                + "; this process no longer writes to the store"));
    }

    private void followOrders(Member self) {
        if (self == null) {
            return;
        }
        if (mayDrain(self) && !isDraining) {
            isDraining = true;
            actions.add(new Drain());
        }
        Step step = fleet.steps().get(identity.name());
        Release release = fleet.release();
        if (step != null
                && mayRestart(step, self)
                && release != null
                && release.kind() == Kind.BROKER) {
            exit("release " + release.id() + " restarts it");
        }
    }

    /** Returns whether a drain of this process is ordered in the log. */
    protected boolean isDrainOrdered() {
        return fleet != null
                && identity.bootId().equals(fleet.drainMark(Kind.BROKER, identity.name()));
    }

    /**
     * Returns whether this process may begin to drain. It must report DRAINING first, so that no
     * process drains while the log has it as serving.
     */
    protected boolean mayDrain(Member self) {
        return self.state() == State.DRAINING && (terminating || isDrainOrdered());
    }

    /**
     * Returns whether a restart of this process is ordered. The order names one process, so that
     * its successor is not restarted again.
     */
    protected boolean mayRestart(Step step, Member self) {
        return step.stage() == Stage.RESTART
                && step.processMark().equals(identity.bootId())
                && self.state() == State.DRAINING;
    }

    private void exit(String reason) {
        if (!exitOrdered) {
            exitOrdered = true;
            actions.add(new Exit(reason));
        }
    }

    /** Exits, unplanned, if no permit was granted in time or the store is unreachable. */
    private void exitIfOverdue(long now, Member self) {
        if (!terminating || now < permitDeadline + timing.retryMs() * EXIT_GRACE_RETRIES) {
            return;
        }
        boolean storeUnreachable = self == null || !mayWrite;
        exit(
                "terminated, unplanned: "
                        + (storeUnreachable
                                ? "the store is unreachable"
                                : "no exit permit within " + permitWaitMs + " ms"));
    }

    private void propose(ConditionalWrite write) {
        writeInProgress = true;
        actions.add(new Propose(write));
    }

    private void register() {
        Member previous = fleet.members().get(identity.name());
        ConditionalWrite write =
                ConditionalWrite.withReason(
                                identity.name()
                                        + " registers with program "
                                        + identity.program()
                                        + ", configuration "
                                        + identity.config())
                        .expect(
                                FleetView.REGISTRATION + identity.name(),
                                previous == null ? 0 : previous.incarnation())
                        .put(
                                FleetView.REGISTRATION + identity.name(),
                                FleetCodec.encode(registration(previous)))
                        .put(FleetView.STATE + identity.name(), null)
                        .put(SESSION_PREFIX + identity.session(), "");
        if (previous != null && !previous.session().equals(identity.session())) {
            write.put(SESSION_PREFIX + previous.session(), null);
        }
        propose(write);
    }

    private FleetCodec.Registration registration(Member previous) {
        return new FleetCodec.Registration(
                identity.bootId(),
                identity.session(),
                identity.zone(),
                identity.program(),
                identity.config(),
                identity.starts(),
                crashedIncarnation(previous));
    }

    /** Returns the incarnation of the preceding process if it did not deregister, otherwise 0. */
    private long crashedIncarnation(Member previous) {
        if (previous == null) {
            return 0;
        }
        if (previous.bootId().equals(identity.bootId())) {
            return previous.crashedIncarnation(); // this process registers again
        }
        return previous.state() == State.GONE ? 0 : previous.incarnation();
    }

    /**
     * Proposes a write that brings the state in the log in line with the state of this process, and
     * requests a permit to exit if needed.
     */
    private void reportState(long now, Member self) {
        boolean mayEnd = unplannedExit || hasPermit(self);
        boolean shouldDrain = (terminating && mayEnd) || isDrainOrdered();
        boolean shouldServe = !shouldDrain && acceptsClients;
        if (terminating && !mayEnd && self.state() != State.DRAINING) {
            requestPermit(now);
            if (writeInProgress) {
                return;
            }
        }
        if (shouldDrain && self.state() != State.DRAINING) {
            String reason = unplannedExit ? "unplanned: no permit in " + permitWaitMs + " ms" : "";
            propose(fleet.stateWrite(self, State.DRAINING, reason));
        } else if (shouldServe && self.state() != State.SERVING) {
            if (isDraining) {
                isDraining = false; // it serves before it reports SERVING
                actions.add(new Serve());
            }
            propose(fleet.stateWrite(self, State.SERVING, ""));
        } else if (terminating && self.state() == State.DRAINING) {
            exit(unplannedExit ? "terminated, unplanned" : "terminated, with a permit");
        }
    }

    private boolean hasPermit(Member self) {
        Permit permit = fleet.permits(Kind.BROKER).get(identity.name());
        return permit != null && permit.processMark().equals(self.bootId());
    }

    private void requestPermit(long now) {
        if (now >= permitDeadline) {
            unplannedExit = true;
            actions.add(new Log("no permit to end in " + permitWaitMs + " ms; ending unplanned"));
            return;
        }
        DisruptionBudget.Observations observations =
                new DisruptionBudget.Observations(
                        null, new DisruptionBudget.ShardLayout(0, 0, 0), voters, now - grantSeenAt);
        DisruptionBudget.PermitDecision decision =
                budget.grant(
                        fleet, observations, Kind.BROKER, identity.name(), "exit", "told to end");
        if (decision.write() != null) {
            propose(decision.write());
        }
    }

    /**
     * Returns the last write of a process that has drained, or null if it holds no lease. Once the
     * write is committed, other brokers may take over its requests; therefore the process no longer
     * acts under its lease after this call.
     */
    public ConditionalWrite deregistration() {
        deregistered = true;
        Member self = member();
        if (self == null || !self.hasLease()) {
            return null;
        }
        return fleet.stateWrite(self, State.GONE, unplannedExit ? "unplanned" : "")
                .put(SESSION_PREFIX + identity.session(), null);
    }

    /**
     * Returns a status line for operators: the name, the state, and whether the process is fenced.
     */
    public String describe(long now) {
        return identity.name() + " " + describeState(member()) + (holdsLease(now) ? "" : " fenced");
    }

    private String describeState(Member self) {
        if (superseded) {
            return "superseded";
        }
        if (self == null) {
            return "unregistered";
        }
        return self.state().stored().toLowerCase(Locale.ROOT)
                + " incarnation="
                + self.incarnation();
    }
}
