package reeldeal.discovery;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.core.Event;
import reeldeal.decide.Aggregator.ListKind;
import reeldeal.http.HttpClient;
import reeldeal.http.HttpMessage;

/**
 * Keeps asking discovery for what is newer than it has. Each answer is followed by the next call at once, so
 * that the watch never lapses; a reply that cannot be read leaves the list as it was.
 */
public final class Watch {
    private static final String PATH = "/catalog/members";
    private static final int WAIT_MS = 20_000;
    private static final int SLACK_MS = 1_500;
    private static final int RETRY_MS = 100;

    private final EventLoopGroup group;
    private final HttpClient client;
    private final InetSocketAddress address;
    private final Consumer<Event> events;
    private final Consumer<String> log;
    private final Runnable heard;
    private long index = -1;
    private boolean hasHeard;
    private boolean stopped;
    private String complaint = "";

    /** A watch at this address; {@code heard} is run once, just before the first list that it tells. */
    public Watch(EventLoopGroup group, InetSocketAddress address, Consumer<Event> events, Consumer<String> log,
            Runnable heard) {
        this.group = group;
        this.address = address;
        this.heard = heard;
        this.client = new HttpClient(group, address, 1_000);
        this.events = events;
        this.log = log;
    }

    /** Where it asks. */
    public InetSocketAddress address() {
        return address;
    }

    /** Asks for the whole list, then for changes, until stopped. */
    public void start() {
        if (stopped) {
            return;
        }
        boolean whole = index < 0;
        // A call that does not wait is answered at once, so silence means that discovery is down.
        client.call("GET", whole ? PATH : PATH + "?since=" + index + "&timeout_ms=" + WAIT_MS, Map.of(),
                new byte[0], whole ? 1_000 : WAIT_MS + SLACK_MS, this::answered);
    }

    /** Asks no more. */
    public void stop() {
        stopped = true;
        client.close();
    }

    private void answered(HttpClient.Result result) {
        if (stopped) {
            return;
        }
        if (result instanceof HttpClient.Responded r && take(r.message())) {
            group.next().execute(this::start);
        } else {
            if (result instanceof HttpClient.NoResponse none) {
                complain(none.why());
            }
            group.next().schedule(this::start, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Says what is wrong once: while discovery is down each try would say it again. */
    private void complain(String what) {
        if (!what.equals(complaint)) {
            complaint = what;
            log.accept("discovery: " + what);
        }
    }

    private boolean take(HttpMessage message) {
        if (message.status() != 200) {
            complain("status " + message.status());
            index = message.status() < 500 ? -1 : index;
            return false;
        }
        try {
            Catalog catalog = Catalog.parse(message.body());
            if (!hasHeard) {
                hasHeard = true;
                heard.run();
            }
            if (catalog.snapshot() || !catalog.searchers().isEmpty()) {
                events.accept(new Event.Told(catalog.snapshot() ? ListKind.WHOLE : ListKind.CHANGES,
                        catalog.searchers()));
            }
            index = catalog.index();
            complaint = "";
            return true;
        } catch (IOException e) {
            // The old list stands; what a bad reply hid is asked for as a whole.
            complain("bad reply: " + e.getMessage().lines().findFirst().orElse(""));
            index = -1;
            return false;
        }
    }
}
