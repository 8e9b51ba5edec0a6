package reeldeal.sockets;

import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.SocketAddress;

/** Stands for a connection for which the system had no socket: it fails to connect and closes. */
final class UnopenedChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false);

    private final ChannelException cause;
    private final ChannelConfig config = new AnyOptionConfig();
    private boolean open = true;

    UnopenedChannel(ChannelException cause) {
        super(null);
        this.cause = cause;
    }

    /** Accepts all options, as there is no socket to set them on. */
    private final class AnyOptionConfig extends DefaultChannelConfig {
        AnyOptionConfig() {
            super(UnopenedChannel.this);
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            return true;
        }
    }

    private final class FailingUnsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            Throwable reason = cause.getCause() == null ? cause : cause.getCause();
            ConnectException failure = new ConnectException("no socket: " + reason.getMessage());
            failure.initCause(cause);
            promise.tryFailure(failure);
            close(voidPromise());
        }
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new FailingUnsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return null;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
    }

    @Override
    protected void doBind(SocketAddress localAddress) {
        throw cause;
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        open = false;
    }

    /** Does nothing: nothing arrives on a channel without a socket. */
    @Override
    protected void doBeginRead() {}

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) {
        throw cause;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return false;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
