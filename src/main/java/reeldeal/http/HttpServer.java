package reeldeal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Accepts connections and hands each request to its front, one at a time on a connection. */
public final class HttpServer {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] BUSY = "too much is being read\n".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] FAULT = "the broker failed on this request\n".getBytes(StandardCharsets.US_ASCII);
    private static final int LINGER_MS = 1_000;

    private final int maxConnections;
    private final long maxHeldBytes;
    private final BiConsumer<HttpMessage, Exchange> front;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;
    private long heldBytes;
    private boolean closing;

    /**
     * A server for a front. More connections than this are closed at once, to stay within descriptors; a
     * request that would have unread messages take more memory than this is turned away.
     */
    public HttpServer(int maxConnections, long maxHeldBytes, BiConsumer<HttpMessage, Exchange> front) {
        this.maxConnections = maxConnections;
        this.maxHeldBytes = maxHeldBytes;
        this.front = front;
    }

    /** Listens on this address only. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(group, group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection());
                    }
                });
        ChannelFuture bound = bootstrap.bind(address);
        listener = bound.channel();
        return bound;
    }

    /** The address listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** From now on each response ends its connection. */
    public void announceClose() {
        closing = true;
    }

    /** Stops accepting and closes the connections on which nothing is asked. */
    public void stopListening() {
        closing = true;
        listener.close();
        for (Connection c : Set.copyOf(connections)) {
            if (c.current == null && !c.parser.inMessage()) {
                c.context.close();
            }
        }
    }

    /** How much memory the messages take that are being read. */
    long heldBytes() {
        return heldBytes;
    }

    /** Connections that are open. */
    public int openConnections() {
        return connections.size();
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final HttpParser parser = new HttpParser(false);
        private ChannelHandlerContext context;
        private Pending current;
        private boolean unread;
        private boolean ended;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            if (connections.size() >= maxConnections) {
                ctx.close();
                return;
            }
            connections.add(this);
            heldBytes += parser.heldBytes();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            byte[] bytes = new byte[in.readableBytes()];
            in.readBytes(bytes);
            in.release();
            if (ended) {
                return; // the last response is written: what still comes is not read
            }
            int before = parser.heldBytes();
            parser.feed(bytes, 0, bytes.length);
            heldBytes += parser.heldBytes() - before;
            if (heldBytes > maxHeldBytes && parser.heldBytes() > before && current == null) {
                // Many slow or large messages at once must not take the memory that all others live on.
                unread = true;
                current = new Pending(this, false);
                current.respond(503, Map.of("Content-Type", "text/plain"), BUSY);
                return;
            }
            advance();
        }

        /** Begins the next request if none is being answered. */
        private void advance() {
            if (current != null) {
                // A client that sends ahead without end is not read on; it would fill the memory.
                context.channel().config().setAutoRead(parser.hasRoom());
                return;
            }
            int before = parser.heldBytes();
            HttpParser.Result result = parser.next();
            heldBytes += parser.heldBytes() - before;
            if (result instanceof HttpParser.Complete complete) {
                current = new Pending(this, complete.message().keepsAlive());
                try {
                    front.accept(complete.message(), current);
                } catch (RuntimeException e) {
                    // Exceptions stop at the connection; its client is still owed an answer.
                    new Pending(this, false).failed();
                }
                context.channel().config().setAutoRead(current == null || parser.hasRoom());
            } else if (result instanceof HttpParser.Malformed bad) {
                unread = true;
                current = new Pending(this, false);
                current.respond(bad.status(), Map.of("Content-Type", "text/plain"),
                        (bad.why() + "\n").getBytes(StandardCharsets.UTF_8));
            } else if (((HttpParser.NeedMore) result).expectsContinue()) {
                context.writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (connections.remove(this)) {
                heldBytes -= parser.heldBytes();
            }
            Pending left = current;
            current = null;
            if (left != null && left.gone != null) {
                left.gone.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Exceptions stop at the connection: this one ends, no other notices.
            ctx.close();
        }
    }

    private final class Pending implements Exchange {
        private final Connection connection;
        private final boolean keepAlive;
        private Runnable gone;

        Pending(Connection connection, boolean keepAlive) {
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] body) {
            if (connection.current != this) {
                return;
            }
            connection.current = null;
            boolean close = !keepAlive || closing;
            ChannelFuture written = connection.context.writeAndFlush(
                    HttpWriter.response(status, headers, body, close));
            connection.ended = close;
            if (close && connection.unread) {
                // To close on bytes that are not read resets the connection, and the answer may be lost with it.
                written.addListener(f -> {
                    ((SocketChannel) connection.context.channel()).shutdownOutput();
                    connection.context.executor().schedule(() -> connection.context.close(), LINGER_MS,
                            TimeUnit.MILLISECONDS);
                });
            } else if (close) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                connection.context.executor().execute(() -> {
                    if (connection.context.channel().isActive()) {
                        connection.context.channel().config().setAutoRead(true);
                        connection.advance();
                    }
                });
            }
        }

        /** Takes the place of an exchange whose front failed. */
        void failed() {
            Pending before = connection.current;
            connection.current = this;
            respond(500, Map.of("Content-Type", "text/plain"), FAULT);
            if (before != null && before.gone != null) {
                before.gone.run();
            }
        }

        @Override
        public void onGone(Runnable run) {
            gone = run;
        }
    }
}
