package reeldeal.server;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reeldeal.config.BrokerConfig;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Reducer;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestGuard;
import reeldeal.core.RequestSubmitter;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.fleet.rollout.RolloutHealth;
import reeldeal.http.HttpServer;
import reeldeal.opensearch.OpenSearchFront;
import reeldeal.opensearch.OpenSearchTransport;
import reeldeal.platform.PlatformFront;
import reeldeal.searchers.ConnectionPool;
import reeldeal.searchers.SearcherTransport;
import reeldeal.searchers.TransportByKind;

/**
 * Runs a broker on network sockets. Events are collected until the next tick of the reducer, and
 * the effects that the tick returns are executed in order. Everything runs on one event loop
 * thread, except for methods whose documentation states another thread.
 */
public final class BrokerServer implements RequestSubmitter {
    /** The maximum of bytes buffered for messages that are still being received, per front. */
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private static final int MAINTENANCE_INTERVAL_MS = 1_000;
    private static final boolean TRACING = Boolean.getBoolean("reeldeal.trace");

    /**
     * The fraction of the shortest latency objective within which a connection to a searcher must
     * be established.
     */
    private static final double CONNECT_TIMEOUT_FRACTION = 0.25;

    private final BrokerConfig config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final GracefulShutdown shutdown;
    private final RequestGuard guard;
    private final MonotonicClock clock = new MonotonicClock();
    private final Reducer reducer;
    private final ReducerDriver driver;
    private final SearcherTransport searchers;
    private final Consumer<Event.EndpointsChanged> discoveryConsumer;
    private final DiscoverySwitch discovery;
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<Long, Consumer<Reply>> replies = new HashMap<>();
    private long nextRequestId = 1;
    private boolean ready;
    private volatile boolean drainedByFleet;
    private boolean suspended;
    private BrokerMetrics metrics;
    private RequestSubmitter submitter = this;
    private volatile Map<String, Event.ImportedServerStats> sharedStats = Map.of();
    private volatile Set<String> ejected = Set.of();

    /**
     * Creates a broker that takes its endpoint list from discovery, or has no discovery if the
     * configuration names none.
     */
    public BrokerServer(EventLoopGroup group, BrokerConfig config) {
        this(group, config, null);
    }

    /**
     * Creates a broker whose endpoint list is built elsewhere. Lists from discovery are passed to
     * {@code discoveryConsumer}; if it is null, the broker uses them itself.
     */
    BrokerServer(
            EventLoopGroup group,
            BrokerConfig config,
            Consumer<Event.EndpointsChanged> discoveryConsumer) {
        this.discoveryConsumer = discoveryConsumer;
        this.group = group;
        this.loop = group.next();
        this.config = config;
        double longestDeadlineMs =
                config.settings().classes().stream()
                        .mapToDouble(queryClass -> queryClass.deadlineMs())
                        .max()
                        .orElseThrow();
        this.shutdown = new GracefulShutdown(ShutdownDeadlines.of(longestDeadlineMs), clock::now);
        this.guard = new RequestGuard(clock::now, BrokerServer::log);
        Set<String> openSearchKinds =
                config.search() == null ? Set.of() : config.search().searcherKinds();
        this.reducer =
                new Reducer(
                        clock.now(),
                        config.settings(),
                        config.zones(),
                        config.kinds(),
                        openSearchKinds);
        this.driver =
                new ReducerDriver(
                        loop, reducer, config.settings().tickMs(), clock::now, this::execute);
        ConnectionPool frameTransport =
                new ConnectionPool(
                        group,
                        new ConnectionPool.Limits(
                                config.shardRequestsPerConnection(),
                                config.idleMs(),
                                connectTimeoutMs(config),
                                config.maxSockets() / 4),
                        config.settings().loadColumns(),
                        clock::now,
                        this::enqueue,
                        BrokerServer::log);
        frameTransport.setCloseListener(this::trace);
        this.searchers =
                config.search() == null
                        ? frameTransport
                        : new TransportByKind(
                                frameTransport,
                                new OpenSearchTransport(
                                        group,
                                        config.connectTimeoutMs(),
                                        clock::now,
                                        this::enqueue),
                                openSearchKinds);
        guard.setInputReader(() -> servers.forEach(HttpServer::readDelayedInput));
        searchers.setGuard(guard);
        this.discovery =
                new DiscoverySwitch(
                        group,
                        config.discovery(),
                        config.settings().seed(),
                        this::onDiscoveryEvent,
                        BrokerServer::log);
    }

