package reeldeal.discovery;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.core.Event;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.http.HttpClient;
import reeldeal.http.HttpMessage;

/**
 * Watches discovery's endpoint list by long polling. The next poll follows each valid answer
 * immediately, so that a poll is always waiting for changes. A reply that cannot be parsed leaves
 * the list unchanged. If a poll is not answered within its wait and the answer timeout, it fails
 * and its connection is closed, since the connection may be dead. The poll after a failure uses a
 * short wait.
 *
 * <p>Not thread-safe: all methods are called on the event loop of the group, as are the consumers.
 */
public final class DiscoveryWatcher {
    private static final String PATH = "/catalog/members";
    private static final byte[] NO_BODY = {};
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /**
     * The deadline for receiving a change, in milliseconds after discovery has the change and is
     * reachable.
     */
    static final int CHANGE_DEADLINE_MS = 6_000;

    /**
     * How long discovery holds a poll while nothing changes, in milliseconds. It is short enough
     * that two consecutive polls may be lost before the deadline.
     */
    static final int POLL_WAIT_MS = CHANGE_DEADLINE_MS / 2;

    /** The time in which discovery must answer a poll after its wait is over, in milliseconds. */
    static final int ANSWER_TIMEOUT_MS = 1_000;

    static final int RETRY_DELAY_MS = 100;

    /**
     * The wait of a poll after a failed one, in milliseconds. That poll only checks whether
     * discovery is reachable again.
     */
    private static final int WAIT_AFTER_FAILURE_MS = 100;

    /**
     * The maximum fraction by which waits are shortened at random, so that brokers do not poll in
     * sync.
     */
    private static final double JITTER = 0.25;

    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final long NO_INDEX = -1;

    private final EventLoopGroup group;
    private final HttpClient client;
    private final InetSocketAddress address;
    private final Consumer<Event> events;
    private final Consumer<String> log;
    private final Runnable onFirstList;
    private final SplittableRandom random;
    private final int pollWaitMs;
    private boolean lastPollFailed;
    private long index = NO_INDEX;
    private boolean firstListReceived;
    private boolean stopped;
    private String lastLoggedFailure = "";

    /**
     * Creates a watcher that does not poll yet.
     *
     * @param group a group of one event loop, which runs the watcher
     * @param address discovery's address
     * @param seed seed of the jitter
     * @param events receives {@link Event.EndpointsChanged}
     * @param log receives a line for each new kind of failure
     * @param onFirstList run once, right before the first list is passed to {@code events}
     */
    public DiscoveryWatcher(
            EventLoopGroup group,
            InetSocketAddress address,
            long seed,
            Consumer<Event> events,
            Consumer<String> log,
            Runnable onFirstList) {
        this(group, address, seed, events, log, onFirstList, POLL_WAIT_MS);
    }

    DiscoveryWatcher(
            EventLoopGroup group,
            InetSocketAddress address,
            long seed,
            Consumer<Event> events,
            Consumer<String> log,
            Runnable onFirstList,
            int pollWaitMs) {
        this.random = new SplittableRandom(seed);
        this.pollWaitMs = pollWaitMs;
        this.group = group;
        this.address = address;
        this.onFirstList = onFirstList;
        this.client = new HttpClient(group, address, CONNECT_TIMEOUT_MS);
        this.events = events;
        this.log = log;
    }

    /** Returns discovery's address. */
    public InetSocketAddress address() {
        return address;
    }

    /** Starts polling: for the complete list first, then for changes, until stopped. */
    public void start() {
        if (stopped) {
            return;
        }
        if (index == NO_INDEX) {
            poll(PATH, 0);
        } else {
            int waitMs = lastPollFailed ? WAIT_AFTER_FAILURE_MS : withJitter(pollWaitMs);
            poll(PATH + "?since=" + index + "&timeout_ms=" + waitMs, waitMs);
        }
    }

    private void poll(String target, int waitMs) {
        client.call(
                "GET", target, Map.of(), () -> NO_BODY, waitMs + ANSWER_TIMEOUT_MS, this::onResult);
    }

    private int withJitter(int ms) {
        return (int) (ms * (1 - JITTER * random.nextDouble()));
    }

    /** Stops polling and closes the connection. */
    public void stop() {
        stopped = true;
        client.close();
    }

    private void onResult(HttpClient.Result result) {
        if (stopped) {
            return;
        }
        if (result instanceof HttpClient.Responded responded) {
            lastPollFailed = !accept(responded.message());
        } else {
            lastPollFailed = true;
            logFailure(((HttpClient.NoResponse) result).reason());
        }
        if (lastPollFailed) {
            group.next().schedule(this::start, withJitter(RETRY_DELAY_MS), TimeUnit.MILLISECONDS);
        } else {
            group.next().execute(this::start);
        }
    }

    /**
     * Logs a failure unless it is the same as the last one logged. Otherwise each retry would log
     * it again while discovery is down.
     */
    private void logFailure(String failure) {
        if (!failure.equals(lastLoggedFailure)) {
            lastLoggedFailure = failure;
            log.accept("discovery: " + failure);
        }
    }

    /** Publishes the list in a response. Returns whether the response had a valid list. */
    private boolean accept(HttpMessage response) {
        if (response.status() != STATUS_OK) {
            logFailure("unexpected HTTP status " + response.status());
            if (response.status() < STATUS_SERVER_ERROR) {
                index = NO_INDEX;
            }
            return false;
        }
        EndpointList list;
        try {
            list = EndpointListParser.parse(response.body());
        } catch (IOException e) {
            // The old list stays in use. The next poll asks for a complete list, which includes any
            // changes in this reply.
            logFailure("bad reply: " + e.getMessage().lines().findFirst().orElse(""));
            index = NO_INDEX;
            return false;
        }
        publish(list);
        index = list.index();
        lastLoggedFailure = "";
        return true;
    }

    private void publish(EndpointList list) {
        if (!firstListReceived) {
            firstListReceived = true;
            onFirstList.run();
        }
        if (list.complete() || !list.searchers().isEmpty()) {
            EndpointListKind kind =
                    list.complete() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
            events.accept(new Event.EndpointsChanged(kind, list.searchers()));
        }
    }
}
