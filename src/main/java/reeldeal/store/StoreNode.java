package reeldeal.store;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import reeldeal.consensus.Entry;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.RaftNode;
import reeldeal.storage.DataDirectory;

/**
 * A node of a small replicated store: committed values by their keys, writes, messages between
 * nodes, and operators' requests. This class is the store's interface; it wires the classes that
 * own the state.
 *
 * <p>Threads: the event loop of the group given to the constructor owns all state. The committed
 * entries are applied on it (see {@link LogApplier}), and all listeners and callbacks run on it.
 * All methods must be called on it, but for the constructor and {@link #start}, which may be called
 * before on any thread. What blocks is done by two threads of the node's own, {@code store-disk}
 * and {@code store-snapshot}; they use no state of the node.
 *
 * <p>A write is committed once a majority of the voters has it on disk. It is applied, and so seen
 * by readers and listeners, once it is on this node's disk too: a node never forgets what it has
 * published.
 */
public final class StoreNode implements AutoCloseable {
    /** How long a start waits for the group, in ms, before the copy on this disk is served. */
    public static final int STALE_START_MS = 2_000;

    /** The prefix of the keys of nodes' addresses, for those whose files do not name them. */
    public static final String NODE_KEY_PREFIX = "node/";

    /** The size of a file of the log from which on another is begun. */
    static final int SEGMENT_BYTES = 4 << 20;

    private static final int TICK_MS = 50;

    /** The result of a write. */
    public sealed interface Result {}

    /** It is committed, at this version. */
    public record Committed(long version) implements Result {}

    /** It did not happen, and will not. */
    public record Rejected(String reason) implements Result {}

    /** It was begun, but no majority has it in time: it may yet be committed. */
    public record Unknown() implements Result {}

    /**
     * This node did not propose it: another leads, or this one cannot accept more. Nothing is said
     * of other attempts of the same write.
     */
    record NotLeader(String reason) implements Result {}

    private final StoreConfig config;
    private final NodeIdentity identity;
    private final StoreLoop loop;
    private final Consumer<String> log;
    private final DataDirectory directory;
    private final RaftNode raft;
    private final StoreStatus status = new StoreStatus();
    private final PeerConnections connections;
    private final PeerDirectory peers;
    private final LogApplier applier;
    private final SnapshotScheduler snapshots;
    private final RaftDriver driver;
    private final WriteProposer proposer;
    private final WriteForwarder forwarder;
    private final PeerMessageRouter router;
    private final StaleStart staleStart;

