package reeldeal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.sockets.EventLoopLag;
import reeldeal.sockets.RetryingServerSocketChannel;
import reeldeal.sockets.SocketChannels;

/**
 * Accepts connections and passes each request to a handler, one request at a time per connection.
 * The number of connections, the memory of partly read requests and the time that a client may take
 * for each step are bounded.
 *
 * <p>Not thread-safe: after {@link #listen} all methods are called on the server's event loop, as
 * are the handler and the exchanges.
 */
public final class HttpServer {
    private static final int BACKLOG = 512;
    private static final int SWEEP_INTERVAL_MS = 250;

    /** Bounds the share of a late loop's time that reading delayed input takes. */
    private static final long INPUT_READ_INTERVAL_NANOS = 10_000_000;

    /** How long a failing accept is tried again when the server stops listening. */
    private static final int MAX_ACCEPT_RETRY_MS = 300;

    /** At most {@code maxConnections / IDLE_DIVISOR} connections may be idle. */
    private static final int IDLE_DIVISOR = 2;

    private final int maxConnections;
    private final MemoryBudget memory;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final ConnectionTracker connectionTracker = new ConnectionTracker();
    private final EventLoopLag lag = new EventLoopLag();
    private Consumer<ConnectionClosed> closeListener = closed -> {};
    private Channel listener;
    private boolean inputWasRead;
    private long inputReadAt; // nanoTime of the last read of delayed input
    private boolean closing;
    private boolean keepIdle;

    /**
     * Creates a server.
     *
     * @param maxConnections the most open connections, to stay within the limit on file
     *     descriptors; for a new connection beyond it an unused one is closed, or else the new one
     * @param maxIncompleteBytes the most memory for partly read messages; a request that exceeds it
     *     is rejected
     * @param handler responds to the requests
     */
    public HttpServer(int maxConnections, long maxIncompleteBytes, RequestHandler handler) {
        this(maxConnections, maxIncompleteBytes, handler, () -> System.nanoTime() / 1_000_000);
    }

