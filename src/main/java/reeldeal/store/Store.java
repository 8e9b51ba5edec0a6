package reeldeal.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.consensus.Entry;
import reeldeal.consensus.Members;
import reeldeal.consensus.Msg;
import reeldeal.consensus.Output;
import reeldeal.consensus.Raft;
import reeldeal.consensus.Snapshot;
import reeldeal.frames.FrameBuffer;
import reeldeal.storage.Folder;

/**
 * A node of a small replicated store: wires {@link Raft}, {@link Folder} and {@link State} to sockets, a thread
 * for the disk and a loop for all else. A write is committed once a majority of the voters has it on disk; it is
 * told here once it is on this node's disk too, so that a node never forgets what it told. All calls belong on
 * the loop.
 */
public final class Store implements AutoCloseable {
    /** How long a start waits for the group before what lies here is told, as old. */
    public static final int OLD_COPY_MS = 2_000;
    private static final int TICK_MS = 50;
    private static final int RETRY_MS = 100;
    private static final int WRITE_TIMEOUT_MS = 2_000;
    private static final int MAX_FRAME = 4 * 1024 * 1024;
    private static final int MAX_WRITES = 1_000;
    private static final int MAX_COMMAND = 512 * 1024;
    private static final int SEGMENT_BYTES = 4 << 20;
    private static final long COMPACT_BYTES = 16 << 20;
    private static final long UNSENT_BYTES = 8 << 20;

    /** What came of a write. */
    public sealed interface Result { }

    /** It is committed. */
    public record Committed(long version) implements Result { }

    /** It did not happen, and will not. */
    public record Rejected(String why) implements Result { }

    /** It was begun, but no majority has it in time: it may yet be committed. */
    public record Unknown() implements Result { }

    private static final class Pending {
        final long term;
        final List<Change> changes;
        Consumer<Result> then;

        Pending(long term, List<Change> changes, Consumer<Result> then) {
            this.term = term;
            this.changes = changes;
            this.then = then;
        }
    }

    private final EventLoopGroup group;
    private final StoreConfig config;
    private final Consumer<String> log;
    private final Folder folder;
    private final Raft raft;
    private State state;
    private final ExecutorService disk;
    private final ExecutorService background;
    private final List<Output.Persist> queued = new ArrayList<>();
    /** Whether one flush serves all that came while the last was written; off only to measure what that is worth. */
    boolean groupCommit = true;
    private boolean diskBusy;
    private boolean diskFailed;
    private final ArrayDeque<Entry> waiting = new ArrayDeque<>();
    private final TreeMap<Long, Pending> writes = new TreeMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final List<Channel> accepted = new ArrayList<>();
    private final List<Consumer<List<Change>>> listeners = new ArrayList<>();
    private final List<Runnable> whenWriting = new ArrayList<>();
    private final List<Runnable> whenCurrent = new ArrayList<>();
    private final List<Consumer<State>> whenOld = new ArrayList<>();
    private State old;
    private boolean wasCurrent;
    private Channel listener;
    private long logBytes;
    private boolean compacting;
    private boolean writer;
    private boolean current;
    private boolean closed;
    private boolean stepping;

    /** Opens the node's folder; throws where it cannot be used. */
    public Store(EventLoopGroup group, StoreConfig config, Consumer<String> log) throws IOException {
        this.group = group;
        this.config = config;
        this.log = log;
        Upgrade.run(config.folder(), config.group() + " " + config.node(), log);
        // A node that joins votes only once the group has taken it in.
        Members first = new Members(config.joins() ? others(config) : config.nodes().keySet(), java.util.Set.of());
        folder = Folder.open(config.folder(), config.group() + " " + config.node(), first, SEGMENT_BYTES);
        Raft.OnDisk onDisk = folder.opened().state();
        if (folder.opened().cutBytes() > 0) {
            log.accept("store: cut a torn write of " + folder.opened().cutBytes() + " bytes after version "
                    + (onDisk.snapshot().index() + onDisk.entries().size()));
        }
        state = State.fromBytes(onDisk.snapshot().data());
        raft = new Raft(config.node(), Raft.Settings.DEFAULT, onDisk, new SplittableRandom()::nextInt);
        logBytes = folder.size()[0];
        disk = Executors.newSingleThreadExecutor(run -> thread(run, "store-disk"));
        background = Executors.newSingleThreadExecutor(run -> thread(run, "store-snapshot"));
    }

    private static java.util.Set<String> others(StoreConfig config) {
        java.util.Set<String> others = new java.util.TreeSet<>(config.nodes().keySet());
        others.remove(config.node());
        return others;
    }

