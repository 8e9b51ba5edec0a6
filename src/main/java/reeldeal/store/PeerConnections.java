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
import reeldeal.sockets.RetryingServerSocketChannel;
import reeldeal.sockets.SocketChannels;

/**
 * The connections of a node: one outgoing connection to each peer, on which the node sends, and the
 * incoming connections that peers opened, on which it receives. Belongs to the event loop.
 */
final class PeerConnections {
    /**
     * The maximum size of a frame, in bytes; with some reserve it holds a snapshot chunk or an
     * append request.
     */
    static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RECONNECT_DELAY_MS = 100;
    private static final int MAX_ACCEPTED = 1_024;

    /** The lowest protocol level whose program can read peer messages. */
    private static final int PEER_MESSAGE_LEVEL = 2;

    /** Receives the messages of incoming connections, on the event loop. */
    interface Receiver {
        void onConsensusMessage(Message message);

        /**
         * Handles a message; {@code reply} sends on the connection on which the message arrived.
         */
        void onPeerMessage(PeerMessage message, Consumer<PeerMessage> reply);
    }

    private final EventLoopGroup eventLoopGroup;
    private final String groupName;
    private final String self;
    private final long maxUnsentBytes;
    private final Consumer<String> log;
    private final Map<String, OutgoingConnection> outgoing = new HashMap<>();
    private final List<Channel> accepted = new ArrayList<>();
    private Channel serverChannel;
    private boolean closed;

    /**
     * Creates the connections of a node; none is open yet.
     *
     * @param maxUnsentBytes the size of the messages to one peer that may wait for the socket;
     *     further messages are dropped
     */
    PeerConnections(
            EventLoopGroup eventLoopGroup,
            String groupName,
            String self,
            long maxUnsentBytes,
            Consumer<String> log) {
        this.maxUnsentBytes = maxUnsentBytes;
        this.eventLoopGroup = eventLoopGroup;
        this.groupName = groupName;
        this.self = self;
        this.log = log;
    }

    /**
     * Listens on an address, and passes the messages of the connections it accepts to the receiver.
     */
    ChannelFuture listen(InetSocketAddress address, Receiver receiver) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(eventLoopGroup, eventLoopGroup)
                        .channelFactory(RetryingServerSocketChannel::new)
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
        serverChannel = bound.channel();
        return bound;
    }

    /**
     * Opens a connection to a node and keeps it open; a connection to another address of the node
     * is closed.
     */
    void connect(String node, InetSocketAddress address) {
        OutgoingConnection existing = outgoing.get(node);
        if (!node.equals(self) && (existing == null || !existing.address.equals(address))) {
            drop(node);
            outgoing.put(node, new OutgoingConnection(node, address));
        }
    }

    /** Closes the connection to a node, if there is one, and stops reopening it. */
    void drop(String node) {
        OutgoingConnection dropped = outgoing.remove(node);
        if (dropped != null) {
            dropped.close();
        }
    }

    boolean hasPeer(String node) {
        return outgoing.containsKey(node);
    }

    /** Returns the address of a peer, or null if this node does not connect to it. */
    InetSocketAddress address(String node) {
        OutgoingConnection connection = outgoing.get(node);
        return connection == null ? null : connection.address;
    }

    /**
     * Returns the protocol level that a node announced on the present connection, or 0 if it is not
     * known.
     */
    int protocolLevel(String node) {
        OutgoingConnection connection = outgoing.get(node);
        return connection == null ? 0 : connection.protocolLevel;
    }

    /**
     * Whether a node can read a log of a feature level. For level 2 and above the node must have
     * announced at least that level; every node reads level 1.
     */
    boolean supportsLevel(String node, int logLevel) {
        return logLevel < PEER_MESSAGE_LEVEL || protocolLevel(node) >= logLevel;
    }

    /** Sends a consensus message, which is dropped if there is no connection to its receiver. */
    void send(Message message) {
        OutgoingConnection connection = outgoing.get(message.to());
        if (connection != null) {
            connection.send(PeerCodec.write(groupName, message));
        }
    }

    /**
     * Sends a peer message to a node that announced a level that can read it; returns false if the
     * message was not sent.
     */
    boolean send(String node, PeerMessage message) {
        OutgoingConnection connection = outgoing.get(node);
        return connection != null
                && connection.protocolLevel >= PEER_MESSAGE_LEVEL
                && connection.send(PeerMessageCodec.write(groupName, message));
    }

    void close() {
        closed = true;
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(accepted).forEach(Channel::close);
        outgoing.values().forEach(OutgoingConnection::close);
    }

    private static ByteBuf withLengthPrefix(byte[] bytes) {
        return Unpooled.buffer(LENGTH_BYTES + bytes.length)
                .writeInt(bytes.length)
                .writeBytes(bytes);
    }

    /** The connection to one peer, which is reopened whenever it closes, until it is dropped. */
    private final class OutgoingConnection {
        private final String node;
        private final InetSocketAddress address;
        private Channel channel;
        private boolean connected;
        private boolean dropped;
        private int protocolLevel;

        OutgoingConnection(String node, InetSocketAddress address) {
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
                            .channelFactory(SocketChannels::newOutgoing)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(new OutgoingHandler(this))
                            .connect(address);
            channel = connecting.channel();
            connecting.addListener(future -> onConnected(future.isSuccess()));
            channel.closeFuture().addListener(future -> onClosed());
        }

        private void onConnected(boolean success) {
            // On loopback, a connection to a port without a listener can connect to itself.
            if (success && channel.localAddress().equals(channel.remoteAddress())) {
                channel.close();
            } else {
                connected = success;
            }
        }

        private void onClosed() {
            connected = false;
            protocolLevel = 0;
            eventLoopGroup
                    .next()
                    .schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }

        boolean send(byte[] bytes) {
            ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
            boolean accepts =
                    connected
                            && (unsent == null || unsent.totalPendingWriteBytes() < maxUnsentBytes);
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

    /** Reads an outgoing connection, on which the peer only announces its level. */
    private final class OutgoingHandler extends ChannelInboundHandlerAdapter {
        private final OutgoingConnection connection;
        private final FrameBuffer frames = new FrameBuffer(LENGTH_BYTES, MAX_FRAME_BYTES);

        OutgoingHandler(OutgoingConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            frames.feed((ByteBuf) message);
            for (byte[] frame = frames.next(); frame != null; frame = frames.next()) {
                if (PeerMessageCodec.read(groupName, frame) instanceof PeerMessage.Hello hello
                        && hello.node().equals(connection.node)) {
                    connection.protocolLevel = hello.level();
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

    /** Reads a connection that another node or an operator's command opened. */
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
            log.accept("store: closing an incoming connection after an error: " + cause);
            context.close();
        }
    }
}
