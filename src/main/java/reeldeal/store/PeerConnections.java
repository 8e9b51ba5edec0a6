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
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.consensus.Message;
import reeldeal.frames.FrameBuffer;

/**
 * A node's connections: one that it opened to each other node, on which it sends, and those that
 * others opened, on which it receives. Belongs to the event loop.
 */
final class PeerConnections {
    /** The largest frame, in bytes: a chunk of a snapshot or a message of entries, with reserve. */
    static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RECONNECT_DELAY_MS = 100;
    private static final long MAX_UNSENT_BYTES = 8 << 20;
    private static final int MAX_ACCEPTED = 1_024;

    /** The first level whose program reads peer messages. */
    private static final int PEER_MESSAGE_LEVEL = 2;

    /** Receives what arrives, on the event loop. */
    interface Receiver {
        void onConsensusMessage(Message message);

        /** {@code reply} sends on the connection on which the message came. */
        void onPeerMessage(PeerMessage message, Consumer<PeerMessage> reply);
    }

    private final EventLoopGroup eventLoopGroup;
    private final String groupName;
    private final String self;
    private final Consumer<String> log;
    private final Map<String, Outgoing> outgoing = new HashMap<>();
    private final List<Channel> accepted = new ArrayList<>();
    private Channel listener;
    private boolean closed;

    PeerConnections(
            EventLoopGroup eventLoopGroup, String groupName, String self, Consumer<String> log) {
        this.eventLoopGroup = eventLoopGroup;
        this.groupName = groupName;
        this.self = self;
        this.log = log;
    }

    /** Accepts connections; what comes on them goes to the receiver. */
    ChannelFuture listen(InetSocketAddress address, Receiver receiver) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(eventLoopGroup, eventLoopGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(new IncomingHandler(receiver));
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Keeps a connection to a node at an address; one to another address is closed. */
    void connect(String node, InetSocketAddress address) {
        Outgoing existing = outgoing.get(node);
        if (!node.equals(self) && (existing == null || !existing.address.equals(address))) {
            drop(node);
            outgoing.put(node, new Outgoing(node, address));
        }
    }

    /** Closes the connection to a node. */
    void drop(String node) {
        Outgoing dropped = outgoing.remove(node);
        if (dropped != null) {
            dropped.close();
        }
    }

    boolean hasPeer(String node) {
        return outgoing.containsKey(node);
    }

    /** The address of a node that this one connects to, or null. */
    InetSocketAddress address(String node) {
        Outgoing connection = outgoing.get(node);
        return connection == null ? null : connection.address;
    }

    /** The level that a node announced on the present connection, 0 if it is not known. */
    int level(String node) {
        Outgoing connection = outgoing.get(node);
        return connection == null ? 0 : connection.level;
    }

    /** Whether a node can read a log of a level: from level 2 on it must have announced it. */
    boolean supportsLevel(String node, int logLevel) {
        return logLevel < PEER_MESSAGE_LEVEL || level(node) >= logLevel;
    }

    /** Sends a message of consensus, which is lost if the node is not connected. */
    void send(Message message) {
        Outgoing connection = outgoing.get(message.to());
        if (connection != null) {
            connection.send(PeerCodec.write(groupName, message));
        }
    }

    /** Sends to a node that announced that it reads such messages; false if it is not sent. */
    boolean send(String node, PeerMessage message) {
        Outgoing connection = outgoing.get(node);
        return connection != null
                && connection.level >= PEER_MESSAGE_LEVEL
                && connection.send(PeerMessageCodec.write(groupName, message));
    }

    void close() {
        closed = true;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(accepted).forEach(Channel::close);
        outgoing.values().forEach(Outgoing::close);
    }

    private static ByteBuf withLengthPrefix(byte[] bytes) {
        return Unpooled.buffer(LENGTH_BYTES + bytes.length)
                .writeInt(bytes.length)
                .writeBytes(bytes);
    }

    /** The connection to one node, opened again whenever it closes. */
    private final class Outgoing {
        private final String node;
        private final InetSocketAddress address;
        private Channel channel;
        private boolean connected;
        private boolean dropped;
        private int level;

        Outgoing(String node, InetSocketAddress address) {
            this.node = node;
            this.address = address;
            connect();
        }

        private void connect() {
            if (closed || dropped) {
                return;
            }
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(eventLoopGroup)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(new OutgoingHandler(this))
                            .connect(address);
            channel = connecting.channel();
            connecting.addListener(future -> onConnected(future.isSuccess()));
            channel.closeFuture().addListener(future -> onClosed());
        }

        private void onConnected(boolean success) {
            // On loopback a connection to a port that nobody listens on can meet itself.
            if (success && channel.localAddress().equals(channel.remoteAddress())) {
                channel.close();
            } else {
                connected = success;
            }
        }

        private void onClosed() {
            connected = false;
            level = 0;
            eventLoopGroup
                    .next()
                    .schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }

        boolean send(byte[] bytes) {
            ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
            boolean accepts =
                    connected
                            && (unsent == null
                                    || unsent.totalPendingWriteBytes() < MAX_UNSENT_BYTES);
            if (accepts) {
                channel.writeAndFlush(withLengthPrefix(bytes));
            }
            return accepts;
        }

        void close() {
            dropped = true;
            channel.close();
        }
    }

    /** On a connection that this node opened the other only announces its level. */
    private final class OutgoingHandler extends ChannelInboundHandlerAdapter {
        private final Outgoing connection;
        private final FrameBuffer frames = new FrameBuffer(LENGTH_BYTES, MAX_FRAME_BYTES);

        OutgoingHandler(Outgoing connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            frames.feed((ByteBuf) message);
            for (byte[] frame = frames.next(); frame != null; frame = frames.next()) {
                if (PeerMessageCodec.read(groupName, frame) instanceof PeerMessage.Hello hello
                        && hello.node().equals(connection.node)) {
                    connection.level = hello.level();
                }
            }
            if (frames.malformed()) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A connection that another node, or an operator's command, opened. */
    private final class IncomingHandler extends ChannelInboundHandlerAdapter {
        private final Receiver receiver;
        private final FrameBuffer frames = new FrameBuffer(LENGTH_BYTES, MAX_FRAME_BYTES);

        IncomingHandler(Receiver receiver) {
            this.receiver = receiver;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (accepted.size() >= MAX_ACCEPTED) {
                context.close();
                return;
            }
            accepted.add(context.channel());
            write(context, new PeerMessage.Hello(self, PeerMessage.LEVEL));
        }

        private void write(ChannelHandlerContext context, PeerMessage message) {
            context.writeAndFlush(withLengthPrefix(PeerMessageCodec.write(groupName, message)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            accepted.remove(context.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            frames.feed((ByteBuf) message);
            for (byte[] frame = frames.next(); frame != null && !closed; frame = frames.next()) {
                onFrame(context, frame);
            }
            if (frames.malformed()) {
                context.close();
            }
        }

        private void onFrame(ChannelHandlerContext context, byte[] frame) throws IOException {
            PeerMessage peerMessage = PeerMessageCodec.read(groupName, frame);
            if (peerMessage != null) {
                receiver.onPeerMessage(peerMessage, reply -> write(context, reply));
                return;
            }
            Message message = PeerCodec.read(groupName, frame);
            if (message.to().equals(self) && hasPeer(message.from())) {
                receiver.onConsensusMessage(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.accept("store: " + cause);
            context.close();
        }
    }
}