    /** Starts listening and serving. Throws if a listen address cannot be bound. */
    public void start() throws Exception {
        PlatformFront front =
                new PlatformFront(submitter, config.settings(), config.classes(), config.shards());
        HttpServer platform =
                new HttpServer(config.maxSockets() / 2, MAX_BUFFERED_BYTES, front::accept);
        platform.setCloseListener(this::trace);
        servers.add(platform);
        loop.submit(
                        () -> {
                            if (!config.dnsDiscovery()) {
                                // If DNS zones provide the searchers, the configured list must not
                                // override theirs.
                                enqueue(
                                        new Event.EndpointsChanged(
                                                EndpointListKind.CACHED, config.knownSearchers()));
                            }
                            discovery.start();
                            loop.scheduleWithFixedDelay(
                                    searchers::sweep,
                                    MAINTENANCE_INTERVAL_MS,
                                    MAINTENANCE_INTERVAL_MS,
                                    TimeUnit.MILLISECONDS);
                        })
                .sync();
        loop.submit(() -> JitWarmUp.run(config, clock.now())).sync();
        if (shutdown.isDraining()) {
            return; // told to end before it served
        }
        StartupRetry.call("listening", () -> platform.listen(group, config.listen()).sync());
        if (config.search() != null) {
            HttpServer search =
                    new HttpServer(
                            config.maxSockets() / 8,
                            MAX_BUFFERED_BYTES,
                            new OpenSearchFront(
                                            submitter,
                                            config.settings(),
                                            config.search(),
                                            config.name())
                                    ::accept);
            search.setCloseListener(this::trace);
            servers.add(search);
            StartupRetry.call(
                    "search front: listening",
                    () -> search.listen(group, config.search().listen()).sync());
            log("search front on " + search.address());
        }
        ready = true;
        log("serving as " + config.name() + " on " + platform.address());
    }

    /**
     * Returns the connect timeout to searchers: the configured one, limited so that after a timeout
     * most of the shortest latency objective is left for another replica. A shard request on a
     * connection that was not established has not run, so sending it to another replica repeats no
     * work.
     */
    static int connectTimeoutMs(BrokerConfig config) {
        double shortestObjectiveMs =
                config.settings().classes().stream()
                        .mapToDouble(queryClass -> queryClass.latencyObjectiveMs())
                        .min()
                        .orElseThrow();
        return (int)
                Math.max(
                        1,
                        Math.min(
                                config.connectTimeoutMs(),
                                shortestObjectiveMs * CONNECT_TIMEOUT_FRACTION));
    }

    private void onDiscoveryEvent(Event event) {
        if (discoveryConsumer != null && event instanceof Event.EndpointsChanged changed) {
            discoveryConsumer.accept(changed);
        } else {
            enqueue(event);
        }
    }

    /**
     * Switches to the discovery address of a new configuration. All other settings of a
     * configuration take effect only at a restart.
     */
    void reload(BrokerConfig newConfig) {
        loop.execute(() -> discovery.switchTo(newConfig.discovery()));
    }

    /**
     * Notes that the platform has told the process to end. The time limits of {@link #drain} count
     * from this call; until then the broker serves as before.
     *
     * @return the most milliseconds that may pass until {@code drain} must be called
     */
    long beginShutdown() {
        shutdown.begin();
        return shutdown.maxDelayMs();
    }

    /**
     * Shuts down gracefully. Requests that arrive late get a shorter deadline than their client
     * allows, so that every request is answered before the platform may kill the broker. Returns
     * once no request, event or connection is left, or the last shutdown deadline is over.
     */
    public void drain() throws InterruptedException {
        shutdown.drain(loop, servers, this::isIdle);
        loop.submit(
                        () -> {
                            discovery.stop();
                            searchers.close();
                            guard.checkNothingOpen();
                        })
                .sync();
        log("stopped");
    }

    /**
     * Makes all fronts submit to {@code recordingSubmitter}, and tests {@code maySend} before each
     * attempt is written. Must be called before the broker serves; both arguments are used on the
     * broker's event loop.
     */
    void recordRequestsWith(RequestSubmitter recordingSubmitter, Predicate<Effect.Send> maySend) {
        submitter = recordingSubmitter;
        guard.setOwnership(maySend);
    }

    /** Returns the event loop on which the broker runs. */
    EventLoop loop() {
        return loop;
    }

    /** Enqueues an event for the next tick. May be called on any thread. */
    void submitEvent(Event event) {
        loop.execute(() -> enqueue(event));
    }

    /**
     * Sets whether the fleet drains this broker. While it is drained, its health endpoint reports
     * that it is not ready. May be called on any thread.
     */
    void setDrainedByFleet(boolean drained) {
        drainedByFleet = drained;
    }

    /**
     * Stops serving for good, because the broker no longer learns which searchers may be used. From
     * now on it is not ready and rejects new requests. Open requests may still use the searchers
     * for the grace that a drained searcher has. May be called on any thread.
     */
    void suspend() {
        loop.execute(
                () -> {
                    suspended = true;
                    guard.sendOnlyUntil(clock.now() + config.settings().rules().drainGraceMs());
                    double retryAfterMs = config.settings().limits().maxRetryAfterMs();
                    int brokers = config.settings().brokers();
                    enqueue(new Event.AdmissionQuotaChanged(0, retryAfterMs, brokers, 0, ""));
                });
    }

