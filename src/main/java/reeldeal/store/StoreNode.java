package reeldeal.store;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.consensus.RaftSettings;
import reeldeal.storage.DataDirectory;

/**
 * A node of a small replicated store, which provides committed values by key, writes, messages
 * between nodes, and operators' requests. This class is the interface of the package; it wires the
 * classes that own the state.
 *
 * <p>Threads: the event loop of the group given to the constructor owns all state. Committed
 * entries are applied on it (see {@link LogApplier}), and all listeners and callbacks run on it.
 * All methods must be called on it, except the constructor and {@link #start}, which may be called
 * earlier on any thread. Two threads of the node, {@code store-disk} and {@code store-snapshot}, do
 * the blocking work; they use no state of the node.
 *
 * <p>A write is committed once a majority of the voters has it on disk. It is applied, and thus
 * visible to readers and listeners, once it is on this node's disk too, so that a restart never
 * loses a change that this node has already published.
 */
public final class StoreNode implements AutoCloseable {
    /** How long a starting node waits for the group, in ms, before it serves its stale copy. */
    public static final int STALE_START_MS = 2_000;

    /** The prefix of the keys of node addresses, for nodes that configuration files do not list. */
    public static final String NODE_KEY_PREFIX = "node/";

    /** The size of a log file, in bytes, at which a new one is started. */
    static final int SEGMENT_BYTES = 4 << 20;

    private static final int TICK_MS = 50;

    /** The result of a write. */
    public sealed interface Result {}

    /** The write is committed, at this version. */
    public record Committed(long version) implements Result {}

    /** The write was not applied, and never will be. */
    public record Rejected(String reason) implements Result {}

    /** The result did not arrive in time: the write may have been committed, or may still be. */
    public record Unknown() implements Result {}

    /**
     * This node did not propose the write, because another node leads or because it cannot accept
     * more writes. Other attempts of the same write may still succeed.
     */
    record NotLeader(String reason) implements Result {}

    private final StoreConfig config;
    private final NodeIdentity identity;
    private final StoreLoop loop;
    private final DataDirectory directory;
    private final RaftNode raft;
    private final StoreStatus status = new StoreStatus();
    private final PeerConnections connections;
    private final PeerDirectory peers;
    private final LogApplier applier;
    private final StoreMemory memory;
    private final SnapshotScheduler snapshots;
    private final RaftDriver driver;
    private final WriteProposer proposer;
    private final WriteForwarder forwarder;
    private final PeerMessageRouter router;
    private final StaleStart staleStart;
    private final UntrustedDirectory untrustedDirectory;

    /**
     * Opens the node's data directory.
     *
     * @param group the event loop group, with exactly one event loop, on which the node runs
     * @param log receives log lines, on any thread
     * @throws IOException if the directory cannot be used; the message contains the reason
     */
    public StoreNode(EventLoopGroup group, StoreConfig config, Consumer<String> log)
            throws IOException {
        this(group, config, StoreMemoryLimits.ofThisProcess(), log);
    }

