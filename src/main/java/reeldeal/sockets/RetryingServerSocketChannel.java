package reeldeal.sockets;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * A listening TCP channel that tries a failed accept again after a short pause; Netty's acceptor
 * pauses for a second. All methods run on the channel's event loop.
 */
public final class RetryingServerSocketChannel extends NioServerSocketChannel {
    private static final Logger LOG = Logger.getLogger(RetryingServerSocketChannel.class.getName());
    private static final int RETRY_MS = 10;
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;
    private static final double NANOS_PER_MS = 1e6;

    private boolean failing;
    private long failingSince; // nanoTime of the first failure while connections wait
    private boolean logged;
    private long loggedAt;
    private int failuresNotLogged;

    /** Creates a channel that is not bound. */
    public RetryingServerSocketChannel() {}

    @Override
    protected int doReadMessages(List<Object> accepted) {
        SocketChannel socket;
        try {
            socket = javaChannel().accept();
        } catch (IOException e) {
            onFailure(e);
            config().setAutoRead(false);
            eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
            return 0;
        }
        if (socket == null) {
            failing = false;
            return 0;
        }
        accepted.add(new InterruptibleSocketChannel(this, socket, delayMs()));
        return 1;
    }

    private double delayMs() {
        return failing ? (System.nanoTime() - failingSince) / NANOS_PER_MS : 0;
    }

    private void onFailure(IOException cause) {
        long now = System.nanoTime();
        if (!failing) {
            failing = true;
            failingSince = now;
        }
        if (logged && now - loggedAt < LOG_INTERVAL_NANOS) {
            failuresNotLogged++;
            return;
        }
        LOG.warning(
                "accept failed on "
                        + localAddress()
                        + ", tried again: "
                        + cause.getMessage()
                        + (failuresNotLogged == 0 ? "" : ", " + failuresNotLogged + " more"));
        logged = true;
        loggedAt = now;
        failuresNotLogged = 0;
    }

    /**
     * Accepts the connections that wait, then closes the channel. A connection that the system has
     * established may hold a request already, which a close would lose.
     *
     * @param timeoutMs the most milliseconds for which a failing accept is tried again
     */
    public void closeAfterAccepting(long timeoutMs) {
        if (!isActive()) {
            close();
            return;
        }
        boolean failed = false;
        try {
            SocketChannel socket = javaChannel().accept();
            while (socket != null) {
                pipeline().fireChannelRead(new InterruptibleSocketChannel(this, socket, delayMs()));
                socket = javaChannel().accept();
            }
        } catch (IOException e) {
            failed = true;
            onFailure(e);
        }
        pipeline().fireChannelReadComplete();
        if (failed && timeoutMs > 0) {
            eventLoop()
                    .schedule(
                            () -> closeAfterAccepting(timeoutMs - RETRY_MS),
                            RETRY_MS,
                            TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }
}