    /**
     * Starts counting requests and attempts for the comparison of brokers in a rollout. Must be
     * called before the broker serves.
     */
    void enableMetrics() {
        metrics = new BrokerMetrics();
        loop.scheduleWithFixedDelay(
                () -> ejected = reducer.ejected(),
                MAINTENANCE_INTERVAL_MS,
                MAINTENANCE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the searchers that this broker has ejected, at most about a second old. May be called
     * on any thread.
     */
    Set<String> ejected() {
        return ejected;
    }

    /**
     * Starts exporting this broker's statistics of searchers. Must be called before the broker
     * serves.
     */
    void shareStats() {
        loop.scheduleWithFixedDelay(
                () -> sharedStats = reducer.exportStats(),
                MAINTENANCE_INTERVAL_MS,
                MAINTENANCE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the statistics of searchers exported last, at most about a second old. May be called
     * on any thread.
     */
    Map<String, Event.ImportedServerStats> sharedStats() {
        return sharedStats;
    }

    /**
     * Returns the counts of requests and attempts, or zeros if metrics are off. May be called on
     * any thread.
     */
    RolloutHealth.Counts counts() {
        return metrics == null ? new RolloutHealth.Counts(0, 0, 0, 0, 0) : metrics.counts();
    }

    /** Returns the port on which the platform front listens. */
    int port() {
        return servers.get(0).address().getPort();
    }

    @Override
    public boolean hasUnfinishedRecords() {
        return submitter != this && submitter.hasUnfinishedRecords();
    }

    private boolean isIdle() {
        return reducer.openRequests() == 0
                && driver.isIdle()
                && !hasUnfinishedRecords()
                && servers.stream().allMatch(server -> server.openConnections() == 0);
    }

    /** Logs an event, an effect or the end of a connection with its time, if tracing is on. */
    private void trace(Record happened) {
        if (TRACING) {
            log(clock.now() + " " + happened);
        }
    }

    static void log(String line) {
        System.err.println(line);
    }

    // ---- requests ----

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public long nextRequestId() {
        return nextRequestId++;
    }

    @Override
    public void submit(Request request, Consumer<Reply> reply) {
        replies.put(
                request.id(),
                metrics == null
                        ? reply
                        : metrics.countingReply(
                                clock.now()
                                        + config.settings()
                                                .classes()
                                                .get(request.classIndex())
                                                .latencyObjectiveMs(),
                                reply,
                                clock::now));
        Request limited = limitDeadline(request);
        guard.opened(limited);
        enqueue(new Event.Arrived(limited));
    }

    @Override
    public Request limitDeadline(Request request) {
        return shutdown.limitDeadline(request);
    }

    @Override
    public void clientDisconnected(long request) {
        guard.ended(request);
        if (replies.remove(request) != null) {
            enqueue(new Event.ClientDisconnected(request));
        }
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        loop.schedule(task, (long) (delayMs * 1e6), TimeUnit.NANOSECONDS);
    }

    @Override
    public boolean ready() {
        return ready && !suspended && !drainedByFleet && !shutdown.isDraining();
    }

    // ---- ticks ----

    /** Enqueues an event for the next tick. */
    private void enqueue(Event enqueue) {
        trace((Record) enqueue);
        if (metrics != null && enqueue instanceof Event.AttemptEnded ended) {
            metrics.attemptEnded(ended.end());
        }
        driver.enqueue(enqueue);
    }

    private void execute(Effect effect) {
        trace((Record) effect);
        if (effect instanceof Effect.Call call) {
            if (metrics != null) {
                metrics.attemptsSent(call.sends().size());
            }
            searchers.call(call);
        } else if (effect instanceof Effect.Abandon abandon) {
            searchers.abandon(abandon);
        } else if (effect instanceof Effect.Withdraw withdraw) {
            searchers.withdraw(withdraw);
        } else if (effect instanceof Effect.Answer answer) {
            guard.ended(answer.requestId());
            Consumer<Reply> reply = replies.remove(answer.requestId());
            if (reply != null) {
                reply.accept(answer.reply());
            }
        } else if (effect instanceof Effect.ScheduleTimer timer) {
            loop.schedule(
                    () -> enqueue(timer.event()),
                    (long) (Math.max(0, timer.delayMs()) * 1e6),
                    TimeUnit.NANOSECONDS);
        } else if (effect instanceof Effect.StopSending stop) {
            searchers.stopSending(stop.searcher());
        } else if (effect instanceof Effect.Probe probe) {
            searchers.probe(probe);
        } else if (effect instanceof Effect.Log logEffect) {
            log(logEffect.line());
        }
    }
}
