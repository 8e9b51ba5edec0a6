package reeldeal.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import reeldeal.sockets.SocketChannels;

/**
 * An HTTP client for one server. It makes one call at a time, on a connection that it keeps open
 * between calls. Bytes after the end of a response end the connection, so that they are never read
 * as the response to a later call. Bytes that arrive only after the next call was written cannot be
 * told from its response: a caller whose responses do not show to which call they belong must close
 * the client after each call. Not thread-safe: all methods are called on the event loop of the
 * client's group, as are the consumers of the results.
 */
public final class HttpClient {
    /** The time in which the socket must take a request, in milliseconds. */
    private static final int WRITE_TIMEOUT_MS = 50;

    /** The outcome of a call. */
    public sealed interface Result {}

    /** The server sent a complete response. */
    public record Responded(HttpMessage message) implements Result {}

    /**
     * The call ended without a complete response.
     *
     * @param written whether the complete request was written, so that the server may have read it
     * @param reason the reason, for the log
     */
    public record NoResponse(boolean written, String reason) implements Result {}

    /** The request of a call. A null body means that the request is no longer wanted. */
    private record Call(
            String method, String target, Map<String, String> headers, Supplier<byte[]> body) {}

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final int connectTimeoutMs;
    private Channel channel;
    private Consumer<Result> resultConsumer; // null while no call is in flight
    private ScheduledFuture<?> timeout;
    private HttpParser parser;
    private boolean written;

    /**
     * Creates a client that is not connected.
     *
     * @param group a group of one event loop, which runs the client
     * @param address the server's address
     * @param connectTimeoutMs the time limit for connecting, in milliseconds
     */
    public HttpClient(EventLoopGroup group, InetSocketAddress address, int connectTimeoutMs) {
        this.group = group;
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** Whether no call is in flight. */
    public boolean isFree() {
        return resultConsumer == null;
    }

    /** Whether the complete request of the call in flight was written. */
    public boolean isWritten() {
        return written;
    }

    /**
     * Begins a call, which ends with exactly one result. No other call may be in flight.
     *
     * @param method the request's method
     * @param target the request's target
     * @param headers the request headers without Host and Content-Length, which are added
     * @param body supplies the body right before the request is written; if it returns null,
     *     nothing is written and the call fails
     * @param timeoutMs the time limit for the whole call, from connecting to the response
     * @param onResult receives the result
     */
    public void call(
            String method,
            String target,
            Map<String, String> headers,
            Supplier<byte[]> body,
            long timeoutMs,
            Consumer<Result> onResult) {
        resultConsumer = onResult;
        written = false;
        timeout =
                group.next()
                        .schedule(
                                () -> fail("timed out before a complete response"),
                                timeoutMs,
                                TimeUnit.MILLISECONDS);
        Call call = new Call(method, target, headers, body);
        if (channel != null && channel.isActive()) {
            write(call, channel);
        } else {
            connectAndWrite(call);
        }
    }

    private void connectAndWrite(Call call) {
        parser = new HttpParser(true);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(group)
                        .channelFactory(SocketChannels::newOutgoing)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new Handler())
                        .connect(address);
        channel = connecting.channel();
        connecting.addListener(
                future -> {
                    if (channel != connecting.channel()) {
                        connecting.channel().close();
                    } else if (future.isSuccess()) {
                        write(call, connecting.channel());
                    } else {
                        fail("connection failed or timed out");
                    }
                });
    }

    private void write(Call call, Channel destination) {
        byte[] body = call.body().get();
        if (body == null) {
            fail("request withdrawn before it was written");
            return;
        }
        String hostAndPort = address.getHostString() + ":" + address.getPort();
        ChannelFuture writing =
                destination.writeAndFlush(
                        HttpWriter.request(
                                call.method(), call.target(), hostAndPort, call.headers(), body));
        writing.addListener(future -> written |= destination == channel && future.isSuccess());
        if (!writing.isDone()) {
            destination
                    .eventLoop()
                    .schedule(
                            () -> failIfUnwritten(writing, destination),
                            WRITE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void failIfUnwritten(ChannelFuture writing, Channel destination) {
        if (!writing.isDone() && destination == channel) {
            destination.config().setOption(ChannelOption.SO_LINGER, 0);
            fail("request not written in time");
        }
    }

    /** Ends the call in flight without a response and closes the connection. */
    public void close() {
        fail("closed");
        closeChannel();
    }

    private void closeChannel() {
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
    }

    private void fail(String reason) {
        if (!isFree()) {
            // A late response must not be mistaken for the response to the next call.
            closeChannel();
            finish(new NoResponse(written, reason));
        }
    }

    private void succeed(HttpMessage response) {
        if (!isFree()) {
            if (!response.keepsAlive() || parser.inMessage()) {
                closeChannel();
            }
            finish(new Responded(response));
        }
    }

    private void finish(Result result) {
        Consumer<Result> consumer = resultConsumer;
        resultConsumer = null;
        timeout.cancel(false);
        consumer.accept(result);
    }

    /** Reads the responses of one channel. */
    private final class Handler extends ChannelInboundHandlerAdapter {
        private boolean reset;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            byte[] bytes = new byte[in.readableBytes()];
            in.readBytes(bytes);
            in.release();
            if (ctx.channel() != channel) {
                return;
            }
            if (isFree()) {
                closeChannel();
                return;
            }
            parser.feed(bytes, 0, bytes.length);
            HttpParser.Result result = parser.next();
            while (result instanceof HttpParser.Complete complete
                    && complete.message().isInterim()) {
                result = parser.next();
            }
            if (result instanceof HttpParser.Complete complete) {
                succeed(complete.message());
            } else if (result instanceof HttpParser.Malformed) {
                fail("received a malformed response");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() != channel) {
                return;
            }
            channel = null;
            HttpMessage response = reset ? null : parser.endOfInput();
            if (response == null) {
                fail("connection closed before a complete response");
            } else {
                succeed(response);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            ctx.close();
        }
    }
}
