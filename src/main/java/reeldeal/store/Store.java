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
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.frames.FrameBuffer;

/**
 * A small replicated store: a versioned log that one configured writer extends.
 *
 * <p>The rule: a write is committed once a majority of the nodes has it on disk, and only then is it told and
 * read; every node tells the same writes in the same order, a follower perhaps later. A writer begins by
 * taking over the longest log of the highest term among a majority, so that no committed write is lost; a
 * node that has promised a term to a writer takes nothing from an earlier one. Without a majority nothing is
 * written, and reading goes on.
 */
public final class Store implements AutoCloseable {
    private static final int RETRY_MS = 100;
    private static final int WRITE_TIMEOUT_MS = 2_000;
    private static final int BATCH_BYTES = 512 * 1024;
    private static final int MAX_FRAME = 2 * 1024 * 1024;
    private static final int MAX_WRITES = 1_000;

    /** What came of a write. */
    public sealed interface Result { }

    /** It is committed. */
    public record Committed(long version) implements Result { }

    /** It was not begun, and will not happen. */
    public record Rejected(String why) implements Result { }

    /** It was begun, but no majority has it in time: it may yet be committed. */
    public record Unknown() implements Result { }

    private final EventLoopGroup group;
    private final StoreConfig config;
    private final Consumer<String> log;
    private final LogFile file;
    private final NavigableMap<String, String> state = new TreeMap<>();
    private final List<Consumer<List<Change>>> listeners = new ArrayList<>();
    private final List<Runnable> whenWriting = new ArrayList<>();
    private final List<Runnable> whenCurrent = new ArrayList<>();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<Long, Consumer<Result>> writes = new HashMap<>();
    private final List<Channel> accepted = new ArrayList<>();
    private Channel listener;
    private long committed;
    private boolean leading;
    private boolean current;
    private boolean closed;

    /** Opens the node's log; throws where its folder cannot be used. */
    public Store(EventLoopGroup group, StoreConfig config, Consumer<String> log) throws IOException {
        this.group = group;
        this.config = config;
        this.log = log;
        this.file = new LogFile(config.folder());
        if (file.cutBytes() > 0) {
            log.accept("store: cut a torn write of " + file.cutBytes() + " bytes after version "
                    + file.lastVersion());
        }
    }

