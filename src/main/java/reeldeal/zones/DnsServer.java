package reeldeal.zones;

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
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.dns.Message;
import reeldeal.dns.TransferOut;
import reeldeal.frames.FrameBuffer;
import reeldeal.sockets.RetryingServerSocketChannel;

/** Serves the zone service over UDP and TCP (RFC 1035, section 4.2; RFC 7766). */
public final class DnsServer {
    private static final int MAX_DATAGRAM_BYTES = 4_096;
    private static final int MAX_DATAGRAMS_PER_READ = 64;
    private static final int INACTIVITY_CHECK_MS = 500;
    private static final long STALL_TIMEOUT_NS = 30_000_000_000L;
    private static final int MAX_OUTSTANDING = 64;

    private final EventLoopGroup group;
    private final ZoneService service;
    private final int maxConnections;
    private final long idleNs;
    private final Consumer<String> log;
    private final List<Channel> channels = new ArrayList<>();

    /** Connections without an open request or transfer, the one idle for longest first. */
    private final LinkedHashSet<TcpConnection> idleConnections = new LinkedHashSet<>();

    private final LinkedHashSet<TcpConnection> openConnections = new LinkedHashSet<>();

    /** Creates a server on an event loop group, which must have a single loop. */
    public DnsServer(
            EventLoopGroup group,
            ZoneService service,
            int maxConnections,
            long idleMs,
            Consumer<String> log) {
        this.group = group;
        this.service = service;
        this.maxConnections = maxConnections;
        this.idleNs = idleMs * 1_000_000;
        this.log = log;
    }

