package reeldeal.sockets;

import io.netty.channel.Channel;

/** Makes the channels of outgoing TCP connections. Stateless; any thread may call it. */
public final class SocketChannels {
    private SocketChannels() {}

    /** Returns a channel that is not connected. */
    public static Channel newOutgoing() {
        return new InterruptibleSocketChannel();
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
}