    private static Thread thread(Runnable run, String name) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Listens and takes part in the group. */
    public ChannelFuture start() {
        ChannelFuture bound = new ServerBootstrap().group(group, group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Incoming());
                    }
                }).bind(config.nodes().get(config.node()));
        listener = bound.channel();
        bound.addListener(f -> {
            if (f.isSuccess() && !closed) {
                begin();
            }
        });
        return bound;
    }

    private void begin() {
        List<Change> all = new ArrayList<>();
        state.under("").forEach((k, v) -> all.add(new Change(k, v.text())));
        if (!all.isEmpty()) {
            listeners.forEach(l -> l.accept(all));
        }
        config.nodes().forEach((name, address) -> {
            if (!name.equals(config.node())) {
                links.put(name, new Link(name));
            }
        });
        if (raft.members().voters().equals(java.util.Set.of(config.node()))) {
            raft.standNow(); // nobody else could
        }
        step();
        if (config.backup() != null) {
            group.next().scheduleAtFixedRate(() -> {
                if (current) {
                    backup(config.backup());
                }
            }, config.backupMs(), config.backupMs(), TimeUnit.MILLISECONDS);
        }
        group.next().schedule(this::tellOld, OLD_COPY_MS, TimeUnit.MILLISECONDS);
        group.next().scheduleAtFixedRate(() -> {
            if (!closed && !diskFailed) {
                raft.tick();
                step();
            }
        }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * The group cannot be reached: all that lies on this disk is told as an old copy, entries whose end is not
     * known here included. Since nothing is told before it is on disk, it holds whatever this node ever told; a
     * later truth takes its place.
     */
    private void tellOld() {
        if (wasCurrent || closed) {
            return;
        }
        try {
            State copy = State.fromBytes(state.freeze().toBytes());
            raft.entriesAfter(copy.version()).forEach(e -> copy.apply(e.index(), e.data(), new ArrayList<>()));
            old = copy;
            log.accept("store: the group was not reached in " + OLD_COPY_MS + " ms; going on from the copy here, version "
                    + copy.version() + ", marked as old");
            whenOld.forEach(w -> w.accept(copy));
        } catch (IOException e) {
            log.accept("store: the copy here cannot be read: " + e.getMessage());
        }
    }

    /** Runs this with the copy that lies here, where a start did not reach the group in time. */
    public void whenOld(Consumer<State> run) {
        whenOld.add(run);
    }

    /** A committed value; where the group was not reached at the start, what lies here. */
    public String getEvenOld(String key) {
        State.Value value = wasCurrent || old == null ? state.get(key) : old.get(key);
        return value == null ? null : value.text();
    }

    // ---- reading ----

    /** A committed value, or null. */
    public String get(String key) {
        State.Value value = state.get(key);
        return value == null ? null : value.text();
    }

    /** The version that wrote a key, 0 where it is not there. */
    public long versionOf(String key) {
        State.Value value = state.get(key);
        return value == null ? 0 : value.version();
    }

    /** The first keys that begin so, {@code most} at the most. */
    public List<String> keysUnder(String prefix, int most) {
        return state.under(prefix).keySet().stream().limit(most).toList();
    }

    /** The version up to which this node has told the log. */
    public long version() {
        return state.version();
    }

    /** What was written after a version, or null where only the values themselves are known any more. */
    public List<State.Written> since(long version) {
        return state.since(version);
    }

    /** Tells of each committed write from now on; after a snapshot, of all that it changed, at once. */
    public void onChange(Consumer<List<Change>> told) {
        listeners.add(told);
    }

    /** Runs this each time that writes begin to be taken here, all that was committed before being known. */
    public void whenWriting(Runnable run) {
        whenWriting.add(run);
        if (writer) {
            run.run();
        }
    }

    /** Whether writes are taken here now. */
    public boolean isWriter() {
        return writer;
    }

    /** Whether all that was committed when the leader last spoke has been told. */
    public boolean isCurrent() {
        return current;
    }

    /** Runs this each time that the node has become current. */
    public void whenCurrent(Runnable run) {
        whenCurrent.add(run);
    }

    /** Who leads, as far as is known, or null. */
    public String leader() {
        return raft.leader();
    }

    /** The group as this node knows it. */
    public Members members() {
        return raft.members();
    }

    // ---- writing ----

    /** Writes changes that happen together or not at all. */
    public void write(List<Change> changes, Consumer<Result> then) {
        write(State.Command.of(changes), then);
    }

    /** Writes on conditions, or once for each number of a session. */
    public void write(State.Command command, Consumer<Result> then) {
        byte[] data = State.encode(command);
        if (!writer) {
            then.accept(new Rejected(raft.leader() == null ? "no majority has answered yet"
                    : "the writer is " + raft.leader()));
        } else if (data.length > MAX_COMMAND) {
            then.accept(new Rejected("the write is too large"));
        } else if (writes.size() >= MAX_WRITES) {
            then.accept(new Rejected("too many writes are waiting"));
        } else {
            long index = raft.propose(data);
            if (index < 0) {
                then.accept(new Rejected("leadership is being handed over"));
                return;
            }
            Pending pending = new Pending(raft.term(), command.changes(), then);
            writes.put(index, pending);
            group.next().schedule(() -> unknown(pending), WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            step();
        }
    }

    private void unknown(Pending pending) {
        Consumer<Result> then = pending.then;
        pending.then = null;
        if (then != null) {
            then.accept(new Unknown());
        }
    }

    /** Proposes other members; true where this node could. */
    public boolean change(Members fresh) {
        boolean begun = raft.change(fresh) >= 0;
        step();
        return begun;
    }

    /** Hands leadership over. */
    public boolean transfer(String to) {
        boolean begun = raft.transfer(to);
        step();
        return begun;
    }

    // ---- what the module asks for ----

    private void step() {
        if (stepping || closed || diskFailed) {
            return; // the one that runs goes on until there is nothing more
        }
        stepping = true;
        for (boolean more = true; more && !closed;) {
            Output out = raft.take();
            more = !out.persists.isEmpty() || !out.messages.isEmpty() || out.install() != null || !out.committed.isEmpty();
            out.notes.forEach(n -> log.accept("store: " + n));
            queued.addAll(out.persists);
            flush();
            out.messages.forEach(m -> {
                Link link = links.get(m.to());
                if (link != null) {
                    link.send(m);
                }
            });
            if (out.install() != null) {
                install(out.install().data());
            }
            waiting.addAll(out.committed);
            apply();
            roles();
        }
        stepping = false;
    }

    private void flush() {
        if (diskBusy || queued.isEmpty()) {
            return;
        }
        diskBusy = true;
        // All that came while the last was written goes with one flush.
        List<Output.Persist> taken = groupCommit ? queued : queued.subList(0, 1);
        List<Output.Persist> batch = List.copyOf(taken);
        taken.clear();
        disk.execute(() -> {
            try {
                folder.write(batch);
                long bytes = folder.size()[0];
                group.next().execute(() -> {
                    diskBusy = false;
                    logBytes = bytes;
                    raft.persisted(batch.get(batch.size() - 1).number());
                    step();
                    flush();
                });
            } catch (IOException | RuntimeException e) {
                group.next().execute(() -> failDisk(e));
            }
        });
    }

    /** What is on disk is not known: this node takes no part any more, and goes on telling what it has. */
    private void failDisk(Exception e) {
        if (closed) {
            return;
        }
        diskFailed = true;
        writer = false;
        current = false;
        log.accept("store: " + e.getMessage() + "; this node reads on and writes no more until it is started again");
        abandon();
    }

    private void abandon() {
        List<Pending> left = List.copyOf(writes.values());
        writes.clear();
        left.forEach(this::unknown);
    }

    private void install(byte[] bytes) {
        waiting.clear();
        try {
            State fresh = State.fromBytes(bytes);
            List<Change> changes = new ArrayList<>();
            state.under("").forEach((k, v) -> {
                if (fresh.get(k) == null) {
                    changes.add(new Change(k, null));
                }
            });
            fresh.under("").forEach((k, v) -> {
                if (!v.equals(state.get(k))) {
                    changes.add(new Change(k, v.text()));
                }
            });
            state = fresh;
            log.accept("store: took a snapshot of version " + state.version() + ", " + bytes.length + " bytes");
            listeners.forEach(l -> l.accept(changes));
        } catch (IOException e) {
            failDisk(e);
        }
    }

    private void apply() {
        while (!waiting.isEmpty() && waiting.peek().index() <= raft.durableIndex()) {
            Entry entry = waiting.poll();
            if (entry.index() <= state.version()) {
                continue;
            }
            Pending pending = writes.remove(entry.index());
            boolean ours = pending != null && pending.term == entry.term();
            List<Change> changed = new ArrayList<>();
            State.Outcome outcome = state.apply(entry.index(), entry.data(), changed);
            if (!changed.isEmpty()) {
                List<Change> told = ours ? pending.changes : List.copyOf(changed);
                listeners.forEach(l -> l.accept(told));
            }
            if (pending != null && pending.then != null) {
                Consumer<Result> then = pending.then;
                pending.then = null;
                then.accept(!ours ? new Unknown() : outcome.done() ? new Committed(outcome.version())
                        : new Rejected(outcome.refusal()));
            }
        }
        if (logBytes > COMPACT_BYTES && !compacting && state.version() > raft.snapshotIndex()) {
            compactNow();
        }
    }

    /** The state is taken as it is now, at once; its bytes are made elsewhere. */
    void compactNow() {
        compacting = true;
        State.Frozen frozen = state.freeze();
        Snapshot shape = raft.snapshotAt(frozen.version(), new byte[0]);
        background.execute(() -> {
            byte[] bytes = frozen.toBytes();
            try {
                folder.prepare(new Snapshot(shape.index(), shape.term(), shape.members(), bytes));
            } catch (IOException e) {
                log.accept("store: snapshot not prepared: " + e); // the disk's thread tries again, and tells
            }
            group.next().execute(() -> {
                compacting = false;
                if (!closed && !diskFailed && frozen.version() > raft.snapshotIndex()) {
                    raft.compact(frozen.version(), bytes);
                    logBytes = 0;
                    step();
                }
            });
        });
    }

    /** Writes what is committed here to a file while the node goes on; the file is replaced whole. */
    public void backup(java.nio.file.Path file) {
        State.Frozen frozen = state.freeze();
        background.execute(() -> {
            try {
                Backup.write(file, frozen);
                log.accept("store: version " + frozen.version() + " backed up to " + file);
            } catch (IOException e) {
                log.accept("store: no backup: " + e);
            }
        });
    }

    private void roles() {
        boolean leads = raft.role() == Raft.Role.LEADER && raft.leadsSurely() && waiting.isEmpty();
        if (raft.role() != Raft.Role.LEADER && !writes.isEmpty()) {
            abandon();
        }
        boolean began = leads && !writer;
        writer = raft.role() == Raft.Role.LEADER && (writer || leads);
        boolean now = raft.isCurrent() && (writer || waiting.isEmpty());
        boolean became = now && !current;
        current = now;
        wasCurrent |= now;
        if (became) {
            old = null;
            whenCurrent.forEach(Runnable::run);
        }
        if (began) {
            log.accept("store: " + config.node() + " writes under term " + raft.term());
            whenWriting.forEach(Runnable::run);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        writer = false;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(accepted).forEach(Channel::close);
        links.values().forEach(Link::close);
        disk.shutdown();
        background.shutdown();
        try {
            disk.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        folder.close();
    }

    // ---- the other nodes ----

    /** Messages to one node; what cannot be sent is lost, as on any network. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private final String name;
        private Channel channel;
        private boolean up;

        Link(String name) {
            this.name = name;
            connect();
        }

        @Override
        public boolean isSharable() {
            return true; // one connection after another
        }

        private void connect() {
            if (closed) {
                return;
            }
            ChannelFuture connecting = new Bootstrap().group(group).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000).option(ChannelOption.TCP_NODELAY, true)
                    .handler(this).connect(config.nodes().get(name));
            channel = connecting.channel();
            connecting.addListener(f -> {
                if (f.isSuccess() && channel.localAddress().equals(channel.remoteAddress())) {
                    channel.close(); // on loopback a connect to a port nobody listens on can meet itself
                } else {
                    up = f.isSuccess();
                }
            });
            channel.closeFuture().addListener(f -> {
                up = false;
                group.next().schedule(this::connect, RETRY_MS, TimeUnit.MILLISECONDS);
            });
        }

        void send(Msg m) {
            var unsent = channel.unsafe().outboundBuffer();
            if (up && (unsent == null || unsent.totalPendingWriteBytes() < UNSENT_BYTES)) {
                byte[] bytes = Wire.write(config.group(), m);
                channel.writeAndFlush(Unpooled.buffer(4 + bytes.length).writeInt(bytes.length).writeBytes(bytes));
            }
        }

        void close() {
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ((ByteBuf) message).release(); // nothing is said on this side
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Incoming extends ChannelInboundHandlerAdapter {
        private final FrameBuffer frames = new FrameBuffer(4, MAX_FRAME);

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            accepted.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            accepted.remove(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
            frames.feed((ByteBuf) message);
            for (byte[] f = frames.next(); f != null && !closed && !diskFailed; f = frames.next()) {
                Msg m = Wire.read(config.group(), f);
                if (m.to().equals(config.node()) && config.nodes().containsKey(m.from())) {
                    raft.receive(m);
                    step();
                }
            }
            if (frames.malformed()) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("store: " + cause);
            ctx.close();
        }
    }
}
