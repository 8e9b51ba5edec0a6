package reeldeal.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import reeldeal.config.BrokerConfig;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Reducer;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.http.Exchange;
import reeldeal.http.HttpParser;
import reeldeal.http.HttpWriter;
import reeldeal.platform.PlatformFront;

/**
 * Runs queries through the broker's code before the broker reports that it is ready: through the
 * HTTP parser, the front, a separate reducer and the codecs, without a socket and without keeping
 * any result. Code that runs for the first time is about a hundred times slower, and a broker with
 * only a share of a core soon uses it up. Without the warm-up, clients would see that delay in the
 * first second after a start.
 */
final class JitWarmUp implements RequestSubmitter, Exchange {
    static final int QUERIES = 14; // more queries delay the start by more than they save clients
    private static final int MAX_SHARD_REQUESTS = 12;

    /** The simulated time between ticks; an attempt is answered one tick after it is sent. */
    private static final double TICK_MS = 30;

    private final BrokerConfig config;
    private final PlatformFront front;
    private final Reducer reducer;
    private final Map<Long, Consumer<Reply>> replies = new HashMap<>();
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final HttpParser parser = new HttpParser(false);
    private double now;
    private long nextRequestId = 1;
    private int servedCount;

    private JitWarmUp(BrokerConfig config, double now) {
        this.config = config;
        this.now = now;
        this.front = new PlatformFront(this, config.settings(), config.classes(), config.shards());
        this.reducer =
                new Reducer(now, config.settings(), config.zones(), config.kinds(), Set.of());
    }

    /** Runs the queries and returns how many of them were served. */
    static int run(BrokerConfig config, double now) {
        JitWarmUp warmUp = new JitWarmUp(config, now);
        warmUp.pendingEvents.add(
                new Event.EndpointsChanged(EndpointListKind.CACHED, warmUp.searchers()));
        warmUp.tick();
        for (int queryNumber = 0; queryNumber < QUERIES; queryNumber++) {
            warmUp.runQuery(queryNumber);
        }
        return warmUp.servedCount;
    }

    /**
     * Returns the configured searchers as ready and without a start time, so that none is in slow
     * start, and made-up ones until there are as many as cells.
     */
    private List<Searcher> searchers() {
        List<Searcher> searchers = new ArrayList<>();
        for (Searcher known : config.knownSearchers()) {
            searchers.add(
                    new Searcher(
                            known.name(),
                            known.address(),
                            known.zone(),
                            known.kind(),
                            known.cell(),
                            0,
                            known.size(),
                            EndpointState.READY));
        }
        for (int cell = 0; searchers.size() < config.settings().layout().cells(); cell++) {
            searchers.add(
                    new Searcher(
                            "warm-up-" + cell,
                            "127.0.0.1:1",
                            "",
                            "",
                            cell,
                            0,
                            1,
                            EndpointState.READY));
        }
        return searchers;
    }

    private void runQuery(int queryNumber) {
        int classIndex = queryNumber % config.classes().size();
        int shards = Math.max(1, config.shards()); // shards() is 0 if not limited
        int shardRequests = Math.min(MAX_SHARD_REQUESTS, shards);
        StringBuilder body = new StringBuilder("{\"shards\":[");
        for (int i = 0; i < shardRequests; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"shard\":")
                    .append((queryNumber + i) % shards)
                    .append(",\"weight\":")
                    .append(1.0 / shardRequests)
                    .append(",\"cost\":9000}");
        }
        body.append("],\"q\":\"c41e77d0\"}");
        String head =
                "POST /"
                        + config.classes().get(classIndex)
                        + " HTTP/1.1\r\nHost: warmUp\r\nX-Correlation-Id: warm-up-"
                        + queryNumber
                        + "\r\nX-Time-Left-Ms: 9000\r\nIdempotency-Key: warm-up-"
                        + queryNumber
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        byte[] bytes = (head + body).getBytes(StandardCharsets.US_ASCII);
        parser.feed(bytes, 0, bytes.length);
        if (parser.next() instanceof HttpParser.Complete complete) {
            front.accept(complete.message(), this);
        }
        for (int ticks = 0; ticks < 2 * MAX_SHARD_REQUESTS && !pendingEvents.isEmpty(); ticks++) {
            tick();
        }
    }

    private void tick() {
        List<Event> events = List.copyOf(pendingEvents);
        pendingEvents.clear();
        for (Effect effect : reducer.tick(now, events)) {
            if (effect instanceof Effect.Call call) {
                pendingEvents.addAll(reeldeal.searchers.CodecWarmUp.roundTrip(call, now));
            } else if (effect instanceof Effect.ScheduleTimer timer && timer.delayMs() <= 0) {
                pendingEvents.add(timer.event());
            } else if (effect instanceof Effect.Answer answer
                    && replies.containsKey(answer.requestId())) {
                replies.remove(answer.requestId()).accept(answer.reply());
            }
        }
        now += TICK_MS;
    }

    // ---- request submitter and exchange used by the front ----

    @Override
    public double now() {
        return now;
    }

    @Override
    public long nextRequestId() {
        return nextRequestId++;
    }

    @Override
    public void submit(Request request, Consumer<Reply> reply) {
        replies.put(request.id(), reply);
        pendingEvents.add(new Event.Arrived(request));
    }

    @Override
    public void clientDisconnected(long request) {}

    @Override
    public void schedule(double delayMs, Runnable task) {}

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        HttpWriter.response(status, headers, body, false).release();
        servedCount += status == 200 ? 1 : 0;
    }

    @Override
    public void onDisconnect(Runnable onClose) {}
}