    /**
     * Listens over TCP and, at the same address, over UDP; returns the bound address. May be called
     * again if it has failed.
     */
    public InetSocketAddress start(InetSocketAddress listen) throws Exception {
        for (Channel channel : channels) {
            channel.close().sync();
        }
        channels.clear();
        Channel tcpChannel =
                new ServerBootstrap()
                        .group(group, group)
                        .channelFactory(RetryingServerSocketChannel::new)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 256)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(new TcpConnection());
                                    }
                                })
                        .bind(listen)
                        .sync()
                        .channel();
        InetSocketAddress bound = (InetSocketAddress) tcpChannel.localAddress();
        channels.add(tcpChannel);
        channels.add(
                new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                                        .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
                        .option(ChannelOption.SO_RCVBUF, 1 << 20)
                        .handler(new UdpHandler())
                        .bind(bound)
                        .sync()
                        .channel());
        group.next()
                .scheduleWithFixedDelay(
                        this::closeInactiveConnections,
                        INACTIVITY_CHECK_MS,
                        INACTIVITY_CHECK_MS,
                        TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Closes the listening sockets; open TCP connections stay. */
    public void stop() {
        channels.forEach(Channel::close);
    }

    /**
     * Closes idle connections after the idle timeout, and busy ones without progress (such as a
     * client that does not read its responses) after the stall timeout.
     */
    private void closeInactiveConnections() {
        long now = System.nanoTime();
        for (TcpConnection connection : List.copyOf(openConnections)) {
            if (now - connection.lastActivityNs > (connection.busy() ? STALL_TIMEOUT_NS : idleNs)) {
                connection.ctx.close();
            }
        }
    }

    private final class UdpHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] request = new byte[packet.content().readableBytes()];
            packet.content().readBytes(request);
            InetSocketAddress sender = packet.sender();
            if (sender.getPort() == 0) {
                return;
            }
            service.handle(
                    request,
                    sender,
                    false,
                    new ReplyChannel() {
                        @Override
                        public void send(byte[] message) {
                            ctx.writeAndFlush(
                                    new DatagramPacket(Unpooled.wrappedBuffer(message), sender));
                        }

                        @Override
                        public void stream(TransferOut transfer, Runnable onEnd) {
                            onEnd.run(); // transfers are not sent over UDP
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("dns: " + cause); // the socket stays open: all UDP clients share it
        }
    }

    /** A transfer that a connection sends, and the callback that runs when it ends. */
    private record QueuedTransfer(TransferOut transfer, Runnable onEnd) {}

    /**
     * A client connection. Responses are sent as soon as each is ready, in any order (RFC 7766,
     * section 7); transfers are sent one at a time.
     */
    private final class TcpConnection extends ChannelInboundHandlerAdapter implements ReplyChannel {
        private final FrameBuffer frames = new FrameBuffer(2, 65_535);
        private final ArrayDeque<QueuedTransfer> transfers = new ArrayDeque<>();
        private ChannelHandlerContext ctx;
        private int outstanding;
        private boolean writing;
        private long lastActivityNs = System.nanoTime();

        boolean busy() {
            return outstanding > 0 || !transfers.isEmpty();
        }

        private void recordActivity() {
            lastActivityNs = System.nanoTime();
            idleConnections.remove(this);
            if (!busy()) {
                idleConnections.add(this);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            openConnections.add(this);
            idleConnections.add(this);
            if (openConnections.size() > maxConnections) {
                // Closes the connection that has been idle for longest, which is the new one if
                // all others are busy.
                TcpConnection longestIdle = idleConnections.iterator().next();
                longestIdle.unregister();
                longestIdle.ctx.close();
            }
        }

        /**
         * Removes this connection from the server's lists and ends its transfers. Also called
         * before a connection is closed to make room for another one, so that its place is free at
         * once and not only when the channel has closed.
         */
        private void unregister() {
            openConnections.remove(this);
            idleConnections.remove(this);
            transfers.forEach(queued -> queued.onEnd().run());
            transfers.clear();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            unregister();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            frames.feed((ByteBuf) message);
            for (byte[] frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.length < Message.HEADER_BYTES || (frame[2] & 0x80) != 0) {
                    ctx.close(); // no complete header to reply to, or a response
                    return;
                }
                outstanding++;
                recordActivity();
                service.handle(
                        frame, (InetSocketAddress) ctx.channel().remoteAddress(), true, this);
            }
            if (frames.malformed()) {
                ctx.close();
            }
            ctx.channel()
                    .config()
                    .setAutoRead(outstanding < MAX_OUTSTANDING && ctx.channel().isWritable());
        }

        private void write(byte[] message) {
            ctx.writeAndFlush(
                    Unpooled.buffer(2 + message.length)
                            .writeShort(message.length)
                            .writeBytes(message));
        }

        @Override
        public void send(byte[] message) {
            outstanding--;
            write(message);
            recordActivity();
            ctx.channel()
                    .config()
                    .setAutoRead(outstanding < MAX_OUTSTANDING && ctx.channel().isWritable());
        }

        @Override
        public void stream(TransferOut transfer, Runnable onEnd) {
            outstanding--;
            if (!openConnections.contains(this)) {
                onEnd.run();
                return;
            }
            transfers.add(new QueuedTransfer(transfer, onEnd));
            recordActivity();
            if (transfers.size() == 1) {
                writeNextTransferMessage();
            }
        }

        /**
         * Sends the next message of the first queued transfer if the channel is writable. Only one
         * message is sent per turn of the loop, so that queries are served in between.
         */
        @SuppressWarnings("ReferenceEquality") // identity: the transfer that was being written
        private void writeNextTransferMessage() {
            QueuedTransfer current = transfers.peek();
            if (current == null || writing || !ctx.channel().isWritable()) {
                return;
            }
            writing = true; // a write that completes at once can re-enter this method
            write(current.transfer().next(System.currentTimeMillis() / 1_000));
            writing = false;
            if (transfers.peek() != current) {
                return; // the write closed the connection
            }
            lastActivityNs = System.nanoTime();
            if (!current.transfer().hasNext()) {
                transfers.poll();
                current.onEnd().run();
                recordActivity();
            }
            if (!transfers.isEmpty()) {
                ctx.executor().execute(this::writeNextTransferMessage);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (ctx.channel().isWritable()) {
                ctx.channel().config().setAutoRead(outstanding < MAX_OUTSTANDING);
                writeNextTransferMessage();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
