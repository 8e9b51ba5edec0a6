package reeldeal.searchers;

import java.util.Set;
import reeldeal.core.Effect;
import reeldeal.core.Searcher;
import reeldeal.core.SendGuard;

/**
 * Selects one of two transports by the searcher's kind. Like both transports, it is used on the
 * broker's event loop only.
 */
public final class TransportByKind implements SearcherTransport {
    private final SearcherTransport frames;
    private final SearcherTransport other;
    private final Set<String> otherKinds;

    /**
     * Creates a transport over two others.
     *
     * @param frames the transport for all other kinds of searchers
     * @param other the transport for searchers of {@code otherKinds}
     * @param otherKinds kinds of searchers that do not use the frame protocol
     */
    public TransportByKind(
            SearcherTransport frames, SearcherTransport other, Set<String> otherKinds) {
        this.frames = frames;
        this.other = other;
        this.otherKinds = otherKinds;
    }

    private SearcherTransport transportOf(Searcher searcher) {
        return otherKinds.contains(searcher.kind()) ? other : frames;
    }

    @Override
    public void call(Effect.Call call) {
        transportOf(call.searcher()).call(call);
    }

    @Override
    public void abandon(Effect.Abandon abandon) {
        frames.abandon(abandon);
        other.abandon(abandon);
    }

    @Override
    public void withdraw(Effect.Withdraw withdraw) {
        frames.withdraw(withdraw);
        other.withdraw(withdraw);
    }

    @Override
    public void stopSending(Searcher searcher) {
        transportOf(searcher).stopSending(searcher);
    }

    @Override
    public void probe(Effect.Probe probe) {
        transportOf(probe.searcher()).probe(probe);
    }

    @Override
    public void setGuard(SendGuard guard) {
        frames.setGuard(guard);
        other.setGuard(guard);
    }

    @Override
    public void sweep() {
        frames.sweep();
        other.sweep();
    }

    @Override
    public void close() {
        frames.close();
        other.close();
    }
}
