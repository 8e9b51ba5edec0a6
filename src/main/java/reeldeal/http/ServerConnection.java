package reeldeal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One connection of an {@link HttpServer}: reads requests, passes them to the handler one at a
 * time, and closes itself after a timeout. All methods run on the server's event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Size of a response body that a client's system holds even if the client does not read. */
    private static final int MAX_BUFFERED_BY_CLIENT_BYTES = 32 * 1024;

    /** The most bytes that are read and discarded on a connection before it is closed. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final Map<String, String> PLAIN_TEXT = Map.of("Content-Type", "text/plain");

    /** The connection's interface to its server: events that it reports, and the server's state. */
    interface Listener {
        /** Registers a connection if it may stay open; returns whether it may. */
        boolean admit(ServerConnection connection);

        /** Reports that a response was written which leaves its connection open. */
        void responseWritten();

        /** Whether the server is closing, so that each response closes its connection. */
        boolean isServerClosing();

        /** Returns the longest time for which input that is read now may have waited, ms. */
        long lagMs();

        /** Reports that the connection's channel was closed. */
        void disconnected(ServerConnection connection, ConnectionClosed closed);
    }

    private final RequestInput input;
    private final ChannelReader reader;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final Listener listener;
    private final double acceptDelayMs;
    private ChannelHandlerContext context;
    private PendingExchange currentExchange;
    private boolean hadRequest;
    private boolean ending; // no further request will be read
    private boolean delayedAfterBadRequests;
    private boolean resumeScheduled;
    private boolean closeScheduled;
    private boolean closed;
    private ScheduledFuture<?> lingerTimeout; // null until the last response is written
    private int unwrittenResponses; // handed to the channel, but not yet to the system
    private long inactiveSince;
    private long requestStartedAt;
    private int discardedBytes;
    private final BadRequestDelay badRequestDelay = new BadRequestDelay();
    private CloseReason closeReason = CloseReason.CLIENT_LEFT;

    /** Creates a connection that may have waited {@code acceptDelayMs} to be accepted. */
    ServerConnection(
            MemoryBudget memory,
            RequestHandler handler,
            LongSupplier clock,
            double acceptDelayMs,
            Listener listener) {
        this.acceptDelayMs = acceptDelayMs;
        this.input = new RequestInput(memory);
        this.reader = new ChannelReader(clock, listener::lagMs, this::onClosed);
        this.handler = handler;
        this.clock = clock;
        this.listener = listener;
        this.inactiveSince = clock.getAsLong();
    }

    // ---- called by the server ----

    /** Whether this connection has had a request and now waits for another. */
    boolean isIdle() {
        return hadRequest && isWaitingForRequest();
    }

    private boolean isWaitingForRequest() {
        return !hasRequestInProgress() && !ending && !delayedAfterBadRequests;
    }

    boolean isEnding() {
        return ending;
    }

    boolean hasRequestInProgress() {
        return currentExchange != null || input.isUnanswered();
    }

    private boolean isAnswered() {
        return currentExchange == null && !input.hasRejections();
    }

    boolean isInactiveLongerThan(ServerConnection other) {
        return inactiveSince < other.inactiveSince;
    }

    /** Whether this connection may be closed to make room for a new one. */
    boolean isEvictable(long now) {
        return isAnswered()
                && unwrittenResponses == 0
                && !(delayedAfterBadRequests && input.inMessage())
                && (ending
                        || hadRequest
                        || now - inactiveSince >= ConnectionTimeouts.MIN_EVICTION_AGE_MS);
    }

    /** Whether this connection is to be evicted rather than another evictable one. */
    boolean isLessUsedThan(ServerConnection other) {
        return retentionRank() < other.retentionRank()
                || (retentionRank() == other.retentionRank() && isInactiveLongerThan(other));
    }

    private int retentionRank() {
        if (ending) {
            return 0;
        }
        return hadRequest ? 2 : 1;
    }

    void releaseMemory() {
        input.releaseMemory();
    }

    /** Closes the connection at once. The first reason counts. */
    void close(CloseReason reason) {
        if (closeReason == CloseReason.CLIENT_LEFT) {
            closeReason = reason;
        }
        context.close();
    }

    /**
     * Closes the connection if no request has begun on it, once the event loop has read what has
     * arrived. Bytes that cross the close stay unread: a request that was read must be answered,
     * and one that was not read may be sent again on another connection.
     */
    void closeIfUnused(CloseReason reason) {
        if (!closeScheduled) {
            closeScheduled = true;
            schedule(() -> closeIfStillUnused(reason), ConnectionTimeouts.CLOSE_DELAY_MS);
        }
    }

    private ScheduledFuture<?> schedule(Runnable task, long delayMs) {
        return context.executor().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void closeIfStillUnused(CloseReason reason) {
        closeScheduled = false;
        if (isUnused()) {
            ending = true;
            close(reason);
        }
    }

    /** Whether no request has begun, and no response is still being written. */
    private boolean isUnused() {
        return isWaitingForRequest() && unwrittenResponses == 0;
    }

    /** Reads what has arrived if a request waits for its response. */
    void readWhileUnanswered() {
        if (currentExchange != null) {
            reader.readToEnd();
        }
    }

    /** Ends the connection or rejects its incomplete request if the time limit has passed. */
    void checkTimeouts(long now, boolean keepIdle) {
        if (currentExchange != null || delayedAfterBadRequests) {
            return;
        }
        boolean inMessage = input.inMessage();
        if (ending || !context.channel().isWritable()) {
            if (now - inactiveSince >= ConnectionTimeouts.UNREAD_RESPONSE_MS) {
                close(CloseReason.UNREAD_RESPONSE);
            }
        } else if (inMessage && now >= requestDeadline()) {
            reject(408, ResponseTexts.REQUEST_TIMEOUT);
        } else if (!inMessage
                && !(hadRequest && keepIdle)
                && now - inactiveSince
                        >= (hadRequest
                                ? ConnectionTimeouts.IDLE_MS
                                : ConnectionTimeouts.FIRST_REQUEST_MS)) {
            closeIfUnused(CloseReason.IDLE);
        }
    }

    private long requestDeadline() {
        return hadRequest
                ? requestStartedAt + ConnectionTimeouts.REQUEST_MS
                : inactiveSince + ConnectionTimeouts.FIRST_REQUEST_MS;
    }

    // ---- channel events ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        reader.begin(ctx);
        if (listener.admit(this)) {
            input.countMemory();
        } else {
            close(CloseReason.NO_PLACE);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        reader.addRead(in.readableBytes());
        if (ending || input.endsInput()) {
            discard(in);
            return;
        }
        byte[] bytes = new byte[in.readableBytes()];
        in.readBytes(bytes);
        in.release();
        if (!input.inMessage()) {
            requestStartedAt = clock.getAsLong();
        }
        input.add(bytes, clock.getAsLong() - listener.lagMs());
        processNextRequest();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reader.endTurn();
        if (currentExchange != null && reader.isExcessive()) {
            abandonExchange();
        }
        processNextRequest();
    }

    /**
     * Ends the exchange of a client that sends so far ahead that its end would be noticed too late:
     * nothing more may be sent for a client that may have left.
     */
    private void abandonExchange() {
        PendingExchange abandoned = currentExchange;
        abandoned.respond(500, PLAIN_TEXT, ResponseTexts.TOO_MANY_PIPELINED);
        abandoned.disconnected();
    }

    /**
     * Reads and discards further input, up to a limit that bounds the work. Closing a connection
     * with unread bytes would reset it, and a disconnect of the client is detected only by reading.
     */
    private void discard(ByteBuf in) {
        discardedBytes += in.readableBytes();
        in.release();
        if (discardedBytes > MAX_DISCARDED_BYTES && isAnswered()) {
            close(CloseReason.INPUT_AFTER_END);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            processNextRequest();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    private void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        if (lingerTimeout != null) {
            lingerTimeout.cancel(false); // its task would keep this connection in memory
        }
        PendingExchange unanswered = currentExchange;
        currentExchange = null;
        listener.disconnected(
                this,
                new ConnectionClosed(
                        context.channel().remoteAddress(), closeReason, unanswered != null));
        if (unanswered != null) {
            unanswered.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // An exception ends only this connection; other connections are not affected.
        close(CloseReason.FAILED);
    }

    // ---- requests ----

    /** Parses and dispatches the next request unless one still waits for its response. */
    private void processNextRequest() {
        if (ending) {
            return;
        }
        if (currentExchange != null && !input.acceptsMore()) {
            input.rejectBuffered();
        }
        updateReading();
        if (currentExchange != null || delayedAfterBadRequests || resumeScheduled || closed) {
            return;
        }
        if (!context.channel().isWritable() || mustReadFirst()) {
            return;
        }
        if (input.hasRejections()) {
            rejectNextRequest();
            return;
        }
        HttpParser.Result result = input.next();
        if (result instanceof HttpParser.Complete complete) {
            dispatch(complete.message());
        } else if (result instanceof HttpParser.Malformed malformed) {
            byte[] reason = (malformed.reason() + "\n").getBytes(StandardCharsets.UTF_8);
            reject(malformed.status(), reason);
        } else if (((HttpParser.NeedMore) result).expectsContinue()) {
            context.writeAndFlush(Unpooled.wrappedBuffer(ResponseTexts.CONTINUE));
        }
        if (!ending) {
            updateReading();
        }
    }

    /**
     * Whether the next request must wait until the input is read: its client may have left. If the
     * client sends faster than it can be read, its requests are rejected instead.
     */
    private boolean mustReadFirst() {
        if (!reader.isOutdated() || !input.inMessage()) {
            return false;
        }
        if (reader.isExcessive() || !input.acceptsMore()) {
            input.rejectBuffered();
            return false;
        }
        reader.scheduleRead();
        return true;
    }

    /**
     * Reads on unless the client does not read its responses, or has sent too much while none of
     * its requests waits for a response.
     */
    private void updateReading() {
        boolean hasRoom = input.acceptsMore() && context.channel().isWritable();
        reader.setWanted(currentExchange != null || hasRoom);
    }

    private void dispatch(HttpMessage request) {
        long arrivedAt = input.takenArrivedAt();
        double waitedMs = clock.getAsLong() - arrivedAt + (hadRequest ? 0 : acceptDelayMs);
        currentExchange = new PendingExchange(this::respond, request.keepsAlive(), waitedMs);
        hadRequest = true;
        try {
            handler.handle(request, currentExchange);
        } catch (RuntimeException e) {
            // An exception of the handler ends only this connection; the client still gets a
            // response.
            respondToHandlerFailure();
        }
    }

    /** Responds in place of a handler that threw an exception, and ends the connection. */
    private void respondToHandlerFailure() {
        PendingExchange failed = currentExchange;
        reject(500, ResponseTexts.INTERNAL_ERROR);
        if (failed != null) {
            failed.disconnected();
        }
    }

    /** Responds to input that is not passed to the handler, and ends the connection. */
    private void reject(int status, byte[] reason) {
        currentExchange = new PendingExchange(this::respond, false, 0);
        currentExchange.respond(status, PLAIN_TEXT, reason);
    }

    private void rejectNextRequest() {
        hadRequest = true;
        currentExchange = new PendingExchange(this::respond, input.removeRejection(), 0);
        currentExchange.respond(503, PLAIN_TEXT, input.rejectionReason());
    }

    /** Continues after a response that leaves the connection open, delayed after bad requests. */
    private void afterResponse(int status) {
        inactiveSince = clock.getAsLong();
        requestStartedAt = inactiveSince;
        listener.responseWritten();
        long delayMs = badRequestDelay.afterResponse(status);
        if (delayMs == 0) {
            scheduleResume();
        } else {
            delayedAfterBadRequests = true;
            schedule(this::resumeAfterDelay, delayMs);
        }
    }

    private void resumeAfterDelay() {
        delayedAfterBadRequests = false;
        resume();
    }

    /** Handles the next request after other connections had their turn. */
    private void scheduleResume() {
        if (!resumeScheduled) {
            resumeScheduled = true;
            context.executor().execute(this::resume);
        }
    }

    private void resume() {
        resumeScheduled = false;
        if (context.channel().isActive()) {
            processNextRequest();
        }
    }

    /**
     * Ends the connection after a write: first shuts down its output, then closes it when the
     * client has closed its side or a time limit has passed. Until then input is discarded, because
     * closing a connection with unread bytes resets it and loses what is unsent of the response.
     * After a small response of a closing server input is left unread instead: a request that
     * crosses the response was then never taken.
     */
    private void endAfter(ChannelFuture written, boolean discardsInput) {
        ending = true;
        input.discardAll();
        closeReason = CloseReason.LAST_RESPONSE;
        inactiveSince = clock.getAsLong();
        reader.end(discardsInput);
        int lingerMs =
                discardsInput ? ConnectionTimeouts.LINGER_MS : ConnectionTimeouts.UNREAD_LINGER_MS;
        written.addListener(
                future -> {
                    ((SocketChannel) context.channel()).shutdownOutput();
                    lingerTimeout = schedule(() -> close(CloseReason.LAST_RESPONSE), lingerMs);
                });
    }

    private ChannelFuture write(ByteBuf response) {
        unwrittenResponses++;
        return context.writeAndFlush(response)
                .addListener(
                        future -> {
                            unwrittenResponses--;
                            if (listener.isServerClosing()) {
                                closeIfUnused(CloseReason.SERVER_CLOSING);
                            }
                        });
    }

    private void respond(
            PendingExchange exchange, int status, Map<String, String> headers, byte[] body) {
        if (currentExchange != exchange) {
            return;
        }
        currentExchange = null;
        // Requests that were read are answered before the connection ends.
        boolean lastOfClosingServer = listener.isServerClosing() && !input.isUnanswered();
        boolean close = !exchange.keepsAlive() || lastOfClosingServer;
        ChannelFuture written = write(HttpWriter.response(status, headers, body, close));
        if (close) {
            boolean isSmall = body.length <= MAX_BUFFERED_BY_CLIENT_BYTES;
            endAfter(written, !(lastOfClosingServer && exchange.keepsAlive() && isSmall));
        } else {
            afterResponse(status);
        }
    }
}