    HttpServer(
            int maxConnections,
            long maxIncompleteBytes,
            RequestHandler handler,
            LongSupplier clock) {
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.memory = new MemoryBudget(maxIncompleteBytes);
        this.handler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param group a group of one event loop, which runs the server
     * @param address the only address to listen on
     * @return a future that completes when the address is bound, or fails
     */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group, group)
                        .channelFactory(RetryingServerSocketChannel::new)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, readBuffers())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(newConnection(channel));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address);
        listener = bound.channel();
        bound.addListener(
                future -> {
                    if (future.isSuccess()) {
                        lag.start(listener.eventLoop());
                        startSweeping(group);
                    }
                });
        return bound;
    }

    /**
     * A connection is read until nothing is left: a short read may leave bytes that have arrived.
     */
    private static RecvByteBufAllocator readBuffers() {
        return new AdaptiveRecvByteBufAllocator(512, 2_048, 16_384)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(InputBacklog.MAX_TURN_READS);
    }

    private void startSweeping(EventLoopGroup group) {
        group.next()
                .scheduleWithFixedDelay(
                        this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private ServerConnection newConnection(Channel channel) {
        return new ServerConnection(
                memory, handler, clock, SocketChannels.acceptDelayMs(channel), connectionTracker);
    }

    /** Sets the recipient of the ends of connections. Called before {@link #listen}. */
    public void setCloseListener(Consumer<ConnectionClosed> recipient) {
        closeListener = recipient;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Stops closing idle connections. Called before the server stops listening, when a client whose
     * connection was closed could not open a new one.
     */
    public void keepIdleConnections() {
        keepIdle = true;
    }

    /**
     * Stops accepting connections, after those that wait to be accepted; open connections are still
     * served. Does nothing if the server does not listen.
     */
    public void stopListening() {
        if (listener instanceof RetryingServerSocketChannel listening) {
            listening.closeAfterAccepting(MAX_ACCEPT_RETRY_MS);
        }
    }

    /** Closes the connections without a request. Every later response closes its connection. */
    public void stopServing() {
        closing = true;
        for (ServerConnection connection : Set.copyOf(connections)) {
            connection.closeIfUnused(CloseReason.SERVER_CLOSING);
        }
    }

    /**
     * Reads the connections of unanswered requests if the event loop is late, so that a client that
     * has left is noticed before more is done for it. Does nothing if they were read a moment ago.
     */
    public void readDelayedInput() {
        long now = System.nanoTime();
        boolean isRecent = inputWasRead && now - inputReadAt < INPUT_READ_INTERVAL_NANOS;
        if (lag.lagMs() > 0 && !isRecent) {
            Set.copyOf(connections).forEach(ServerConnection::readWhileUnanswered);
            inputWasRead = true;
            inputReadAt = System.nanoTime();
        }
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Applies the timeouts of all connections: silence, incomplete requests, unread responses. */
    void sweep() {
        long now = clock.getAsLong();
        for (ServerConnection connection : Set.copyOf(connections)) {
            connection.checkTimeouts(now, keepIdle);
        }
    }

    /** Returns the memory used by partly read messages, in bytes. */
    long usedMemoryBytes() {
        return memory.usedBytes();
    }

    /** Returns the number of connections with an incomplete request or one without a response. */
    int connectionsWithRequest() {
        int count = 0;
        for (ServerConnection connection : connections) {
            count += connection.hasRequestInProgress() ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of connections that will not read another request. */
    int endingConnections() {
        int count = 0;
        for (ServerConnection connection : connections) {
            count += connection.isEnding() ? 1 : 0;
        }
        return count;
    }

    /**
     * Closes the connection that is least likely to be used again.
     *
     * @return false if no connection may be closed
     */
    private boolean evictLeastUsed() {
        long now = clock.getAsLong();
        ServerConnection leastUsed = null;
        for (ServerConnection connection : connections) {
            if (connection.isEvictable(now)
                    && (leastUsed == null || connection.isLessUsedThan(leastUsed))) {
                leastUsed = connection;
            }
        }
        if (leastUsed == null) {
            return false;
        }
        // The channel reports its close later. Until then this connection would be chosen again for
        // every new one.
        remove(leastUsed);
        leastUsed.close(CloseReason.EVICTED);
        return true;
    }

    /**
     * Closes the connection that has been idle for longest if too many are idle. A client that
     * holds its share of the file descriptors opens no further connections, even if it uses only a
     * few of those that it holds.
     */
    private void closeLongestIdle() {
        ServerConnection longestIdle = null;
        int idleCount = 0;
        for (ServerConnection connection : connections) {
            if (connection.isIdle()) {
                idleCount++;
                if (longestIdle == null || connection.isInactiveLongerThan(longestIdle)) {
                    longestIdle = connection;
                }
            }
        }
        if (!keepIdle && idleCount > Math.max(1, maxConnections / IDLE_DIVISOR)) {
            longestIdle.closeIfUnused(CloseReason.TOO_MANY_IDLE);
        }
    }

    private void remove(ServerConnection connection) {
        if (connections.remove(connection)) {
            connection.releaseMemory();
        }
    }

    /** Keeps the set of connections up to date with their channels. */
    private final class ConnectionTracker implements ServerConnection.Listener {
        @Override
        public boolean admit(ServerConnection connection) {
            if (connections.size() >= maxConnections && !evictLeastUsed()) {
                return false;
            }
            connections.add(connection);
            return true;
        }

        @Override
        public void responseWritten() {
            closeLongestIdle();
        }

        @Override
        public boolean isServerClosing() {
            return closing;
        }

        @Override
        public long lagMs() {
            return lag.lagMs();
        }

        @Override
        public void disconnected(ServerConnection connection, ConnectionClosed closed) {
            remove(connection);
            closeListener.accept(closed);
        }
    }
}
