package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Names;
import reeldeal.dns.Zone;

/**
 * Passes the sources' observations to an {@link EndpointView}, and its changes to the broker: the
 * complete list first, then changes. All methods are called on the loop given to the constructor,
 * which is not the loop that serves queries.
 */
public final class EndpointFeed {
    /** The name of discovery among the sources. */
    public static final String DISCOVERY = "discovery";

    /** How long the first list waits for sources that have not reported yet, in milliseconds. */
    private static final int FIRST_LIST_TIMEOUT_MS = 2_000;

    private static final long NO_VERSION = -1;

    private final ScheduledExecutorService loop;
    private final EndpointView view;
    private final LongSupplier clock;
    private final Consumer<Event.EndpointsChanged> subscriber;
    private final Consumer<String> log;
    private final Consumer<String> stateWriter;
    private final Map<String, Set<String>> hostsByZone = new HashMap<>();
    private final Map<String, EndpointReport> discoveryReports = new LinkedHashMap<>();
    private final Set<String> awaitedSources;
    private final Set<String> staleZones = new HashSet<>();
    private boolean firstListPublished;
    private boolean firstListTimerStarted;
    private long tickScheduledAt = Long.MAX_VALUE;
    private String lastSaved = "";

    /**
     * Creates a feed.
     *
     * @param loop runs the view's timers, and all calls of this feed
     * @param view the view to feed
     * @param awaited names of the sources without which the first list is not published, so that a
     *     list with half of the fleet never goes out
     * @param clock Unix time in milliseconds
     * @param subscriber receives the complete list once, then changes
     * @param log receives log lines
     * @param saver receives the text for {@link #restore} whenever it changes
     */
    public EndpointFeed(
            ScheduledExecutorService loop,
            EndpointView view,
            Set<String> awaited,
            LongSupplier clock,
            Consumer<Event.EndpointsChanged> subscriber,
            Consumer<String> log,
            Consumer<String> stateWriter) {
        this.loop = loop;
        this.view = view;
        this.awaitedSources = new HashSet<>(awaited);
        this.clock = clock;
        this.subscriber = subscriber;
        this.log = log;
        this.stateWriter = stateWriter;
    }

    /**
     * Takes a zone from an old copy on disk because the store is not reached; it holds until the
     * store delivers the zone.
     */
    public void useStaleZone(Zone zone) {
        log.accept("members: " + zone.origin + ": serial " + zone.serial() + " from an old copy");
        zone(zone, null);
        staleZones.add(zone.origin);
    }

    /**
     * Takes a zone's present content.
     *
     * @param zone the zone
     * @param touched the names that changed, or null where any may have
     */
    public void zone(Zone zone, Set<String> changedNames) {
        boolean wasStale = staleZones.remove(zone.origin);
        if (wasStale) {
            view.forgetVersion(zone.origin);
        }
        Set<String> knownHosts = wasStale ? null : hostsByZone.get(zone.origin);
        if (knownHosts != null
                && changedNames != null
                && !concernsSearchers(zone, knownHosts, changedNames)) {
            return;
        }
        List<EndpointReport> reports = EndpointReports.parse(zone);
        Set<String> hosts = new HashSet<>();
        reports.forEach(report -> hosts.add(report.name()));
        hostsByZone.put(zone.origin, hosts);
        awaitedSources.remove(zone.origin);
        view.observe(clock.getAsLong(), zone.origin, zone.serial(), reports);
        publish();
    }

    private static boolean concernsSearchers(
            Zone zone, Set<String> knownHosts, Set<String> changedNames) {
        String service = EndpointReports.SERVICE + zone.origin;
        for (String name : changedNames) {
            if (knownHosts.contains(name) || Names.within(name, service)) {
                return true;
            }
        }
        return false;
    }

    /** Drops what a zone lists, since its secondary copy has expired. */
    public void expired(String origin) {
        view.expireSource(clock.getAsLong(), origin);
        publish();
    }

    /** Takes an endpoint list, or changes to it, from discovery. */
    public void discovery(Event.EndpointsChanged event) {
        if (event.kind() == EndpointListKind.COMPLETE) {
            discoveryReports.clear();
        }
        for (Searcher searcher : event.entries()) {
            EndpointReport report = EndpointReports.fromDiscovery(searcher);
            if (report == null) {
                discoveryReports.remove(searcher.name());
            } else {
                discoveryReports.put(searcher.name(), report);
            }
        }
        awaitedSources.remove(DISCOVERY);
        view.observe(
                clock.getAsLong(), DISCOVERY, NO_VERSION, List.copyOf(discoveryReports.values()));
        publish();
    }

    /** Replaces all administrative overrides, and the names that the fleet has drained. */
    public void setOverrides(
            Map<String, EndpointView.AdministrativeOverride> overrides,
            Set<String> drainedByFleet) {
        view.setOverrides(clock.getAsLong(), overrides, drainedByFleet);
        publish();
    }

    /** Restores what was saved before a restart; called before the first zone is taken. */
    public void restore(String text) {
        view.restore(clock.getAsLong(), text);
    }

    /** The view's entries with their reasons. */
    public List<EndpointView.Entry> view() {
        return view.entries();
    }

    private void publish() {
        view.takeLog().forEach(line -> log.accept("members: " + line));
        if (!awaitedSources.isEmpty()) {
            startFirstListTimer();
            return;
        }
        List<Searcher> changes = view.takeChanges();
        if (!firstListPublished) {
            firstListPublished = true;
            subscriber.accept(
                    new Event.EndpointsChanged(EndpointListKind.COMPLETE, listedSearchers()));
        } else if (!changes.isEmpty()) {
            subscriber.accept(new Event.EndpointsChanged(EndpointListKind.CHANGES, changes));
        }
        save();
        scheduleTick();
    }

    private List<Searcher> listedSearchers() {
        List<Searcher> listed = new ArrayList<>();
        for (EndpointView.Entry entry : view.entries()) {
            if (entry.searcher().state() != EndpointState.REMOVED) {
                listed.add(entry.searcher());
            }
        }
        return listed;
    }

    private void save() {
        String text = view.departuresAsText();
        if (!text.equals(lastSaved)) {
            lastSaved = text;
            stateWriter.accept(text);
        }
    }

    private void startFirstListTimer() {
        if (!firstListTimerStarted) {
            firstListTimerStarted = true;
            loop.schedule(
                    this::publishWithoutMissingSources,
                    FIRST_LIST_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** A source that does not report must not keep the searchers of the others from use. */
    private void publishWithoutMissingSources() {
        if (!awaitedSources.isEmpty()) {
            log.accept("members: no word from " + awaitedSources + "; going on without");
            awaitedSources.clear();
            publish();
        }
    }

    private void scheduleTick() {
        long due = view.nextTickAt();
        if (due < tickScheduledAt && due < Long.MAX_VALUE) {
            tickScheduledAt = due;
            loop.schedule(this::tick, Math.max(0, due - clock.getAsLong()), TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        tickScheduledAt = Long.MAX_VALUE;
        view.tick(clock.getAsLong());
        publish();
    }
}
