package reeldeal.searchers;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import reeldeal.core.AttemptEnd;
import reeldeal.core.AttemptEnd.Reach;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.core.SendGuard;
import reeldeal.decision.DecisionModule.Outcome;

/**
 * Pools the connections to searchers that use the frame protocol. A connection is opened when it is
 * needed, carries several shard requests up to a limit, and is closed before the searcher would
 * reset it as idle. Every attempt passed to the pool ends in exactly one {@link
 * Event.AttemptEnded}, which reports how far the attempt came.
 *
 * <p>Not thread-safe: all methods, and all callbacks of the connections, run on the thread of the
 * one event loop in the group.
 */
public final class ConnectionPool implements SearcherTransport {
    private static final int MAX_CONNECTIONS_PER_SEARCHER = 8;

    /**
     * Limits of the pool.
     *
     * @param shardRequestsPerConnection most shard requests in flight on one connection
     * @param idleMs idle time after which searchers reset a connection, in milliseconds
     * @param connectTimeoutMs time to establish a connection, in milliseconds
     * @param connections most connections to all searchers together
     */
    public record Limits(
            int shardRequestsPerConnection, double idleMs, int connectTimeoutMs, int connections) {}

    /**
     * Identifies an attempt. {@code equals} and {@code hashCode} are written out because the
     * generated ones of a record are linked at their first use, which would delay the first query.
     */
    private record AttemptKey(long shardRequestId, int attempt) {
        @Override
        public int hashCode() {
            return Long.hashCode(shardRequestId) * 31 + attempt;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof AttemptKey key
                    && key.shardRequestId == shardRequestId
                    && key.attempt == attempt;
        }
    }

    private final EventLoopGroup group;
    private final Limits limits;
    private final List<String> loadColumns;
    private final DoubleSupplier clock;
    private final Consumer<Event> events;
    private final Consumer<String> log;
    private final Map<String, List<SearcherConnection>> connectionsByAddress = new HashMap<>();
    private final Map<AttemptKey, SearcherConnection> connectionsByAttempt = new HashMap<>();
    private final ConnectionListener listener = new ConnectionListener();
    private int openConnections;
    private SendGuard guard = send -> true;
    private Consumer<SearcherConnectionClosed> closeListener = closed -> {};

    /**
     * Creates a pool without connections.
     *
     * @param group a group of one event loop, which runs the pool
     * @param limits limits of the pool
     * @param loadColumns names of the load report's values, in the order in which events carry them
     * @param clock the broker's monotonic clock, in milliseconds
     * @param events receives the ends of attempts and of health checks
     * @param log receives one line for each violation of the protocol
     */
    public ConnectionPool(
            EventLoopGroup group,
            Limits limits,
            List<String> loadColumns,
            DoubleSupplier clock,
            Consumer<Event> events,
            Consumer<String> log) {
        this.group = group;
        this.limits = limits;
        this.loadColumns = loadColumns;
        this.clock = clock;
        this.events = events;
        this.log = log;
    }

    /** Sets the recipient of the end of each connection, called on the event loop. */
    public void setCloseListener(Consumer<SearcherConnectionClosed> recipient) {
        closeListener = recipient;
    }

    @Override
    public void call(Effect.Call call) {
        SearcherConnection connection = acquire(call.searcher(), call.sends());
        if (connection == null) {
            for (Effect.Send send : call.sends()) {
                listener.attemptEnded(
                        send,
                        new AttemptEnd.Broken(
                                Reach.UNSENT, "no connection available: connection limit reached"),
                        LoadReport.NONE);
            }
            return;
        }
        for (Effect.Send send : call.sends()) {
            connectionsByAttempt.put(
                    new AttemptKey(send.shardRequestId(), send.attempt()), connection);
        }
        connection.send(call.sends());
    }

    @Override
    public void abandon(Effect.Abandon abandon) {
        SearcherConnection connection =
                connectionsByAttempt.get(
                        new AttemptKey(abandon.shardRequestId(), abandon.attempt()));
        if (connection != null) {
            connection.abandon(abandon);
        }
    }