    /**
     * Opens the node's data directory.
     *
     * @param group has one event loop, on which the node runs
     * @param log takes lines for the log, on any thread
     * @throws IOException if the directory cannot be used; its message says why
     */
    public StoreNode(EventLoopGroup group, StoreConfig config, Consumer<String> log)
            throws IOException {
        this.config = config;
        this.log = log;
        loop = new StoreLoop(group);
        identity = NodeIdentity.ofNewIncarnation(config.node());
        directory = openDirectory();
        RaftNode.PersistentState onDisk = directory.opened().state();
        raft =
                new RaftNode(
                        config.node(),
                        RaftNode.Settings.DEFAULT,
                        onDisk,
                        new SplittableRandom()::nextInt);
        connections = new PeerConnections(group, config.group(), config.node(), log);
        peers = new PeerDirectory(config, connections);
        WriteQueue writes = new WriteQueue(loop);
        KeyValueState state = KeyValueState.fromBytes(onDisk.snapshot().data());
        applier = new LogApplier(state, writes, peers, log);
        snapshots = new SnapshotScheduler(loop, directory, log);
        driver =
                new RaftDriver(
                        config.node(),
                        raft,
                        new RaftDriver.Components(
                                status, connections, peers, applier, writes, snapshots),
                        directory,
                        loop,
                        log);
        proposer = new WriteProposer(raft, driver, writes, status);
        forwarder = new WriteForwarder(identity, raft, status, proposer, connections, loop);
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

    private DataDirectory openDirectory() throws IOException {
        String owner = config.group() + " " + config.node();
        LegacyFolderUpgrade.upgradeIfNeeded(config.directory(), owner, log);
        DataDirectory opened =
                DataDirectory.open(
                        config.directory(), owner, config.firstConfiguration(), SEGMENT_BYTES);
        if (opened.opened().cutBytes() > 0) {
            RaftNode.PersistentState onDisk = opened.opened().state();
            log.accept(
                    "store: cut a torn write of "
                            + opened.opened().cutBytes()
                            + " bytes after version "
                            + (onDisk.snapshot().index() + onDisk.entries().size()));
        }
        return opened;
    }

    /**
     * Whether one flush serves all writes that came while the last one was written; off only to
     * measure the difference.
     */
    public void groupCommit(boolean enabled) {
        driver.groupCommit(enabled);
    }

    /** Listens and takes part in the group; the future ends when the address is bound. */
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

    /** The group was not reached in time: serves what is on this disk. */
    private void serveStaleCopy() {
        if (!status.hasBeenCurrent() && !status.isClosed()) {
            KeyValueState state = applier.state();
            staleStart.createCopy(state.freeze(), raft.entriesAfter(state.version()));
        }
    }

    /**
     * Runs this with the copy on this disk if a start does not reach the group in time; now if that
     * has happened already.
     */
    public void whenServingStale(Consumer<KeyValueState> listener) {
        staleStart.whenServing(listener);
    }

    /**
     * Whether {@link #getPossiblyStale} has an answer: the group was heard, or the wait is over.
     */
    public boolean hasAppliedState() {
        return status.hasBeenCurrent() || staleStart.copy() != null;
    }

    /** A committed value; if the group was not reached at the start, that of the copy on disk. */
    public String getPossiblyStale(String key) {
        KeyValueState stale = status.hasBeenCurrent() ? null : staleStart.copy();
        return textOf((stale == null ? applier.state() : stale).get(key));
    }

    private static String textOf(KeyValueState.Value value) {
        return value == null ? null : value.text();
    }

    /** A committed value, or null. */
    public String get(String key) {
        return textOf(value(key));
    }

    /** The version that wrote a key, 0 if it does not exist. */
    public long versionOf(String key) {
        KeyValueState.Value value = value(key);
        return value == null ? 0 : value.version();
    }

    /** The first keys that begin with a prefix, at most {@code most}. */
    public List<String> keysUnder(String prefix, int limit) {
        return valuesUnder(prefix).keySet().stream().limit(limit).toList();
    }

    /** Changes in this node's log that are not applied yet, committed or not. */
    public List<Change> unappliedChanges() {
        List<Change> changes = new ArrayList<>();
        for (Entry entry : raft.entriesAfter(version())) {
            try {
                if (entry.data().length > 0) {
                    changes.addAll(KeyValueCodec.decode(entry.data()).changes());
                }
            } catch (IOException | KeyValueState.UnsupportedFormatException e) {
                break; // of a later program: this one knows neither it nor what follows
            }
        }
        return changes;
    }

    /** Neither votes nor becomes a candidate while this is on, but follows the leader. */
    public void withholdVotes(boolean enabled) {
        driver.withholdVotes(enabled);
    }

    /** The version up to which this node has applied the log. */
    public long version() {
        return applier.state().version();
    }

    /**
     * What was written after a version, or null if the history does not reach back so far: then the
     * values must be read again.
     */
    public List<KeyValueState.ChangeSet> changeSetsSince(long version) {
        return applier.state().changeSetsSince(version);
    }

    /** Notifies of each committed write from now on; after a snapshot, of all that it changed. */
    public void onChange(Consumer<List<Change>> listener) {
        applier.addListener(listener);
    }

    /**
     * Runs this each time that this node begins to accept writes, all that was committed before
     * being applied; now if it accepts them already.
     */
    public void whenLeading(Runnable listener) {
        status.whenLeading(listener);
    }

    /** Whether this node leads and accepts writes. */
    public boolean acceptsWrites() {
        return status.isWriter();
    }

    /** Whether all that was committed at the leader's last heartbeat is applied. */
    public boolean isCurrent() {
        return status.isCurrent();
    }

    /** Runs this each time that the node has become current. */
    public void whenCurrent(Runnable listener) {
        status.whenCurrent(listener);
    }

    /** The leader as far as it is known, or null. */
    public String leader() {
        return raft.leader();
    }

    /** The group's latest configuration in this node's log. */
    public GroupConfiguration configuration() {
        return raft.configuration();
    }

    /** A value with its version, or null; all values are of one version of the state. */
    public KeyValueState.Value value(String key) {
        return applier.state().get(key);
    }

    /** All values whose keys begin with a prefix, in order of their keys. */
    public Map<String, KeyValueState.Value> valuesUnder(String prefix) {
        return applier.state().valuesUnder(prefix);
    }

    /** Bytes kept under the first part of a key, up to its slash, which a quota may limit. */
    public long bytesUnder(String prefix) {
        return applier.state().bytesUnder(prefix.substring(0, prefix.indexOf('/')));
    }

    /** At most {@code most} values whose keys begin with a prefix, from after a key on. */
    public Map<String, KeyValueState.Value> page(String prefix, String after, int limit) {
        return applier.state().page(prefix, after, limit);
    }

    /** The level of commands and rules that hold. */
    public int level() {
        return applier.state().level();
    }

    /** Writes changes that are applied together or not at all, if this node leads. */
    public void write(List<Change> changes, Consumer<Result> callback) {
        write(KeyValueState.Command.of(changes), callback);
    }

    /** Writes with preconditions, or once for each number of a session, if this node leads. */
    public void write(KeyValueState.Command command, Consumer<Result> callback) {
        proposer.write(command, callback);
    }

    /** Proposes bytes as they are, to test how nodes treat a form that they do not know. */
    void proposeRaw(byte[] data) {
        driver.propose(data);
        driver.step();
    }

    /**
     * Writes with preconditions from any node: by this node if it leads, else by way of the leader,
     * and at most once even if the leader changes. Without a result in time it is unknown.
     */
    public void submit(
            List<KeyValueState.Precondition> preconditions,
            List<Change> changes,
            Consumer<Result> callback) {
        forwarder.submit(preconditions, changes, callback);
    }

    /** The answer to a request; {@code leader} is where to send it instead, or empty. */
    public record AdminAnswer(boolean ok, String text, String leader) {}

    /** Takes the answer to an operator's request, once. */
    public static final class AdminReply {
        private final Supplier<AdminAnswer> redirection;
        private Consumer<AdminAnswer> receiver;

        AdminReply(Consumer<AdminAnswer> receiver, Supplier<AdminAnswer> redirection) {
            this.receiver = receiver;
            this.redirection = redirection;
        }

        private void send(AdminAnswer answer) {
            if (receiver != null) {
                receiver.accept(answer);
                receiver = null;
            }
        }

        /** It was done, or this is the requested information. */
        public void answer(String text) {
            send(new AdminAnswer(true, text, ""));
        }

        /** It was not done, for this reason. */
        public void reject(String reason) {
            send(new AdminAnswer(false, reason, ""));
        }

        /** Only the leader can do it: says where that is, or that there is none. */
        public void redirect() {
            send(redirection.get());
        }
    }

    /** Handles operators' requests that begin with this word. */
    public void onAdminRequest(String word, BiConsumer<String, AdminReply> handler) {
        router.onAdminRequest(word, handler);
    }

    /**
     * Sends bytes on a topic to another node, or to this one; false if they certainly do not
     * arrive.
     */
    public boolean sendToPeer(String node, char topic, byte[] bytes) {
        byte[] content = new byte[1 + bytes.length];
        content[0] = (byte) topic;
        System.arraycopy(bytes, 0, content, 1, bytes.length);
        if (node.equals(config.node())) {
            loop.execute(() -> router.deliver(node, content));
            return true;
        }
        return connections.send(node, new PeerMessage.TopicMessage(config.node(), node, content));
    }

    /** Handles what other nodes send on a topic, by their names; one handler each. */
    public void onPeerMessage(char topic, BiConsumer<String, byte[]> handler) {
        router.onTopic(topic, handler);
    }

    /** Runs this once a majority has confirmed, after now, that this node leads; else never. */
    public void confirmLeadership(Runnable whenConfirmed) {
        driver.confirmLeadership(whenConfirmed);
    }

    /** This node's name. */
    public String node() {
        return config.node();
    }

    /** The name of this incarnation of this node, with which its sessions' names begin. */
    public String session() {
        return identity.session();
    }

    /** The level that a node announced, this program's for this node, or 0 if it is not known. */
    public int levelOf(String node) {
        return node.equals(config.node()) ? PeerMessage.LEVEL : connections.level(node);
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

    /** Proposes another configuration; false if this node cannot. */
    public boolean changeConfiguration(GroupConfiguration proposed) {
        return driver.changeConfiguration(proposed);
    }

    /** Transfers leadership to a voter; false if this node does not lead. */
    public boolean transferLeadership(String to) {
        return driver.transferLeadership(to);
    }

    /** Before a shutdown: if this node leads, transfers that to the voter that lacks least. */
    public void transferLeadership() {
        if (status.isWriter()) {
            driver.transferLeadership();
        }
    }

    /**
     * The directory does not hold what this node once had: the node takes part no more, and serves
     * what it has.
     */
    public void markFolderUntrusted(String reason) {
        driver.halt(reason);
    }

    /** Compacts the log up to the present state; a thread of its own makes the snapshot. */
    public void compactNow() {
        driver.compactNow();
    }

    /** Writes the state to a file, which is replaced as a unit, while the node goes on. */
    public void backup(Path file) {
        snapshots.backup(file, applier.state().freeze());
    }

    /** Closes connections and waits for the disk, at most 5 s. */
    @Override
    public void close() throws IOException {
        status.close();
        connections.close();
        snapshots.close();
        driver.close();
        directory.close();
    }
}
