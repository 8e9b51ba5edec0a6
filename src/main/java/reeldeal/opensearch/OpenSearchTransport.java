package reeldeal.opensearch;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
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
import reeldeal.http.HttpClient;
import reeldeal.searchers.SearcherTransport;

/**
 * The transport to searchers that serve OpenSearch's format. Each call has a connection of its own:
 * a response does not show to which call it belongs, so that on a connection with several calls a
 * repeated response would be taken as the response to the next call. The format cannot abandon one
 * shard request of a written call: an abandoned one stays in flight until the call is answered, or
 * none of its others is needed and its connection is closed. Runs on the broker's event loop.
 */
public final class OpenSearchTransport implements SearcherTransport {
    private static final int MAX_CONNECTIONS_PER_SEARCHER = 8;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    /**
     * Time after the latest deadline of a call's shard requests at which the call times out; also
     * the timeout of a probe, ms.
     */
    private static final double GRACE_MS = 1_000;

    private static final double[] NO_LOAD = new double[0];

    private final EventLoopGroup group;
    private final int connectTimeoutMs;
    private final DoubleSupplier clock;
    private final Consumer<Event> events;
    private final Map<String, List<Connection>> connectionsByAddress = new HashMap<>();
    private SendGuard guard = send -> true;

    /**
     * Creates a transport without connections; they are opened when calls need them.
     *
     * @param clock the broker's clock, ms
     * @param events takes the end of each attempt and the result of each probe
     */
    public OpenSearchTransport(
            EventLoopGroup group,
            int connectTimeoutMs,
            DoubleSupplier clock,
            Consumer<Event> events) {
        this.group = group;
        this.connectTimeoutMs = connectTimeoutMs;
        this.clock = clock;
        this.events = events;
    }

    /** A shard request of a call that has not ended. */
    private static final class PendingSend {
        final Effect.Send send;
        boolean withdrawn; // its request has ended
        boolean abandoned; // the broker no longer waits for its answer
        boolean timedOut;

        PendingSend(Effect.Send send) {
            this.send = send;
        }

        boolean isAttempt(long shardRequestId, int attempt) {
            return send.shardRequestId() == shardRequestId && send.attempt() == attempt;
        }

        boolean isNeeded() {
            return !withdrawn && !abandoned;
        }
    }

    /** The connection of one call or probe, and the shard requests of the call. */
    private final class Connection {
        final HttpClient client;
        final String address;

        /** The shard requests of the call that have not ended, in the order of the call. */
        List<PendingSend> pending = new ArrayList<>();

        boolean bodyWritten; // whether the call's body was handed to the socket

        Connection(String address) {
            this.address = address;
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            InetSocketAddress socketAddress =
                    new InetSocketAddress(address.substring(0, colon), port);
            client = new HttpClient(group, socketAddress, connectTimeoutMs);
        }

        /** Returns the pending shard request with this attempt, or null. */
        PendingSend find(long shardRequestId, int attempt) {
            for (PendingSend candidate : pending) {
                if (candidate.isAttempt(shardRequestId, attempt)) {
                    return candidate;
                }
            }
            return null;
        }

        boolean isAbandoned() {
            return pending.stream().noneMatch(PendingSend::isNeeded)
                    && pending.stream().anyMatch(pendingSend -> pendingSend.abandoned);
        }
    }

    // ---- calls ----

    @Override
    public void call(Effect.Call call) {
        Connection connection = open(call.searcher());
        if (connection == null) {
            AttemptEnd end =
                    new AttemptEnd.Broken(
                            Reach.UNSENT, "no connection available: connection limit reached");
            call.sends().forEach(send -> reportEnd(send, end));
            return;
        }
        double now = clock.getAsDouble();
        double longestMs = 0;
        for (Effect.Send send : call.sends()) {
            connection.pending.add(new PendingSend(send));
            longestMs = Math.max(longestMs, send.remainingMs(now));
        }
        connection.client.call(
                "POST",
                "/" + OpenSearchCodec.INDEX + "/_msearch",
                Map.of("Content-Type", "application/x-ndjson"),
                () -> body(connection),
                (long) (longestMs + GRACE_MS),
                result -> onCallEnd(connection, result));
    }

