package reeldeal.dns;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reeldeal.core.Searcher;
import reeldeal.frames.FrameBuffer;
import reeldeal.store.Change;
import reeldeal.store.Store;

/**
 * Takes dynamic updates of one zone over UDP and TCP, and keeps the zone in the store; each update is one
 * write, so it happens whole or not at all. Updates are taken one after the other, since each is judged by
 * the zone that the one before left.
 */
public final class DnsServer {
    private static final int MAX_WAITING = 1_000;
    private static final int MAX_CONNECTIONS = 64;

    private record Waiting(byte[] asked, Consumer<byte[]> answer) { }

    private final EventLoopGroup group;
    private final Store store;
    private final String origin;
    private final String zoneFile;
    private final Consumer<String> log;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final List<Channel> channels = new ArrayList<>();
    private int connections;
    private boolean busy;

    /** {@code zoneFile} is the text from which the zone is made where the store has none yet. */
    public DnsServer(EventLoopGroup group, Store store, String origin, String zoneFile, Consumer<String> log)
            throws Exception {
        this.group = group;
        this.store = store;
        this.origin = Names.parse(origin.endsWith(".") ? origin : origin + ".", ".");
        this.zoneFile = zoneFile;
        this.log = log;
        if (this.origin == null) {
            throw new IllegalArgumentException("malformed origin " + origin);
        }
        ZoneFile.parse(zoneFile, this.origin);
    }

    /** Listens; the list of searchers is told now and at each change. */
    public InetSocketAddress start(InetSocketAddress listen, Consumer<List<Searcher>> told) throws Exception {
        Channel tcp = new ServerBootstrap().group(group, group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Tcp());
                    }
                }).bind(listen).sync().channel();
        InetSocketAddress bound = (InetSocketAddress) tcp.localAddress();
        channels.add(tcp);
        channels.add(new Bootstrap().group(group).channel(NioDatagramChannel.class).handler(new Udp()).bind(bound)
                .sync().channel());
        group.next().submit(() -> {
            if (!zone().isEmpty()) {
                told.accept(SearcherZone.searchers(zone()));
            }
            store.onChange(changes -> {
                if (changes.stream().anyMatch(c -> c.key().startsWith(Zone.prefix(origin)))) {
                    told.accept(SearcherZone.searchers(zone()));
                }
            });
            store.whenWriting(this::seed);
        }).sync();
        return bound;
    }

    /** Makes the zone from its file where the store has none. */
    private void seed() {
        if (zone().isEmpty()) {
            try {
                List<Change> changes = new ArrayList<>();
                ZoneFile.parse(zoneFile, origin).toValues().forEach((k, v) -> changes.add(new Change(k, v)));
                store.write(changes, result -> log.accept("dns: zone file taken: " + result));
            } catch (ZoneFile.Malformed e) {
                log.accept("dns: " + e.getMessage());
            }
        }
    }

    public void stop() {
        channels.forEach(Channel::close);
    }

    private Zone zone() {
        return Zone.fromValues(origin, store.under(Zone.prefix(origin)));
    }

    private void take(byte[] asked, Consumer<byte[]> answer) {
        if (asked.length < Message.HEADER || (asked[2] & 0x80) != 0) {
            return; // no header to answer, or an answer itself: to answer that could go round
        }
        if (waiting.size() >= MAX_WAITING) {
            answer.accept(Message.answer(asked, Update.SERVFAIL));
            return;
        }
        waiting.add(new Waiting(asked, answer));
        next();
    }

    private void next() {
        while (!busy && !waiting.isEmpty()) {
            Waiting one = waiting.poll();
            busy = true;
            judge(one.asked(), rcode -> {
                busy = false;
                one.answer().accept(Message.answer(one.asked(), rcode));
                next();
            });
        }
    }

    private void judge(byte[] asked, Consumer<Integer> rcode) {
        Message message;
        try {
            message = Message.parse(asked);
        } catch (Message.Malformed e) {
            rcode.accept(Update.FORMERR);
            return;
        }
        if (message.opcode != Message.OPCODE_UPDATE) {
            rcode.accept(Update.NOTIMP);
        } else if (message.questions.size() != 1 || message.questions.get(0).type() != Rr.SOA) {
            rcode.accept(Update.FORMERR);
        } else if (!message.questions.get(0).name().equals(origin) || message.questions.get(0).klass() != Rr.IN) {
            rcode.accept(Update.NOTAUTH);
        } else if (!store.isWriter()) {
            rcode.accept(Update.REFUSED);
        } else if (zone().isEmpty()) {
            rcode.accept(Update.SERVFAIL);
        } else {
            Zone zone = zone();
            Update.Outcome outcome = Update.apply(message, zone);
            if (outcome.zone() == null) {
                rcode.accept(outcome.rcode());
                return;
            }
            store.write(changes(zone.toValues(), outcome.zone().toValues()), result ->
                    rcode.accept(result instanceof Store.Committed ? Update.NOERROR : Update.SERVFAIL));
        }
    }

    private static List<Change> changes(Map<String, String> before, Map<String, String> after) {
        List<Change> changes = new ArrayList<>();
        before.keySet().stream().filter(k -> !after.containsKey(k)).forEach(k -> changes.add(new Change(k, null)));
        after.forEach((k, v) -> {
            if (!v.equals(before.get(k))) {
                changes.add(new Change(k, v));
            }
        });
        return changes;
    }

    private final class Udp extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] asked = new byte[packet.content().readableBytes()];
            packet.content().readBytes(asked);
            InetSocketAddress sender = packet.sender();
            take(asked, answer -> ctx.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(answer), sender)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("dns: " + cause); // the socket stays: it serves all
        }
    }

    private final class Tcp extends ChannelInboundHandlerAdapter {
        private final FrameBuffer frames = new FrameBuffer(2, 65_535);

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (++connections > MAX_CONNECTIONS) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            frames.feed((ByteBuf) message);
            for (byte[] f = frames.next(); f != null; f = frames.next()) {
                take(f, answer -> ctx.writeAndFlush(Unpooled.buffer(2 + answer.length)
                        .writeShort(answer.length).writeBytes(answer)));
            }
            if (frames.malformed()) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
