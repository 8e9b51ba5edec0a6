package reeldeal.http;

import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import reeldeal.sockets.SocketChannels;

/**
 * Reads one channel in turns, so that a client that sends much at once does not take the event loop
 * from others, and knows whether the client's input has been read to its end. Used on the channel's
 * event loop.
 */
final class ChannelReader {
    /** Time for which a channel of which much was read rests, ms. */
    private static final int REST_MS = 1;

    private final LongSupplier clock;
    private final LongSupplier lag;
    private final Runnable onClosed;
    private final InputBacklog backlog = new InputBacklog();
    private ChannelHandlerContext context;
    private boolean wanted = true;
    private boolean resting;
    private boolean readScheduled;
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param clock present time, ms
     * @param lag the longest time for which input that is read now may have waited, ms
     * @param onClosed runs if a read finds that the channel was closed
     */
    ChannelReader(LongSupplier clock, LongSupplier lag, Runnable onClosed) {
        this.clock = clock;
        this.lag = lag;
        this.onClosed = onClosed;
    }

    void begin(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sets whether input is to be read; if not, nothing is known of it from now on. */
    void setWanted(boolean isWanted) {
        wanted = isWanted;
        if (!wanted) {
            backlog.fallBehind(clock.getAsLong());
        }
        apply();
    }

    private void apply() {
        context.channel().config().setAutoRead(wanted && !resting);
    }

    /** Records that bytes were read; begins to rest if they were many. */
    void addRead(int bytes) {
        backlog.addRead(bytes);
        if (backlog.isTurnOver() && !ended) {
            resting = true;
            apply();
        }
    }

    /** Ends a turn of reading. If input may be left, it is read once others had their turn. */
    void endTurn() {
        backlog.endTurn(clock.getAsLong() - lag.getAsLong());
        if (backlog.isBehind() && !ended) {
            scheduleRead();
        }
    }

    /** Reads soon even if the system reports no input, which shows that none is left. */
    void scheduleRead() {
        if (!readScheduled) {
            readScheduled = true;
            context.executor().schedule(this::readOn, REST_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void readOn() {
        readScheduled = false;
        if (!ended) {
            resting = false;
            apply();
            readIfWanted();
        }
    }

    private void readIfWanted() {
        if (wanted && context.channel().isActive()) {
            SocketChannels.readNow(context.channel());
            if (!context.channel().isActive()) {
                onClosed.run();
            }
        }
    }

    /** Reads what has arrived, at once unless it is much. */
    void readToEnd() {
        do {
            resting = false;
            apply();
            readIfWanted();
        } while (wanted && !ended && backlog.isBehind() && !backlog.isFarBehind());
    }

    /** Ends the reading in turns: from now on input is read and discarded, or left unread. */
    void end(boolean discards) {
        ended = true;
        wanted = discards;
        resting = false;
        apply();
    }

    /** Whether the client may have left so long ago that nothing more may be sent for it. */
    boolean isOutdated() {
        return backlog.isOutdated(clock.getAsLong());
    }

    /** Whether the client sends ahead faster than it can be read. */
    boolean isExcessive() {
        return isOutdated() && backlog.isFarBehind();
    }
}
