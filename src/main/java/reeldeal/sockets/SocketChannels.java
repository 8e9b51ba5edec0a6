package reeldeal.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;

/** Makes the channels of outgoing TCP connections. Stateless; any thread may call it. */
public final class SocketChannels {
    private SocketChannels() {}

    /**
     * Returns a channel that is not connected. If the system has no socket for it, the channel
     * fails to connect, on its event loop and with the system's reason; Netty's own substitute has
     * no event loop, so that it reports on another thread and cannot be closed.
     */
    public static Channel newOutgoing() {
        try {
            return new InterruptibleSocketChannel();
        } catch (ChannelException e) {
            return new UnopenedChannel(e);
        }
    }

    /**
     * Returns the longest time for which an accepted connection may have waited because accept
     * failed, in milliseconds; 0 for other channels.
     */
    public static double acceptDelayMs(Channel channel) {
        return channel instanceof InterruptibleSocketChannel accepted
                ? accepted.acceptDelayMs()
                : 0;
    }

    /** Reads what has arrived on a channel, without waiting. Called on the channel's event loop. */
    public static void readNow(Channel channel) {
        if (channel instanceof InterruptibleSocketChannel socket && socket.isActive()) {
            socket.unsafe().read();
        }
    }
}