    /** Opens the node's data directory, with memory limits other than those of this process. */
    StoreNode(
            EventLoopGroup group,
            StoreConfig config,
            StoreMemoryLimits memoryLimits,
            Consumer<String> log)
            throws IOException {
        this.config = config;
        loop = new StoreLoop(group);
        identity = NodeIdentity.ofNewIncarnation(config.node());
        directory = NodeDirectory.open(config, log);
        untrustedDirectory = new UntrustedDirectory(config.directory(), loop, log);
        RaftNode.PersistentState persistedState = directory.openResult().state();
        raft =
                new RaftNode(
                        config.node(),
                        RaftSettings.DEFAULT.limitWindow(memoryLimits.unsentBytes()),
                        persistedState,
                        new SplittableRandom()::nextInt);
        connections =
                new PeerConnections(
                        group, config.group(), config.node(), memoryLimits.unsentBytes(), log);
        peers = new PeerDirectory(config, connections);
        WriteQueue writes = new WriteQueue(loop);
        KeyValueState state = KeyValueState.fromSnapshot(persistedState.snapshot().data());
        if (persistedState.snapshot().index() > 0) {
            raft.replaceSnapshotData(persistedState.snapshot().index(), state.freeze());
        }
        directory.releaseOpenResult();
        applier = new LogApplier(state, writes, peers, log);
        memory = new StoreMemory(memoryLimits, raft, applier, log);
        snapshots = new SnapshotScheduler(loop, directory, log);
        driver =
                new RaftDriver(
                        config.node(),
                        raft,
                        new RaftDriver.Components(
                                status, connections, peers, applier, writes, snapshots, memory),
                        directory,
                        loop,
                        log);
        proposer = new WriteProposer(raft, driver, writes, status, memory);
        forwarder =
                new WriteForwarder(
                        identity,
                        raft,
                        status,
                        proposer,
                        connections,
                        loop,
                        memoryLimits.queuedBytes());
        router =
                new PeerMessageRouter(
                        config.node(),
                        raft,
                        new PeerMessageRouter.Handlers(driver, proposer, forwarder),
                        status,
                        connections);
        staleStart = new StaleStart(log);
        status.whenCurrent(staleStart::discard);
        GroupAdminHandler admin = new GroupAdminHandler(this, log);
        onAdminRequest("store", admin::handle);
        whenLeading(admin::onLeading);
    }

    /**
     * Sets whether the disk requests that arrive during a write are written together, with one
     * flush. It is disabled only by a benchmark that measures the difference.
     */
    public void groupCommit(boolean enabled) {
        driver.groupCommit(enabled);
    }

    /** Listens, then takes part in the group; the future completes when the address is bound. */
    public ChannelFuture start() {
        ChannelFuture bound = connections.listen(config.nodes().get(config.node()), router);
        bound.addListener(
                future -> {
                    if (future.isSuccess() && !status.isClosed()) {
                        onBound();
                    }
                });
        return bound;
    }

    private void onBound() {
        applier.publishAll();
        haltIfRolledBackEarlier();
        driver.start();
        if (config.backup() != null) {
            loop.scheduleAtFixedRate(
                    config.backupMs(),
                    () -> {
                        if (status.isCurrent()) {
                            backup(config.backup());
                        }
                    });
        }
        loop.schedule(STALE_START_MS, this::serveStaleCopy);
        loop.scheduleAtFixedRate(TICK_MS, driver::tick);
    }

    private void haltIfRolledBackEarlier() {
        if (untrustedDirectory.reasonOfEarlierStart() != null) {
            driver.halt(untrustedDirectory.reasonOfEarlierStart() + " (found at an earlier start)");
        }
    }

    /** Serves the copy on this node's disk, unless the group was reached in time. */
    private void serveStaleCopy() {
        if (!status.hasBeenCurrent() && !status.isClosed() && !status.isFrozen()) {
            KeyValueState state = applier.state();
            staleStart.createCopy(state.freeze(), raft.entriesAfter(state.version()));
        }
    }

    /**
     * Calls a listener with the copy on this node's disk if the starting node does not reach the
     * group in time, or immediately if that has happened already.
     */
    public void whenServingStale(Consumer<KeyValueState> listener) {
        staleStart.whenServing(listener);
    }

    /** Whether this node has been current or serves a stale copy, so that values can be read. */
    public boolean hasAppliedState() {
        return status.hasBeenCurrent() || staleStart.copy() != null;
    }

    /** Returns a value, or null: from the stale copy if that is served, else the committed one. */
    public String getPossiblyStale(String key) {
        KeyValueState stale = status.hasBeenCurrent() ? null : staleStart.copy();
        return textOf((stale == null ? applier.state() : stale).get(key));
    }

    private static String textOf(KeyValueState.Value value) {
        return value == null ? null : value.text();
    }

    /** Returns the committed value of a key, or null if the key does not exist. */
    public String get(String key) {
        return textOf(value(key));
    }

