package reeldeal.searchers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import reeldeal.core.AttemptEnd;
import reeldeal.core.AttemptEnd.Reach;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.frames.FrameBuffer;
import reeldeal.sockets.SocketChannels;

/**
 * Manages one connection to a searcher and the shard requests that are queued or in flight on it.
 * Shard requests are identified by their names on the wire. All methods run on the thread of the
 * connection's event loop.
 */
final class SearcherConnection extends ChannelInboundHandlerAdapter {
    /** The fraction of the searchers' idle limit after which the connection is no longer used. */
    private static final double IDLE_FRACTION = 0.6;

    /** The time in which a frame must be complete after its first bytes, in milliseconds. */
    private static final int FRAME_TIMEOUT_MS = 250;

    /** The time in which the socket must take a call, in milliseconds. */
    private static final int WRITE_TIMEOUT_MS = 50;

    /** The owner's side of a connection: decides on writes, and is notified of ends. */
    interface Listener {
        /** Whether this attempt may still be written. Called immediately before the write. */
        boolean maySend(Effect.Send send);

        /** Called when the socket has taken all bytes of an attempt. */
        void sent(Effect.Send send, double encodedAtMs);

        /**
         * Called when an attempt has ended. {@code loadReport} is the searcher's unparsed load
         * report.
         */
        void attemptEnded(Effect.Send send, AttemptEnd end, String loadReport);

        /**
         * Called when the connection accepts no more requests. Its pending attempts end after this
         * call.
         */
        void connectionClosed(SearcherConnection connection, SearcherConnectionClosed closed);
    }

    /** An attempt that is queued or in flight. */
    private static final class PendingAttempt {
        final Effect.Send send;
        double writtenAt = Double.POSITIVE_INFINITY; // when it was handed to the socket
        boolean flushed; // whether the socket accepted all of its bytes

        PendingAttempt(Effect.Send send) {
            this.send = send;
        }

        Reach reach() {
            return flushed ? Reach.SENT : Reach.UNSENT;
        }
    }

    private final String address;
    private final ConnectionPool.Limits limits;
    private final DoubleSupplier clock;
    private final Consumer<String> log;
    private final Listener listener;
    private final FrameBuffer frames =
            new FrameBuffer(FrameCodec.LENGTH_BYTES, FrameCodec.MAX_FRAME_BYTES);
    private final Map<String, PendingAttempt> pending = new LinkedHashMap<>();
    private final List<List<Effect.Send>> queuedCalls = new ArrayList<>();
    private final RetiredNames retiredNames = new RetiredNames();
    private final HealthChecks healthChecks;
    private Channel channel;
    private boolean established;
    private boolean closed;
    private long framesRead;
    private boolean frameTimerRunning;
    private double lastUsedAt;
    private double lastReadAt = Double.NEGATIVE_INFINITY;

    SearcherConnection(
            String address,
            ConnectionPool.Limits limits,
            List<String> loadColumns,
            DoubleSupplier clock,
            Consumer<Event> events,
            Consumer<String> log,
            Listener listener) {
        this.address = address;
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        this.healthChecks = new HealthChecks(loadColumns, events);
        this.lastUsedAt = clock.getAsDouble();
    }

