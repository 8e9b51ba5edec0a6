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
import reeldeal.dns.ZoneSuccession;

/**
 * Passes the sources' observations to an {@link EndpointView}, and the resulting list to the
 * broker: the complete list first, changes to it afterwards. All methods are called on the event
 * loop given to the constructor, which is not the loop that serves queries.
 */
public final class EndpointFeed {
    /** Name of the source that stands for discovery. */
    public static final String DISCOVERY = "discovery";

    /**
     * Maximum time for which the first list waits for sources that have not reported, in
     * milliseconds.
     */
    private static final int FIRST_LIST_TIMEOUT_MS = 2_000;

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
    private final Map<String, Long> deliveredSerials = new HashMap<>();
    private boolean firstListPublished;
    private boolean firstListTimerStarted;
    private long tickScheduledAt = Long.MAX_VALUE;
    private String lastSaved;

    /**
     * Creates a feed.
     *
     * @param loop event loop that runs the view's timers, and on which this feed is called
     * @param view the view that gets the observations
     * @param awaited names of the sources that the first list waits for, so that a list that lacks
     *     half of the fleet is not published
     * @param clock returns Unix time in milliseconds; a step of the system's clock must not move
     *     it, since it measures the periods of the rules and the starts of new processes
     * @param subscriber receives the complete list once, then changes
     * @param log receives log lines
     * @param stateWriter receives the text for {@link #restore} whenever it changes
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
     * Uses a zone from an old copy on disk because the store is unreachable. The copy is used until
     * the store delivers the zone, and not at all if it has done so already.
     */
    public void useStaleZone(Zone zone) {
        long deliveredSerial = deliveredSerials.getOrDefault(zone.origin, ZoneSuccession.NO_SERIAL);
        if (!ZoneSuccession.isNewer(
                ZoneSuccession.Arrival.RESTART, deliveredSerial, zone.serial())) {
            return;
        }
        log.accept(
                "members: "
                        + zone.origin
                        + ": using serial "
                        + zone.serial()
                        + " from an old copy on disk; the store is unreachable");
        observe(zone);
        staleZones.add(zone.origin);
    }

    /**
     * Passes the present content of a zone to the view. Successive calls must be in the order in
     * which the store committed the contents; their serials are not compared.
     *
     * @param updated the zone with its present content
     * @param changedNames the names that changed, or null if any name may have changed
     */
    public void updateZone(Zone updated, Set<String> changedNames) {
        boolean wasStale = staleZones.remove(updated.origin);
        deliveredSerials.put(updated.origin, updated.serial());
        Set<String> knownHosts = wasStale ? null : hostsByZone.get(updated.origin);
        if (knownHosts != null
                && changedNames != null
                && !concernsSearchers(updated, knownHosts, changedNames)) {
            return;
        }
        observe(updated);
    }

    private void observe(Zone zone) {
        List<EndpointReport> reports = EndpointReports.parse(zone);
        Set<String> hosts = new HashSet<>();
        reports.forEach(report -> hosts.add(report.name()));
        hostsByZone.put(zone.origin, hosts);
        awaitedSources.remove(zone.origin);
        view.observe(clock.getAsLong(), zone.origin, reports);
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

    /** Drops the reports of a zone whose secondary copy has expired. */
    public void expireZone(String origin) {
        awaitedSources.remove(origin);
        view.expireSource(clock.getAsLong(), origin);
        publish();
    }

    /** Passes an endpoint list from discovery, or changes to it, to the view. */
    public void updateFromDiscovery(Event.EndpointsChanged event) {
        if (event.kind() == EndpointListKind.COMPLETE) {
            discoveryReports.clear();
        }
        Set<String> gone = new HashSet<>();
        for (Searcher searcher : event.entries()) {
            EndpointReport report = EndpointReports.fromDiscovery(searcher);
            if (report == null) {
                discoveryReports.remove(searcher.name());
                gone.add(searcher.name());
            } else {
                discoveryReports.put(searcher.name(), report);
                gone.remove(searcher.name());
            }
        }
        awaitedSources.remove(DISCOVERY);
        view.observe(clock.getAsLong(), DISCOVERY, List.copyOf(discoveryReports.values()), gone);
        publish();
    }

    /** Replaces all administrative overrides, and the names that the fleet has drained. */
    public void setOverrides(
            Map<String, EndpointView.AdministrativeOverride> overrides,
            Set<String> drainedByFleet) {
        view.setOverrides(clock.getAsLong(), overrides, drainedByFleet);
        publish();
    }

    /**
     * Restores the text saved before a restart. It may be called several times, and after the first
     * observation: what a source has said since the start takes precedence.
     */
    public void restore(String text) {
        view.restore(clock.getAsLong(), text);
        if (firstListPublished) {
            publish();
        }
    }

    /** Returns the entries of the view, with the reasons for their states. */
    public List<EndpointView.Entry> entries() {
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

    /**
     * Publishes the list although sources have not reported, because the searchers of the other
     * sources must not stay unused.
     */
    private void publishWithoutMissingSources() {
        if (!awaitedSources.isEmpty()) {
            log.accept(
                    "members: no report from "
                            + awaitedSources
                            + (" within "
                                    + FIRST_LIST_TIMEOUT_MS
                                    + " ms; publishing the list without them"));
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
