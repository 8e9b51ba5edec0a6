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
 * Feeds inputs to the {@link RaftNode} and processes its output: disk requests, messages, committed
 * entries and confirmed reads. All calls and all callbacks are made on the event loop.
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
    private final StoreMemory memory;
    private final DiskQueue disk;
    private final StoreLoop loop;
    private final Consumer<String> log;
    private final Map<Long, Runnable> confirmations = new HashMap<>();
    private long nextReadId = 1;
    private boolean stepping;
    private boolean votesWithheld;

    /** The classes that the driver connects to the {@link RaftNode}. */
    record Components(
            StoreStatus status,
            PeerConnections connections,
            PeerDirectory peers,
            LogApplier applier,
            WriteQueue writes,
            SnapshotScheduler snapshots,
            StoreMemory memory) {}

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
        this.memory = components.memory();
        this.loop = loop;
        this.log = log;
        this.disk = new DiskQueue(loop, directory, this);
    }

    void groupCommit(boolean enabled) {
        disk.groupCommit(enabled);
    }

    /** Sets whether the node withholds its votes: it then neither votes nor becomes a candidate. */
    void withholdVotes(boolean enabled) {
        votesWithheld = enabled;
    }

    // ---- inputs ----

    /** Starts taking part in the group. */
    void start() {
        peers.connectAll(raft.configuration(), applier.state());
        if (raft.configuration().voters().equals(Set.of(node))) {
            raft.campaignNow(); // the only voter need not wait for an election timeout
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
        if (status.isActive() && !ignored && !memory.mustIgnore(message)) {
            raft.receive(message);
            step();
        }
    }

    /**
     * Proposes an entry and returns its index, or -1 if this node cannot propose. The caller must
     * then call {@link #step}.
     */
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

    /** Transfers leadership to the reachable voter whose log lags the least. */
    void transferLeadership() {
        raft.configuration().voters().stream()
                .filter(voter -> !voter.equals(node) && raft.progressOf(voter).reachable())
                .min(Comparator.comparingLong(voter -> raft.progressOf(voter).entriesBehind()))
                .ifPresent(this::transferLeadership);
    }

    /**
     * Runs a callback when a majority has confirmed, after this call, that this node leads; if it
     * stops leading before, the callback does not run.
     */
    void confirmLeadership(Runnable whenConfirmed) {
        long readId = nextReadId++;
        confirmations.put(readId, whenConfirmed);
        raft.read(readId);
        step();
    }

    @Override
    public void onPersisted(long request) {
        raft.persisted(request);
        step();
    }

    @Override
    public void onDiskUnavailable(IOException cause) {
        log.accept("store: write to disk failed, will be retried: " + cause.getMessage());
        if (status.isWriter()) {
            transferLeadership(); // a node whose disk writes can serve the group meanwhile
        }
    }

    @Override
    public void onDiskRecovered(int retries) {
        log.accept("store: writes to disk again after " + retries + " retries");
    }

    @Override
    public void onDiskFailure(Exception cause) {
        halt(cause.getMessage() + "; this node takes no part in the group until it is restarted");
    }

    /** Stops taking part in the group for good, and freezes the copy; see {@link StoreStatus}. */
    void halt(String reason) {
        if (status.isActive()) {
            log.accept("store: " + reason);
            status.halt();
            writes.abandonAll();
        }
    }

    // ---- output ----

    /** Processes the output of the {@link RaftNode} until there is none left. */
    void step() {
        if (stepping || !status.isActive()) {
            return; // a running call of this method processes all output
        }
        stepping = true;
        boolean hasMore = true;
        while (hasMore && status.isActive()) {
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
        ready.logLines.forEach(note -> log.accept("store: " + note));
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
            Runnable whenConfirmed = confirmations.remove(read.readId());
            if (whenConfirmed != null) {
                loop.execute(whenConfirmed);
            }
        }
        applier.apply(ready.committed, raft.durableIndex());
        if (!applier.isStopped() && memory.isCompactionDue() && !snapshots.isInProgress()) {
            compactNow();
        }
    }

    private void install(Snapshot snapshot) {
        try {
            applier.install(snapshot.data());
            // The installed state can encode itself, so that the received bytes need not be kept.
            raft.replaceSnapshotData(snapshot.index(), applier.state().freeze());
        } catch (IOException e) {
            onDiskFailure(e);
        }
    }

    /** Starts a compaction of the log up to the present state. */
    void compactNow() {
        KeyValueState.Frozen state = applier.state().freeze();
        long version = state.version();
        snapshots.start(
                raft.snapshotAt(version, state),
                () -> {
                    if (status.isActive() && version > raft.snapshotIndex()) {
                        raft.compact(version, state);
                        memory.onCompacted();
                        step();
                    }
                });
    }

    private void updateStatus() {
        peers.update(raft.configuration(), applier.state());
        if (applier.isStopped()) {
            status.freeze();
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
            log.accept("store: " + node + " accepts writes as leader of term " + raft.term());
            status.notifyLeading();
        }
    }

    /**
     * Hands leadership to a voter that runs a newer version of the program: a node that cannot read
     * the log must not lead the group.
     */
    private void transferToNewerProgram() {
        raft.configuration().voters().stream()
                .filter(voter -> connections.protocolLevel(voter) > PeerMessage.LEVEL)
                .findFirst()
                .ifPresent(raft::transferLeadership);
    }

    /** Closes the disk queue, which waits for the write in progress. */
    void close() {
        disk.close();
    }
}