    /**
     * Encodes the shard requests of a call that may still be written once its connection is open,
     * and ends the others as fenced. Returns null if none are left.
     */
    private byte[] body(Connection connection) {
        double now = clock.getAsDouble();
        List<Effect.Send> sends = new ArrayList<>();
        for (PendingSend pendingSend : List.copyOf(connection.pending)) {
            Effect.Send send = pendingSend.send;
            if (send.mayBeWritten(now) && guard.maySend(send)) {
                sends.add(send);
            } else {
                connection.pending.remove(pendingSend);
                reportEnd(send, new AttemptEnd.NeverSent());
            }
        }
        connection.bodyWritten = true;
        return sends.isEmpty() ? null : OpenSearchCodec.encodeCall(sends, now);
    }

    private void onCallEnd(Connection connection, HttpClient.Result result) {
        List<PendingSend> pending = connection.pending;
        connection.pending = new ArrayList<>();
        release(connection);
        CallEnd callEnd = toCallEnd(result, pending.size());
        for (int i = 0; i < pending.size(); i++) {
            PendingSend ended = pending.get(i);
            boolean isAbandoned = !ended.isNeeded() && result instanceof HttpClient.NoResponse;
            reportEnd(
                    ended.send,
                    isAbandoned
                            ? new AttemptEnd.Abandoned(reach(result), ended.timedOut)
                            : callEnd.forIndex(i));
        }
    }

    private static Reach reach(HttpClient.Result result) {
        boolean unsent =
                result instanceof HttpClient.NoResponse noResponse && !noResponse.written();
        return unsent ? Reach.UNSENT : Reach.SENT;
    }

    /**
     * The end of a call.
     *
     * @param sharedEnd the end that all shard requests of the call share, or null if each has its
     *     own
     * @param individualEnds the end of each shard request, in the order of the call
     */
    private record CallEnd(AttemptEnd sharedEnd, List<AttemptEnd> individualEnds) {
        static CallEnd ofAll(AttemptEnd sharedEnd) {
            return new CallEnd(sharedEnd, List.of());
        }

        AttemptEnd forIndex(int index) {
            return sharedEnd == null ? individualEnds.get(index) : sharedEnd;
        }
    }

    private static CallEnd toCallEnd(HttpClient.Result result, int shardRequests) {
        if (result instanceof HttpClient.NoResponse noResponse) {
            return CallEnd.ofAll(new AttemptEnd.Broken(reach(result), noResponse.reason()));
        }
        HttpClient.Responded responded = (HttpClient.Responded) result;
        int status = responded.message().status();
        if (status != OK) {
            boolean rejected = status == TOO_MANY_REQUESTS;
            return CallEnd.ofAll(rejected ? new AttemptEnd.Rejected() : new AttemptEnd.Failed());
        }
        try {
            List<AttemptEnd> individualEnds =
                    OpenSearchCodec.decodeResponses(responded.message().body());
            return individualEnds.size() == shardRequests
                    ? new CallEnd(null, individualEnds)
                    : CallEnd.ofAll(
                            new AttemptEnd.Broken(
                                    Reach.SENT,
                                    "number of responses differs from the number of searches"));
        } catch (IOException e) {
            return CallEnd.ofAll(new AttemptEnd.Broken(Reach.SENT, "malformed _msearch response"));
        }
    }

    @Override
    public void setGuard(SendGuard newGuard) {
        guard = newGuard;
    }