    /** Starts connecting. Calls sent before the connection is established are queued. */
    void connect(EventLoopGroup group, InetSocketAddress remoteAddress) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(group)
                        .channelFactory(SocketChannels::newOutgoing)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(this)
                        .connect(remoteAddress);
        channel = connecting.channel();
        connecting.addListener(
                future -> {
                    if (!future.isSuccess()) {
                        close("could not connect");
                    }
                });
    }

    /** Whether the connection is established, so that calls are written without queueing. */
    boolean isEstablished() {
        return established;
    }

    /** Whether this connection can carry these shard requests in addition to its pending ones. */
    boolean accepts(List<Effect.Send> sends) {
        return !closed
                && pending.size() + sends.size() <= limits.shardRequestsPerConnection()
                && !isIdleAt(clock.getAsDouble())
                && hasNoConflictingName(sends);
    }

    private boolean isIdleAt(double now) {
        return lastUsedAt <= now - IDLE_FRACTION * limits.idleMs();
    }

    private boolean hasNoConflictingName(List<Effect.Send> sends) {
        for (Effect.Send send : sends) {
            String name = FrameCodec.wireName(send);
            // An abandoned attempt may still be answered on this connection. That answer must not
            // end another attempt with the same name.
            if (retiredNames.isAbandoned(name) || pending.containsKey(name)) {
                return false;
            }
        }
        return true;
    }

    /** Writes one call, or queues it until the connection is established. */
    void send(List<Effect.Send> sends) {
        lastUsedAt = clock.getAsDouble();
        for (Effect.Send send : sends) {
            pending.put(FrameCodec.wireName(send), new PendingAttempt(send));
        }
        if (established) {
            write(sends);
        } else {
            queuedCalls.add(new ArrayList<>(sends));
        }
    }

    private void write(List<Effect.Send> call) {
        double now = clock.getAsDouble();
        List<Effect.Send> sends = new ArrayList<>(call.size());
        List<Effect.Send> fenced = new ArrayList<>(0);
        for (Effect.Send send : call) {
            (send.mayBeWritten(now) && listener.maySend(send) ? sends : fenced).add(send);
        }
        for (Effect.Send send : fenced) {
            endUnwritten(send, new AttemptEnd.NeverSent());
        }
        if (sends.isEmpty()) {
            return;
        }
        double encodedAt = clock.getAsDouble();
        List<PendingAttempt> written = new ArrayList<>(sends.size());
        for (Effect.Send send : sends) {
            PendingAttempt attempt = pending.get(FrameCodec.wireName(send));
            attempt.writtenAt = encodedAt;
            written.add(attempt);
        }
        ChannelFuture writing = channel.writeAndFlush(FrameCodec.encodeCall(sends, encodedAt));
        writing.addListener(future -> onWritten(written, future.isSuccess()));
        if (!writing.isDone()) {
            channel.eventLoop()
                    .schedule(
                            () -> resetIfUnwritten(writing),
                            WRITE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void onWritten(List<PendingAttempt> written, boolean success) {
        for (PendingAttempt attempt : written) {
            attempt.flushed |= success;
            if (success) {
                listener.sent(attempt.send, attempt.writtenAt);
            }
        }
    }

    /** Resets the connection if a call would be written when its requests may have ended. */
    private void resetIfUnwritten(ChannelFuture writing) {
        if (!closed && !writing.isDone()) {
            reset("call not written within " + WRITE_TIMEOUT_MS + " ms");
        }
    }

    /**
     * Ends a pending attempt without waiting for its answer. If it was already written, sends a
     * cancel frame or resets a silent connection.
     */
    void abandon(Effect.Abandon abandon) {
        PendingAttempt attempt = findPending(abandon.shardRequestId(), abandon.attempt());
        if (attempt == null) {
            return;
        }
        Effect.Send send = attempt.send;
        String name = FrameCodec.wireName(send);
        boolean unsent = dequeue(send);
        pending.remove(name);
        // A partly written request may still run, so only one that was never passed to the socket
        // is reported as unsent.
        listener.attemptEnded(
                send,
                new AttemptEnd.Abandoned(unsent ? Reach.UNSENT : Reach.SENT, abandon.timedOut()),
                LoadReport.NONE);
        if (unsent) {
            return;
        }
        if (!attempt.flushed) {
            reset("abandoned before it was written");
        } else if (lastReadAt < attempt.writtenAt) {
            // Nothing was read since the request was written, so the connection may be dead
            // although the searcher is alive. The call and a cancel frame after it might both stay
            // unread, and be read later while another attempt is in flight.
            reset("silent");
        } else {
            retiredNames.addAbandoned(name, clock.getAsDouble());
            channel.writeAndFlush(
                    FrameCodec.encodeFrame(
                            FrameCodec.CANCEL, name.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private PendingAttempt findPending(long shardRequestId, int attemptNumber) {
        for (PendingAttempt attempt : pending.values()) {
            if (attempt.send.shardRequestId() == shardRequestId
                    && attempt.send.attempt() == attemptNumber) {
                return attempt;
            }
        }
        return null;
    }

    private boolean dequeue(Effect.Send send) {
        for (List<Effect.Send> call : queuedCalls) {
            if (call.remove(send)) {
                return true;
            }
        }
        return false;
    }

    /** Drops an attempt that is still queued. An attempt that was already written continues. */
    void withdraw(Effect.Withdraw withdraw) {
        for (List<Effect.Send> call : queuedCalls) {
            for (Effect.Send send : List.copyOf(call)) {
                if (send.shardRequestId() == withdraw.shardRequestId()
                        && send.attempt() == withdraw.attempt()) {
                    call.remove(send);
                    endUnwritten(send, new AttemptEnd.NeverSent());
                }
            }
        }
    }

    private void endUnwritten(Effect.Send send, AttemptEnd end) {
        pending.remove(FrameCodec.wireName(send));
        listener.attemptEnded(send, end, LoadReport.NONE);
    }

    /**
     * Ends all queued attempts as unsent, since the searcher is draining. Resets the connection if
     * a call is not yet completely accepted by the socket.
     */
    void stopSending() {
        List<List<Effect.Send>> unsent = List.copyOf(queuedCalls);
        queuedCalls.clear();
        for (List<Effect.Send> sends : unsent) {
            for (Effect.Send send : sends) {
                endUnwritten(send, new AttemptEnd.Broken(Reach.UNSENT, "searcher is draining"));
            }
        }
        // A call that the socket has not completely accepted would start later, so the connection
        // is reset to discard it.
        if (established && hasUnflushedAttempt()) {
            reset("searcher is draining");
        }
    }

    private boolean hasUnflushedAttempt() {
        for (PendingAttempt attempt : pending.values()) {
            if (!attempt.flushed) {
                return true;
            }
        }
        return false;
    }

    /** Starts a health check. Its request is written as soon as the connection is established. */
    void startHealthCheck(Searcher searcher) {
        healthChecks.start(searcher, clock.getAsDouble());
        if (established) {
            channel.writeAndFlush(healthChecks.encodeRequest());
        }
    }

    /** Closes the connection if it is idle or a health check on it has timed out. */
    void sweep() {
        double now = clock.getAsDouble();
        retiredNames.expire(now);
        if (healthChecks.isOverdue(now)) {
            // Replies carry no identifier, so after a lost reply the following ones could not be
            // matched to their health checks.
            close("health check not answered in time");
        }
        // Does not use isIdleAt: exactly at the limit, the connection accepts no calls but stays
        // open.
        if (pending.isEmpty()
                && healthChecks.isEmpty()
                && lastUsedAt < now - IDLE_FRACTION * limits.idleMs()) {
            close("idle");
        }
    }

    /** Closes the channel. Pending attempts end when it is reported as inactive. */
    void closeChannel() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (closed) {
            ctx.close();
            return;
        }
        established = true;
        List<List<Effect.Send>> calls = List.copyOf(queuedCalls);
        queuedCalls.clear();
        for (List<Effect.Send> call : calls) {
            if (!call.isEmpty()) {
                write(call);
            }
        }
        for (int i = healthChecks.size(); i > 0; i--) {
            channel.writeAndFlush(healthChecks.encodeRequest());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        frames.feed((ByteBuf) message);
        lastReadAt = clock.getAsDouble();
        lastUsedAt = lastReadAt;
        for (byte[] frame = frames.next(); frame != null && !closed; frame = frames.next()) {
            framesRead++;
            onFrame(frame);
        }
        if (!closed && frames.malformed()) {
            closeOnProtocolError("invalid frame length");
        } else if (!closed && frames.inFrame()) {
            onPartialFrame(ctx);
        }
    }

    /**
     * Handles an incomplete frame. If nothing is pending, its bytes are unexpected, and the next
     * answer would be read as the rest of this frame. Otherwise it must be complete within the
     * frame timeout, since a corrupt length may exceed the bytes that follow, and the frame would
     * never be complete.
     */
    private void onPartialFrame(ChannelHandlerContext ctx) {
        if (pending.isEmpty() && healthChecks.isEmpty()) {
            close("received bytes without a pending request");
        } else if (!frameTimerRunning) {
            frameTimerRunning = true;
            long framesBefore = framesRead;
            ctx.executor()
                    .schedule(
                            () -> onFrameTimer(ctx, framesBefore),
                            FRAME_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void onFrameTimer(ChannelHandlerContext ctx, long framesBefore) {
        frameTimerRunning = false;
        if (closed || !frames.inFrame()) {
            return;
        }
        if (framesRead == framesBefore) {
            closeOnProtocolError("frame not complete within " + FRAME_TIMEOUT_MS + " ms");
        } else {
            onPartialFrame(ctx);
        }
    }

    private void onFrame(byte[] frame) {
        switch (frame[0]) {
            case FrameCodec.ANSWER -> onAnswer(frame);
            case FrameCodec.PROBE, FrameCodec.LOAD -> onHealthCheckReply(frame);
            case FrameCodec.ERROR ->
                    closeOnProtocolError("searcher rejected a frame: " + FrameCodec.text(frame));
            default -> closeOnProtocolError("unknown frame type " + frame[0]);
        }
    }

    private void onAnswer(byte[] frame) {
        FrameCodec.Answer answer = FrameCodec.decodeAnswer(frame);
        if (answer == null) {
            closeOnProtocolError("malformed answer frame");
            return;
        }
        String name = answer.name();
        boolean abandoned = retiredNames.removeAbandoned(name);
        PendingAttempt attempt = pending.remove(name);
        if (attempt != null) {
            listener.attemptEnded(attempt.send, answer.end(), answer.loadReport());
        } else if (!abandoned && !retiredNames.isServed(name) && !pending.isEmpty()) {
            // Which request was answered is unknown, and the one that was would never end.
            closeOnProtocolError("answer to an unknown shard request");
            return;
        }
        if (answer.end() instanceof AttemptEnd.Served) {
            retiredNames.addServed(name);
        }
    }

    private void onHealthCheckReply(byte[] frame) {
        if (healthChecks.isEmpty()) {
            closeOnProtocolError("health check reply without a pending health check");
        } else {
            healthChecks.complete(FrameCodec.text(frame), clock.getAsDouble());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        close("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close(String.valueOf(cause.getMessage()));
    }

    private void closeOnProtocolError(String reason) {
        log.accept("searcher " + address + ": " + reason);
        close(reason);
    }

    /** Closes the connection and discards what the socket has not sent yet. */
    private void reset(String reason) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        close(reason);
    }

    /** Closes the connection and ends all attempts and health checks on it. */
    private void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        listener.connectionClosed(
                this, new SearcherConnectionClosed(address, reason, pending.size()));
        channel.close();
        for (PendingAttempt attempt : List.copyOf(pending.values())) {
            listener.attemptEnded(
                    attempt.send, new AttemptEnd.Broken(attempt.reach(), reason), LoadReport.NONE);
        }
        pending.clear();
        healthChecks.failAll(established, clock.getAsDouble());
    }
}