    /** Listens for the writer, or becomes it. */
    public ChannelFuture start() {
        ChannelFuture bound = new ServerBootstrap().group(group, group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Follower());
                    }
                }).bind(config.nodes().get(config.node()));
        listener = bound.channel();
        bound.addListener(f -> {
            if (f.isSuccess() && config.writer().equals(config.node())) {
                begin();
            }
        });
        return bound;
    }

    /** A committed value, or null. */
    public String get(String key) {
        return state.get(key);
    }

    /** The committed values whose keys begin so. */
    public Map<String, String> under(String prefix) {
        return new TreeMap<>(state.subMap(prefix, true, prefix + Character.MAX_VALUE, false));
    }

    /** The first keys that begin so, {@code most} at the most. */
    public List<String> keysUnder(String prefix, int most) {
        return state.subMap(prefix, true, prefix + Character.MAX_VALUE, false).keySet().stream().limit(most).toList();
    }

    /** Whether all that was committed when the writer last spoke, or that this writer took over, has been told. */
    public boolean isCurrent() {
        return current;
    }

    /** Runs this each time that the node has become current. */
    public void whenCurrent(Runnable run) {
        whenCurrent.add(run);
    }

    private void current(boolean now) {
        boolean became = now && !current;
        current = now;
        if (became) {
            whenCurrent.forEach(Runnable::run);
        }
    }

    /** The version up to which this node knows the log to be committed. */
    public long version() {
        return committed;
    }

    /** Tells of each committed write from now on. */
    public void onChange(Consumer<List<Change>> listener) {
        listeners.add(listener);
    }

    /** Runs this once writes are taken here and all that was committed before is known; maybe never. */
    public void whenWriting(Runnable run) {
        if (leading && file.termAt(committed) == config.term()) {
            run.run();
        } else {
            whenWriting.add(run);
        }
    }

    /** Whether writes are taken here now. */
    public boolean isWriter() {
        return leading;
    }

    /** Writes changes that happen together or not at all. */
    public void write(List<Change> changes, Consumer<Result> then) {
        Entry entry = new Entry(config.term(), file.lastVersion() + 1, List.copyOf(changes));
        int size = entry.toBytes().length;
        if (!leading) {
            then.accept(new Rejected(config.writer().equals(config.node()) ? "no majority has answered yet"
                    : "the writer is " + config.writer()));
        } else if (size > Entry.MAX_BYTES || changes.stream().anyMatch(c -> c.key().length() > Entry.MAX_KEY / 4)) {
            then.accept(new Rejected("the write is too large"));
        } else if (!file.hasRoom(size) || writes.size() >= MAX_WRITES) {
            then.accept(new Rejected("the log is full"));
        } else {
            try {
                file.append(List.of(entry));
            } catch (IOException e) {
                // What is on disk is not known: this node writes no more until it is started again.
                leading = false;
                then.accept(new Unknown());
                log.accept("store: " + e.getMessage());
                return;
            }
            writes.put(entry.version(), then);
            group.next().schedule(() -> {
                Consumer<Result> waiting = writes.remove(entry.version());
                if (waiting != null) {
                    waiting.accept(new Unknown());
                }
            }, WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            peers.values().forEach(Peer::send);
            countAcks();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        leading = false;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(accepted).forEach(Channel::close);
        peers.values().forEach(p -> p.channel.close());
        file.close();
    }

    // ---- committed writes ----

    private void commitUpTo(long version) {
        long upTo = Math.min(version, file.lastVersion());
        while (committed < upTo) {
            Entry entry = file.entry(++committed);
            for (Change change : entry.changes()) {
                if (change.value() == null) {
                    state.remove(change.key());
                } else {
                    state.put(change.key(), change.value());
                }
            }
            Consumer<Result> waiting = writes.remove(committed);
            if (!entry.changes().isEmpty()) {
                listeners.forEach(l -> l.accept(entry.changes()));
            }
            if (waiting != null) {
                waiting.accept(new Committed(committed));
            }
        }
    }

    // ---- the writer ----

    private void begin() {
        try {
            if (!file.promise(config.term(), config.node())) {
                log.accept("store: term " + config.term() + " is past; this node stays a follower");
                return;
            }
        } catch (IOException e) {
            log.accept("store: " + e.getMessage());
            return;
        }
        config.nodes().forEach((name, address) -> {
            if (!name.equals(config.node())) {
                Peer peer = new Peer(name);
                peers.put(name, peer);
                peer.connect();
            }
        });
        tryLead();
    }

    /** Leads once a majority has promised this term and the best log among them is taken over. */
    private void tryLead() {
        if (leading || closed || 1 + peers.values().stream().filter(p -> p.promised).count() < config.majority()) {
            return;
        }
        Peer best = null;
        for (Peer p : peers.values()) {
            boolean better = p.promised && (p.lastTerm > (best == null ? file.lastTerm() : best.lastTerm)
                    || p.lastTerm == (best == null ? file.lastTerm() : best.lastTerm)
                    && p.lastVersion > (best == null ? file.lastVersion() : best.lastVersion));
            best = better ? p : best;
        }
        if (best != null) {
            best.fetch();
            return;
        }
        try {
            // An entry of its own term lets the writer count the majority for all that came before.
            file.append(List.of(new Entry(config.term(), file.lastVersion() + 1, List.of())));
        } catch (IOException e) {
            log.accept("store: " + e.getMessage());
            return;
        }
        leading = true;
        log.accept("store: " + config.node() + " writes under term " + config.term());
        peers.values().forEach(Peer::send);
        countAcks();
    }

    private void takeOver(List<Entry> others) throws IOException {
        int same = 0;
        while (same < others.size() && same < file.lastVersion()
                && file.termAt(same + 1) == others.get(same).term()) {
            same++;
        }
        if (same < others.size()) {
            file.truncateAfter(same);
            file.append(others.subList(same, others.size()));
        }
    }

    private void countAcks() {
        for (long v = file.lastVersion(); v > committed && file.termAt(v) == config.term(); v--) {
            long version = v;
            if (leading && 1 + peers.values().stream().filter(p -> p.acked >= version).count()
                    >= config.majority()) {
                commitUpTo(version);
                current(true);
                peers.values().forEach(Peer::send);
                List<Runnable> ready = List.copyOf(whenWriting);
                whenWriting.clear();
                ready.forEach(Runnable::run);
                return;
            }
        }
    }

    /** The writer's side of a connection to another node. */
    private final class Peer extends ChannelInboundHandlerAdapter {
        private final String name;
        private FrameBuffer frames;
        private Channel channel;
        private final List<Entry> fetched = new ArrayList<>();
        private boolean promised;
        private boolean fetching;
        private boolean waiting;
        private long lastTerm;
        private long lastVersion;
        private long next = 1;
        private long acked;
        private long toldCommit = -1;

        Peer(String name) {
            this.name = name;
        }

        @Override
        public boolean isSharable() {
            return true; // one connection after another
        }

        void connect() {
            if (closed) {
                return;
            }
            promised = fetching = waiting = false;
            acked = 0;
            toldCommit = -1;
            frames = new FrameBuffer(4, MAX_FRAME);
            ChannelFuture connecting = new Bootstrap().group(group).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000).option(ChannelOption.TCP_NODELAY, true)
                    .handler(this).connect(config.nodes().get(name));
            channel = connecting.channel();
            connecting.addListener(f -> {
                if (f.isSuccess() && connecting.channel().localAddress()
                        .equals(connecting.channel().remoteAddress())) {
                    // On loopback a connect to a port nobody listens on can meet itself.
                    connecting.channel().close();
                } else if (f.isSuccess()) {
                    write(connecting.channel(), 'H', out -> {
                        out.writeLong(config.term());
                        out.writeUTF(config.node());
                    });
                }
            });
            channel.closeFuture().addListener(f -> group.next().schedule(this::connect, RETRY_MS,
                    TimeUnit.MILLISECONDS));
        }

        void fetch() {
            if (!fetching) {
                fetching = true;
                fetched.clear();
                write(channel, 'F', out -> out.writeLong(1));
            }
        }

        /** Sends what this node lacks, one frame at a time. */
        void send() {
            if (!leading || !promised || waiting || next > file.lastVersion() && toldCommit == committed) {
                return;
            }
            waiting = true;
            toldCommit = committed;
            write(channel, 'A', out -> {
                out.writeLong(config.term());
                out.writeLong(file.termAt(next - 1));
                out.writeLong(next - 1);
                out.writeLong(committed);
                writeEntries(out, next);
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
            frames.feed((ByteBuf) message);
            for (byte[] f = frames.next(); f != null; f = frames.next()) {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(f));
                switch (in.readByte()) {
                    case 'S' -> {
                        lastTerm = in.readLong();
                        lastVersion = in.readLong();
                        promised = true;
                        waiting = false;
                        next = Math.max(1, Math.min(file.lastVersion(), lastVersion) + 1);
                        tryLead();
                        send();
                    }
                    case 'R' -> {
                        List<Entry> more = readEntries(in);
                        fetched.addAll(more);
                        if (fetched.size() < lastVersion && !more.isEmpty()) {
                            write(channel, 'F', out -> out.writeLong(fetched.size() + 1));
                        } else if (!leading) {
                            fetching = false;
                            takeOver(fetched);
                            tryLead();
                        }
                    }
                    case 'K' -> {
                        waiting = false;
                        acked = in.readLong();
                        next = acked + 1;
                        countAcks();
                        send();
                    }
                    case 'N' -> {
                        log.accept("store: " + name + " has promised term " + in.readLong()
                                + "; this node writes no more");
                        leading = false;
                        ctx.close();
                    }
                    default -> ctx.close();
                }
            }
            if (frames.malformed()) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("store: " + name + ": " + cause);
            ctx.close();
        }
    }

    // ---- a follower ----

    private final class Follower extends ChannelInboundHandlerAdapter {
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
            for (byte[] f = frames.next(); f != null && !closed; f = frames.next()) {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(f));
                switch (in.readByte()) {
                    case 'H' -> hello(ctx.channel(), in.readLong(), in.readUTF());
                    case 'F' -> {
                        long from = Math.max(1, in.readLong());
                        write(ctx.channel(), 'R', out -> writeEntries(out, from));
                    }
                    case 'A' -> append(ctx.channel(), in);
                    default -> ctx.close();
                }
            }
            if (frames.malformed()) {
                ctx.close();
            }
        }

        private void hello(Channel channel, long term, String writer) throws IOException {
            if (file.promise(term, writer)) {
                leading &= term == config.term();
                state(channel, file.lastVersion());
            } else {
                write(channel, 'N', out -> out.writeLong(file.promisedTerm()));
            }
        }

        private void state(Channel channel, long version) {
            write(channel, 'S', out -> {
                out.writeLong(file.termAt(version));
                out.writeLong(version);
            });
        }

        private void append(Channel channel, DataInputStream in) throws IOException {
            long term = in.readLong();
            long beforeTerm = in.readLong();
            long before = in.readLong();
            long commit = in.readLong();
            List<Entry> more = readEntries(in);
            if (term != file.promisedTerm()) {
                write(channel, 'N', out -> out.writeLong(file.promisedTerm()));
                return;
            }
            if (before > file.lastVersion() || file.termAt(before) != beforeTerm) {
                // The logs differ before this point: the writer goes further back, never behind what is committed.
                state(channel, Math.max(committed, Math.min(before - 1, file.lastVersion())));
                return;
            }
            int same = 0;
            while (same < more.size() && before + same < file.lastVersion()
                    && file.termAt(before + same + 1) == more.get(same).term()) {
                same++;
            }
            if (same < more.size()) {
                if (before + same < committed) {
                    throw new IOException("a writer would undo what is committed");
                }
                file.truncateAfter(before + same);
                file.append(more.subList(same, more.size()));
            }
            long last = before + more.size();
            commitUpTo(Math.min(commit, last));
            current(committed >= commit);
            write(channel, 'K', out -> out.writeLong(last));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("store: " + cause);
            ctx.close();
        }
    }

    // ---- frames ----

    private interface Body {
        void to(DataOutputStream out) throws IOException;
    }

    private static void write(Channel channel, char letter, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeByte(letter);
            body.to(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail
        }
        channel.writeAndFlush(Unpooled.buffer(4 + bytes.size()).writeInt(bytes.size())
                .writeBytes(bytes.toByteArray()));
    }

    /** Writes entries from this version on, as many as a frame should hold. */
    private void writeEntries(DataOutputStream out, long from) throws IOException {
        List<byte[]> entries = new ArrayList<>();
        int size = 0;
        for (long v = from; v <= file.lastVersion() && size < BATCH_BYTES; v++) {
            byte[] bytes = file.entry(v).toBytes();
            entries.add(bytes);
            size += bytes.length;
        }
        out.writeInt(entries.size());
        for (byte[] entry : entries) {
            out.writeInt(entry.length);
            out.write(entry);
        }
    }

    private static List<Entry> readEntries(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = in.readInt();
            if (length < 0 || length > Entry.MAX_BYTES || length > in.available()) {
                throw new IOException("impossible length of an entry: " + length);
            }
            Entry entry = Entry.fromBytes(in.readNBytes(length));
            if (i > 0 && entry.version() != entries.get(i - 1).version() + 1) {
                throw new IOException("entries out of order");
            }
            entries.add(entry);
        }
        return entries;
    }
}
