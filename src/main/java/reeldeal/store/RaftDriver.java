package reeldeal.store;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Message;
import reeldeal.consensus.RaftNode;
import reeldeal.consensus.Ready;
import reeldeal.consensus.Snapshot;
import reeldeal.storage.DataDirectory;

/**
 * Gives the inputs to the {@link RaftNode} and carries out its output: disk requests, messages, the
 * applying of entries, confirmed reads. All calls, and all callbacks, are on the event loop.
 */
final class RaftDriver implements DiskQueue.Listener {
    private final String node;
    private final RaftNode raft;
    private final StoreStatus status;
    private final PeerConnections connections;
    private final PeerDirectory peers;
    private final LogApplier applier;
    private final WriteQueue writes;
    private final SnapshotScheduler snapshots;
    private final DiskQueue disk;
    private final StoreLoop loop;
    private final Consumer<String> log;
    private final Map<Long, Runnable> confirmations = new HashMap<>();
    private long nextReadId = 1;
    private boolean stepping;
    private boolean votesWithheld;

    /** The classes that a driver connects, apart from the node itself. */
    record Components(
            StoreStatus status,
            PeerConnections connections,
            PeerDirectory peers,
            LogApplier applier,
            WriteQueue writes,
            SnapshotScheduler snapshots) {}

    RaftDriver(
            String node,
            RaftNode raft,
            Components components,
            DataDirectory directory,
            StoreLoop loop,
            Consumer<String> log) {
        this.node = node;
        this.raft = raft;
        this.status = components.status();
        this.connections = components.connections();
        this.peers = components.peers();
        this.applier = components.applier();
        this.writes = components.writes();
        this.snapshots = components.snapshots();
        this.loop = loop;
        this.log = log;
        this.disk = new DiskQueue(loop, directory, this);
    }

    void groupCommit(boolean enabled) {
        disk.groupCommit(enabled);
    }

    /** Neither votes nor becomes a candidate while this is on. */
    void withholdVotes(boolean enabled) {
        votesWithheld = enabled;
    }

    // ---- inputs ----

    /** Begins to take part in the group. */
    void start() {
        peers.connectAll(raft.configuration(), applier.state());
        if (raft.configuration().voters().equals(Set.of(node))) {
            raft.campaignNow(); // no other node could
        }
        step();
    }

    void tick() {
        boolean ignored = votesWithheld && raft.role() == RaftNode.Role.FOLLOWER;
        if (status.isActive() && !ignored) {
            raft.tick();
            step();
        }
    }

    void receive(Message message) {
        boolean ignored =
                votesWithheld
                        && (message instanceof Message.VoteRequest
                                || message instanceof Message.TimeoutNow);
        if (status.isActive() && !ignored) {
            raft.receive(message);
            step();
        }
    }

    /** Proposes an entry without carrying out the output; returns its index, or -1. */
    long propose(byte[] data) {
        return raft.propose(data);
    }

    boolean changeConfiguration(GroupConfiguration proposed) {
        boolean started = raft.changeConfiguration(proposed) >= 0;
        step();
        return started;
    }

    boolean transferLeadership(String to) {
        boolean started = raft.transferLeadership(to);
        step();
        return started;
    }

    /** Transfers leadership to the reachable voter that has most of the log. */
    void transferLeadership() {
        raft.configuration().voters().stream()
                .filter(voter -> !voter.equals(node) && raft.progressOf(voter).reachable())
                .min(Comparator.comparingLong(voter -> raft.progressOf(voter).entriesBehind()))
                .ifPresent(this::transferLeadership);
    }

    /** Runs this once a majority has confirmed, after now, that this node leads. */
    void confirmLeadership(Runnable whenConfirmed) {
        long readId = nextReadId++;
        confirmations.put(readId, whenConfirmed);
        raft.read(readId);
        step();
    }

    @Override
    public void onPersisted(long request, long logBytes) {
        snapshots.onLogSize(logBytes);
        raft.persisted(request);
        step();
    }

    @Override
    public void onDiskFailure(Exception cause) {
        halt(
                cause.getMessage()
                        + "; this node reads on and writes no more until it is started again");
    }

    /** Takes part no more, and serves what it has. */
    void halt(String reason) {
        if (status.halt()) {
            log.accept("store: " + reason);
            writes.abandonAll();
        }
    }

    // ---- output ----

    /** Carries out the node's output until there is none. */
    void step() {
        if (stepping || !status.isActive()) {
            return; // the call that runs goes on until there is no more output
        }
        stepping = true;
        boolean hasMore = true;
        while (hasMore && !status.isClosed()) {
            Ready ready = raft.takeReady();
            hasMore = hasOutput(ready);
            process(ready);
            updateStatus();
        }
        stepping = false;
    }

    private static boolean hasOutput(Ready ready) {
        return !ready.persists.isEmpty()
                || !ready.messages.isEmpty()
                || ready.install() != null
                || !ready.committed.isEmpty()
                || !ready.reads.isEmpty();
    }

    private void process(Ready ready) {
        ready.notes.forEach(note -> log.accept("store: " + note));
        disk.add(ready.persists);
        for (Message message : ready.messages) {
            if (connections.supportsLevel(message.to(), applier.state().level())) {
                connections.send(message);
            }
        }
        if (ready.install() != null) {
            install(ready.install());
        }
        ready.failedReads.forEach(confirmations::remove);
        for (Ready.ReadReady read : ready.reads) {
            Runnable whenConfirmed = confirmations.remove(read.read());
            if (whenConfirmed != null) {
                loop.execute(whenConfirmed);
            }
        }
        applier.apply(ready.committed, raft.durableIndex());
        if (!applier.isStopped()
                && snapshots.isDue()
                && applier.state().version() > raft.snapshotIndex()) {
            compactNow();
        }
    }

    private void install(Snapshot snapshot) {
        try {
            applier.install(snapshot.data());
        } catch (IOException e) {
            onDiskFailure(e);
        }
    }

    /** Compacts the log up to the state as it is now. */
    void compactNow() {
        KeyValueState.Frozen state = applier.state().freeze();
        long version = state.version();
        snapshots.start(
                state,
                raft.snapshotAt(version, new byte[0]),
                data -> {
                    if (status.isActive() && version > raft.snapshotIndex()) {
                        raft.compact(version, data);
                        snapshots.onLogSize(0);
                        step();
                    }
                });
    }

    private void updateStatus() {
        peers.update(raft.configuration(), applier.state());
        if (applier.isStopped()) {
            status.stopServing();
            writes.abandonAll();
            transferToNewerProgram();
            return;
        }
        if (raft.role() != RaftNode.Role.LEADER) {
            writes.abandonAll();
        }
        StoreStatus.Transition transition = status.update(raft, applier.isIdle());
        if (transition.becameCurrent()) {
            status.notifyCurrent();
        }
        if (transition.becameWriter()) {
            log.accept("store: " + node + " writes under term " + raft.term());
            status.notifyLeading();
        }
    }

    /** A node that cannot read the log must not be the one that writes it. */
    private void transferToNewerProgram() {
        raft.configuration().voters().stream()
                .filter(voter -> connections.level(voter) > PeerMessage.LEVEL)
                .findFirst()
                .ifPresent(raft::transferLeadership);
    }

    /** Waits for the disk. */
    void close() {
        disk.close();
    }
}