    @Override
    public void abandon(Effect.Abandon abandon) {
        for (Connection connection : connections()) {
            PendingSend abandoned = connection.find(abandon.shardRequestId(), abandon.attempt());
            if (abandoned != null && !abandoned.abandoned) {
                abandoned.abandoned = true;
                abandoned.timedOut = abandon.timedOut();
                closeIfAbandoned(connection);
            }
        }
    }

    /**
     * Ends a call of which nothing is needed, or of which something is abandoned before it was
     * completely written: then its other shard requests end as unsent.
     */
    private static void closeIfAbandoned(Connection connection) {
        if (!connection.client.isWritten() || connection.isAbandoned()) {
            connection.client.close();
        }
    }

    @Override
    public void withdraw(Effect.Withdraw withdraw) {
        for (Connection connection : connections()) {
            PendingSend withdrawn = connection.find(withdraw.shardRequestId(), withdraw.attempt());
            if (withdrawn == null) {
                continue;
            }
            if (connection.bodyWritten) {
                withdrawn.withdrawn = true;
                if (connection.isAbandoned()) {
                    connection.client.close();
                }
            } else {
                connection.pending.remove(withdrawn);
                reportEnd(withdrawn.send, new AttemptEnd.NeverSent());
            }
        }
    }

    @Override
    public void stopSending(Searcher searcher) {
        for (Connection connection :
                List.copyOf(connectionsByAddress.getOrDefault(searcher.address(), List.of()))) {
            if (!connection.client.isFree() && !connection.client.isWritten()) {
                connection.client.close();
            }
        }
    }

    /** OpenSearch's format has no load report: a probe only tests whether the searcher responds. */
    @Override
    public void probe(Effect.Probe probe) {
        String name = probe.searcher().name();
        Connection connection = open(probe.searcher());
        double startedAt = clock.getAsDouble();
        if (connection == null) {
            events.accept(new Event.Probed(name, Outcome.CONNECT_FAILED, 0, NO_LOAD));
            return;
        }
        connection.client.call(
                "GET",
                "/",
                Map.of(),
                () -> new byte[0],
                (long) GRACE_MS,
                result -> {
                    release(connection);
                    double elapsedMs = clock.getAsDouble() - startedAt;
                    events.accept(new Event.Probed(name, probeOutcome(result), elapsedMs, NO_LOAD));
                });
    }

    private static Outcome probeOutcome(HttpClient.Result result) {
        if (!(result instanceof HttpClient.Responded responded)) {
            return Outcome.TIMEOUT;
        }
        return responded.message().status() == OK ? Outcome.OK : Outcome.ERROR;
    }

    // ---- connections ----

    /**
     * Returns a copy of all connections, because closing a connection may change the original list.
     */
    private List<Connection> connections() {
        List<Connection> all = new ArrayList<>();
        connectionsByAddress.values().forEach(all::addAll);
        return all;
    }

    /**
     * Returns a new connection to a searcher, which is opened by its call, or null if the
     * searcher's connection limit is reached.
     */
    private Connection open(Searcher searcher) {
        List<Connection> connections =
                connectionsByAddress.computeIfAbsent(searcher.address(), key -> new ArrayList<>());
        if (connections.size() >= MAX_CONNECTIONS_PER_SEARCHER) {
            return null;
        }
        Connection opened = new Connection(searcher.address());
        connections.add(opened);
        return opened;
    }

    /** Closes the connection of a call that has ended. */
    private void release(Connection connection) {
        connection.client.close();
        List<Connection> connections = connectionsByAddress.get(connection.address);
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                connectionsByAddress.remove(connection.address);
            }
        }
    }

    /** Does nothing: no connection stays open after its call. */
    @Override
    public void sweep() {}

    @Override
    public void close() {
        connections().forEach(connection -> connection.client.close());
        connectionsByAddress.clear();
    }

    private void reportEnd(Effect.Send send, AttemptEnd end) {
        events.accept(new Event.AttemptEnded(send.shardRequestId(), send.attempt(), end, NO_LOAD));
    }
}