    @Override
    public void withdraw(Effect.Withdraw withdraw) {
        SearcherConnection connection =
                connectionsByAttempt.get(
                        new AttemptKey(withdraw.shardRequestId(), withdraw.attempt()));
        if (connection != null) {
            connection.withdraw(withdraw);
        }
    }

    @Override
    public void stopSending(Searcher searcher) {
        for (SearcherConnection connection : List.copyOf(connectionsTo(searcher))) {
            connection.stopSending();
        }
    }

    @Override
    public void probe(Effect.Probe probe) {
        SearcherConnection connection = acquire(probe.searcher(), List.of());
        if (connection == null) {
            events.accept(
                    new Event.Probed(
                            probe.searcher().name(),
                            Outcome.CONNECT_FAILED,
                            0,
                            LoadReport.NO_VALUES));
        } else {
            connection.startHealthCheck(probe.searcher());
        }
    }

    @Override
    public void setGuard(SendGuard newGuard) {
        guard = newGuard;
    }

    /** Closes connections that are idle or have a health check without an answer in time. */
    @Override
    public void sweep() {
        for (List<SearcherConnection> connections : List.copyOf(connectionsByAddress.values())) {
            for (SearcherConnection connection : List.copyOf(connections)) {
                connection.sweep();
            }
        }
    }

    @Override
    public void close() {
        for (List<SearcherConnection> connections : List.copyOf(connectionsByAddress.values())) {
            List.copyOf(connections).forEach(SearcherConnection::closeChannel);
        }
    }

    private List<SearcherConnection> connectionsTo(Searcher searcher) {
        return connectionsByAddress.getOrDefault(searcher.address(), List.of());
    }

    /**
     * Returns a connection that can carry these shard requests, and opens one if there is none.
     * Returns null if the limits allow no further connection.
     */
    private SearcherConnection acquire(Searcher searcher, List<Effect.Send> sends) {
        List<SearcherConnection> connections = connectionsTo(searcher);
        SearcherConnection best = null;
        for (SearcherConnection connection : connections) {
            // Established connections are filled first, so that few stay open.
            if (connection.accepts(sends)
                    && (best == null || (connection.isEstablished() && !best.isEstablished()))) {
                best = connection;
            }
        }
        if (best != null) {
            return best;
        }
        if (connections.size() >= MAX_CONNECTIONS_PER_SEARCHER
                || openConnections >= limits.connections()) {
            return null;
        }
        return open(searcher.address());
    }

    private SearcherConnection open(String address) {
        int colon = address.lastIndexOf(':');
        SearcherConnection connection =
                new SearcherConnection(address, limits, loadColumns, clock, events, log, listener);
        connectionsByAddress.computeIfAbsent(address, key -> new ArrayList<>()).add(connection);
        openConnections++;
        connection.connect(
                group,
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))));
        return connection;
    }

    /**
     * Updates the pool's maps when attempts end or connections close, and reports the ends of
     * attempts.
     */
    private final class ConnectionListener implements SearcherConnection.Listener {
        @Override
        public boolean maySend(Effect.Send send) {
            return guard.maySend(send);
        }

        @Override
        public void sent(Effect.Send send, double encodedAtMs) {
            guard.sent(send, encodedAtMs);
        }

        @Override
        public void attemptEnded(Effect.Send send, AttemptEnd end, String loadReport) {
            connectionsByAttempt.remove(new AttemptKey(send.shardRequestId(), send.attempt()));
            events.accept(
                    new Event.AttemptEnded(
                            send.shardRequestId(),
                            send.attempt(),
                            end,
                            LoadReport.parse(loadReport, loadColumns)));
        }

        @Override
        public void connectionClosed(
                SearcherConnection connection, SearcherConnectionClosed closed) {
            closeListener.accept(closed);
            openConnections--;
            List<SearcherConnection> connections = connectionsByAddress.get(closed.address());
            connections.remove(connection);
            if (connections.isEmpty()) {
                connectionsByAddress.remove(closed.address());
            }
        }
    }
}
