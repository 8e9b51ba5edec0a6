package reeldeal.zones;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import reeldeal.frames.FrameBuffer;
import reeldeal.sockets.SocketChannels;

/**
 * Exchanges DNS messages with another name server over a TCP connection, and reports its end to a
 * listener.
 */
public final class PeerLink extends ChannelInboundHandlerAdapter {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    /** Receives the events of a connection, on its event loop. */
    public interface Listener {
        /** Called once the connection is established. */
        void connected(PeerLink link);

        /** Called for each received message. */
        void message(PeerLink link, byte[] message);

        /**
         * Called once if the connection cannot be established or ends, but not after {@link
         * PeerLink#close}.
         */
        void ended(String reason);
    }

    /** Opens connections. */
    public interface Connector {
        /** Starts to open a connection; the listener is called with the result. */
        PeerLink connect(InetSocketAddress address, Listener listener);
    }

    private final Listener listener;
    private final FrameBuffer frames = new FrameBuffer(2, 65_535);
    private Channel channel;
    private boolean closed;

    private PeerLink(Listener listener) {
        this.listener = listener;
    }

    /** Returns a connector whose connections run on this event loop group. */
    public static Connector connector(EventLoopGroup group) {
        return (address, listener) -> {
            PeerLink link = new PeerLink(listener);
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(group)
                            .channelFactory(SocketChannels::newOutgoing)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(link)
                            .connect(address);
            link.channel = connecting.channel();
            connecting.addListener(
                    result -> {
                        if (!result.isSuccess()) {
                            link.fail(
                                    "cannot connect to "
                                            + address
                                            + ": "
                                            + result.cause().getMessage());
                        } else if (link.channel
                                .localAddress()
                                .equals(link.channel.remoteAddress())) {
                            // On loopback a connection to a port without a listener can use
                            // the same port as its source and so connect to itself.
                            link.fail("nobody listens at " + address);
                        } else if (!link.closed) {
                            listener.connected(link);
                        }
                    });
            return link;
        };
    }

    /** Sends a message, preceded by its length. */
    public void send(byte[] message) {
        channel.writeAndFlush(
                Unpooled.buffer(2 + message.length).writeShort(message.length).writeBytes(message));
    }

    /** Closes the connection; the listener is not called any more. */
    public void close() {
        closed = true;
        channel.close();
    }

    private void fail(String reason) {
        if (!closed) {
            closed = true;
            channel.close();
            listener.ended(reason);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        frames.feed((ByteBuf) message);
        for (byte[] frame = frames.next(); frame != null && !closed; frame = frames.next()) {
            listener.message(this, frame);
        }
        if (frames.malformed()) {
            fail("bytes that are no message");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }
}
