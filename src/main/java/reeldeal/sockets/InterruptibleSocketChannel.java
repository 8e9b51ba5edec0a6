package reeldeal.sockets;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** An accepted TCP connection, with the time for which it may have waited. */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private final double acceptDelayMs;

    /** Creates the channel of a connection that may have waited this long to be accepted. */
    InterruptibleSocketChannel(Channel parent, SocketChannel socket, double acceptDelayMs) {
        super(parent, socket);
        this.acceptDelayMs = acceptDelayMs;
    }

    double acceptDelayMs() {
        return acceptDelayMs;
    }
}
