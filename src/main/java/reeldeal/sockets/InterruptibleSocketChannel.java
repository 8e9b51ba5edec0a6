package reeldeal.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A TCP channel on which a read that is interrupted by a signal is read again. */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    private static final int MAX_READ_TRIES = 8;

    private final double acceptDelayMs;

    /** Creates the channel of an outgoing connection. */
    InterruptibleSocketChannel() {
        acceptDelayMs = 0;
    }

    /** Creates the channel of a connection that may have waited this long to be accepted. */
    InterruptibleSocketChannel(Channel parent, SocketChannel socket, double acceptDelayMs) {
        super(parent, socket);
        this.acceptDelayMs = acceptDelayMs;
    }

    double acceptDelayMs() {
        return acceptDelayMs;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        for (int tries = 1; tries <= MAX_READ_TRIES; tries++) {
            int bytes = super.doReadBytes(buffer);
            // The JDK returns -3 for EINTR, which Netty would take for the end of the stream.
            if (bytes >= END_OF_STREAM) {
                return bytes;
            }
        }
        return 0;
    }
}