    /** Returns the version that wrote a key, or 0 if the key does not exist. */
    public long versionOf(String key) {
        KeyValueState.Value value = value(key);
        return value == null ? 0 : value.version();
    }

    /** Returns the first keys that begin with a prefix, at most {@code limit} of them. */
    public List<String> keysUnder(String prefix, int limit) {
        return valuesUnder(prefix).keySet().stream().limit(limit).toList();
    }

    /** Returns the changes in this node's log that are not yet applied, committed or not. */
    public List<Change> unappliedChanges() {
        return KeyValueCodec.changesOf(raft.entriesAfter(version()));
    }

    /** Sets whether this node only follows: it then neither votes nor becomes a candidate. */
    public void withholdVotes(boolean enabled) {
        driver.withholdVotes(enabled);
    }

    /** Returns the version up to which this node has applied the log. */
    public long version() {
        return applier.state().version();
    }

    /**
     * Returns the changes that were written after a version, or null if the history does not reach
     * back that far; then the caller must read the values again.
     */
    public List<KeyValueState.ChangeSet> changeSetsSince(long version) {
        return applier.state().changeSetsSince(version);
    }

    /** Adds a listener for the changes of each committed write and of each installed snapshot. */
    public void onChange(Consumer<List<Change>> listener) {
        applier.addListener(listener);
    }

    /**
     * Runs a listener each time this node starts to accept writes, at which point all earlier
     * committed entries are applied; runs it immediately if the node accepts writes already.
     */
    public void whenLeading(Runnable listener) {
        status.whenLeading(listener);
    }

    /** Whether this node leads and accepts writes. */
    public boolean acceptsWrites() {
        return status.isWriter();
    }

    /** Whether everything that was committed at the leader's last heartbeat is applied. */
    public boolean isCurrent() {
        return status.isCurrent();
    }

    /** Runs a listener each time the node becomes current. */
    public void whenCurrent(Runnable listener) {
        status.whenCurrent(listener);
    }

    /**
     * Whether this node's copy will never follow the group's log again in this process; {@link
     * StoreStatus} says what the copy may still be used for.
     */
    public boolean isFrozen() {
        return status.isFrozen();
    }

    /** Runs a listener once the copy is frozen, immediately if it is already. */
    public void whenFrozen(Runnable listener) {
        status.whenFrozen(listener);
    }

    /** Returns the name of the leader, or null if it is not known. */
    public String leader() {
        return raft.leader();
    }

    /** Returns the latest group configuration in this node's log. */
    public GroupConfiguration configuration() {
        return raft.configuration();
    }

    /** Returns a value with its version, or null; all values are of the same state version. */
    public KeyValueState.Value value(String key) {
        return applier.state().get(key);
    }

    /** Returns a view of all values whose keys begin with a prefix, ordered by key. */
    public Map<String, KeyValueState.Value> valuesUnder(String prefix) {
        return applier.state().valuesUnder(prefix);
    }

    /** Returns the bytes stored under a prefix up to its first slash, which a quota may limit. */
    public long bytesUnder(String prefix) {
        return applier.state().bytesUnder(prefix.substring(0, prefix.indexOf('/')));
    }

    /** Returns a page of the values under a prefix; see {@link KeyValueState#page}. */
    public Map<String, KeyValueState.Value> page(
            String prefix, String after, int limit, int maxLength) {
        return applier.state().page(prefix, after, limit, maxLength);
    }

    /** Returns the sizes of what this node keeps in memory, and their bounds. */
    public StoreMemory memory() {
        return memory;
    }

    /** Returns the feature level, which determines the commands and rules in effect. */
    public int level() {
        return applier.state().level();
    }

    /** Writes changes, all or none of which are applied; rejected if this node does not lead. */
    public void write(List<Change> changes, Consumer<Result> callback) {
        write(KeyValueState.Command.of(changes), callback);
    }

    /** Writes a command with preconditions or a session; rejected if this node does not lead. */
    public void write(KeyValueState.Command command, Consumer<Result> callback) {
        proposer.write(command, callback);
    }

    /** Proposes bytes unchanged, to test how nodes handle an unsupported command format. */
    void proposeRaw(byte[] data) {
        driver.propose(data);
        driver.step();
    }

    /**
     * Writes with preconditions from any node, if necessary by forwarding to the leader; at most
     * once even if the leader changes. The result is {@link Unknown} if it does not arrive in time.
     */
    public void submit(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<Result> callback) {
        forwarder.submit(preconditions, changes, callback);
    }

    /** Sets the handler of operators' requests that begin with a word. */
    public void onAdminRequest(String word, BiConsumer<String, AdminReply> handler) {
        router.onAdminRequest(word, handler);
    }

    /**
     * Sends bytes on a topic to another node or to this one; returns false if they were not sent.
     * Even if it returns true they may be lost.
     */
    public boolean sendToPeer(String node, char topic, byte[] bytes) {
        if (status.isFrozen()) {
            return false;
        }
        byte[] content = new byte[1 + bytes.length];
        content[0] = (byte) topic;
        System.arraycopy(bytes, 0, content, 1, bytes.length);
        if (node.equals(config.node())) {
            loop.execute(() -> router.deliver(node, content));
            return true;
        }
        return connections.send(node, new PeerMessage.TopicMessage(config.node(), node, content));
    }

    /** Sets the one handler of a topic, which receives the sender's name and the bytes. */
    public void onPeerMessage(char topic, BiConsumer<String, byte[]> handler) {
        router.onTopic(topic, handler);
    }

    /** Runs a callback if a majority confirms, after this call, that this node leads. */
    public void confirmLeadership(Runnable whenConfirmed) {
        driver.confirmLeadership(whenConfirmed);
    }

    /** Returns the name of this node. */
    public String node() {
        return config.node();
    }

    /** Returns the name of this node's incarnation, the prefix of its sessions' names. */
    public String session() {
        return identity.session();
    }

    /** Returns the level that a node announced, 0 if unknown; for this node its program's level. */
    public int levelOf(String node) {
        return node.equals(config.node()) ? PeerMessage.LEVEL : connections.protocolLevel(node);
    }

    RaftNode.NodeProgress progressOf(String node) {
        return raft.progressOf(node);
    }

    boolean isConfigurationCommitted() {
        return raft.isConfigurationCommitted();
    }

    String addressOf(String node) {
        return peers.addressOf(node);
    }

    void schedule(int delayMs, Runnable task) {
        loop.schedule(delayMs, task);
    }

    /** Proposes a new group configuration; returns false if this node cannot propose it now. */
    public boolean changeConfiguration(GroupConfiguration proposed) {
        return driver.changeConfiguration(proposed);
    }

    /** Starts a transfer of leadership to a voter; returns false if this node cannot. */
    public boolean transferLeadership(String to) {
        return driver.transferLeadership(to);
    }

    /** Before a shutdown, transfers leadership to the reachable voter whose log lags the least. */
    public void transferLeadership() {
        if (status.isWriter()) {
            driver.transferLeadership();
        }
    }

    /**
     * Halts this node because its data directory lacks data that it once held. The node stops
     * taking part in the group, and its copy is frozen, now and after each later start on this
     * directory.
     */
    public void markFolderUntrusted(String reason) {
        if (!status.isFrozen()) {
            driver.halt(reason);
            untrustedDirectory.remember(reason);
        }
    }

    /** Compacts the log up to the present state; a separate thread creates the snapshot. */
    public void compactNow() {
        driver.compactNow();
    }

    /** Writes the state to a backup file in the background; the file is replaced atomically. */
    public void backup(Path file) {
        snapshots.backup(file, applier.state().freeze());
    }

    /** Closes the connections and waits up to 5 s for the write in progress. */
    @Override
    public void close() throws IOException {
        status.close();
        connections.close();
        snapshots.close();
        driver.close();
        directory.close();
    }
}
