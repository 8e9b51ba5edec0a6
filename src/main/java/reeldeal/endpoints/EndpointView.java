package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reeldeal.core.Searcher;

/**
 * Merges the reports of all sources into one view of the searchers. The view is a state machine:
 * its inputs are observations and the time in Unix milliseconds, and it collects the changes to be
 * published. The rules:
 *
 * <ol>
 *   <li>The observations of a source are applied in the order in which they are made. Each one must
 *       be newer than those before it; {@link reeldeal.dns.ZoneSuccession} sees to that for zones.
 *   <li>A name that leaves a set which still lists other names is draining immediately, and removed
 *       after {@link Rules#goneAfterMs}. When it comes back it counts as a new process that needs
 *       to warm up, even with the same address; so does a name whose address changed. A name whose
 *       draining status was withdrawn is still the same process, unless it reports a later start.
 *   <li>A set that becomes empty keeps its searchers for a grace period that is shorter than the
 *       500 ms within which a drain must take effect; then its names leave as in rule 2.
 *   <li>While the reports of a name lack an address or a cell, the last valid report is held for
 *       {@link Rules#holdMs}; if the host has no records at all, only for the grace period. A name
 *       that has had no valid report yet is not listed.
 *   <li>Of several reports of one name in a source, the one with the lowest priority is used, then
 *       the one with the published address, then the highest weight, then the lowest address. Of
 *       several cells the published one is used, then the lowest.
 *   <li>Sources are ranked. The source of the highest rank that lists a name describes it. What a
 *       source says of a name, that it is draining or gone, holds until the same source says
 *       otherwise, whatever its rank and whatever another source lists; {@link SourceStatements}
 *       has the table. It outlasts a restart.
 *   <li>A name that leaves repeatedly (flaps) is kept draining until its penalty has decayed,
 *       unless its cell would have no ready searcher.
 *   <li>An administrative override takes precedence over all sources.
 * </ol>
 *
 * <p>Not thread-safe; {@link EndpointFeed} uses it on its event loop.
 */
public final class EndpointView {
    /**
     * Beginning of the reason of an entry that is draining only because the fleet has agreed to
     * drain it.
     */
    public static final String DRAINED_BY_FLEET_REASON = "the fleet's word";

    /**
     * The periods and limits of the rules, in milliseconds where they are times. Each departure
     * adds 1 to the penalty of a name, which decays exponentially.
     *
     * @param emptyGraceMs period for which an empty set keeps its searchers, 0 to 60,000 ms; above
     *     about 450 ms, the last searchers of a set get shard requests for longer than 500 ms after
     *     they were removed
     * @param holdMs period for which the last valid report replaces an invalid one
     * @param goneAfterMs period for which a name that no source lists is draining
     * @param rememberMs period for which a name that no source reports any more is remembered even
     *     if there are many such names; afterwards the latest 1,000 are remembered
     * @param flapLimit penalty from which a returning name is kept draining
     * @param flapReuse penalty below which such a name may become ready again
     * @param flapHalfLifeMs half-life of a penalty
     */
    public record Rules(
            long emptyGraceMs,
            long holdMs,
            long goneAfterMs,
            long rememberMs,
            double flapLimit,
            double flapReuse,
            long flapHalfLifeMs) {
        /** The values that apply unless the operator's settings give others. */
        public static final Rules DEFAULT = new Rules(350, 2_000, 15_000, 600_000, 4, 2, 10_000);
    }

    /** The state that an operator sets for one name. */
    public enum AdministrativeOverride {
        /** The searcher serves even if a source reports that it is draining. */
        READY,
        /** The searcher drains whatever the sources report. */
        DRAINING,
        /** The searcher is not listed, whatever the sources report. */
        REMOVED
    }

    /**
     * An entry of the view.
     *
     * @param searcher the searcher as it is published
     * @param source name of the source that describes the searcher, or "" if none does
     * @param sinceMs time since which the searcher has its state, Unix time in milliseconds
     * @param reason reason for the searcher's state
     */
    public record Entry(Searcher searcher, String source, long sinceMs, String reason) {}

    private final Rules rules;
    private final Map<String, EndpointSource> sources = new LinkedHashMap<>();
    private final Map<String, TrackedEndpoint> endpoints = new TreeMap<>();
    private final EndpointChangeLog changeLog = new EndpointChangeLog();
    private OverrideTable overrides = OverrideTable.EMPTY;
    private long nextTickAt = Long.MAX_VALUE;

    /**
     * Creates a view that lists nothing.
     *
     * @param rules periods and limits
     * @param sources names of the sources, the highest rank first
     */
    public EndpointView(Rules rules, List<String> sources) {
        this.rules = rules;
        for (String name : sources) {
            this.sources.put(name, new EndpointSource(name, this.sources.size()));
        }
    }

    /**
     * Replaces the reports of a source.
     *
     * @param now Unix time in ms
     * @param sourceName one of the names given to the constructor
     * @param reports all reports of the source
     */
    public void observe(long now, String sourceName, List<EndpointReport> reports) {
        observe(now, sourceName, reports, Set.of());
    }

    /**
     * Replaces the reports of a source, which also reports explicitly that some searchers are gone.
     *
     * @param now Unix time in ms
     * @param sourceName one of the names given to the constructor
     * @param reports all reports of the source
     * @param gone names of searchers that are gone; they need not have been listed before
     */
    public void observe(
            long now, String sourceName, List<EndpointReport> reports, Set<String> gone) {
        EndpointSource source = sources.get(sourceName);
        source.update(now, reports, rules.emptyGraceMs(), changeLog);
        for (String name : gone) {
            TrackedEndpoint endpoint =
                    endpoints.computeIfAbsent(name, key -> new TrackedEndpoint());
            endpoint.statements().onGone(source.rank(), now);
            endpoint.onReported(now);
        }
        applyRules(now);
    }

    /** Drops the reports of a source that is out of date; {@code now} is Unix time in ms. */
    public void expireSource(long now, String sourceName) {
        EndpointSource source = sources.get(sourceName);
        if (!source.isExpired()) {
            source.expire();
            changeLog.log(sourceName + ": expired; what only it lists leaves");
            applyRules(now);
        }
    }

    /** Replaces all administrative overrides; {@code now} is Unix time in ms. */
    public void setOverrides(long now, Map<String, AdministrativeOverride> byName) {
        setOverrides(now, byName, overrides.drainedByFleet());
    }

    /**
     * Replaces all administrative overrides, and the names that the fleet has agreed to drain. A
     * drain by the fleet takes precedence over an override to READY.
     */
    public void setOverrides(
            long now, Map<String, AdministrativeOverride> byName, Set<String> drainedByFleet) {
        OverrideTable updated = new OverrideTable(byName, drainedByFleet);
        if (!overrides.equals(updated)) {
            overrides = updated;
            applyRules(now);
        }
    }

    /**
     * Applies the rules if {@link #nextTickAt} has been reached; {@code now} is Unix time in ms.
     */
    public void tick(long now) {
        if (now >= nextTickAt) {
            applyRules(now);
        }
    }

    /**
     * Returns the time at which {@link #tick} must be called, in Unix ms; {@link Long#MAX_VALUE} if
     * it need not be called.
     */
    public long nextTickAt() {
        return nextTickAt;
    }

    /** Removes and returns the entries that changed since the last call. */
    public List<Searcher> takeChanges() {
        return changeLog.takeChanges();
    }

    /** Removes and returns the log lines since the last call. */
    public List<String> takeLog() {
        return changeLog.takeLines();
    }

    /**
     * Returns all entries in the order of their names, including names that are not listed for a
     * known reason.
     */
    public List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        endpoints.forEach(
                (name, endpoint) -> {
                    Entry entry = endpoint.entry(name);
                    if (entry != null) {
                        entries.add(entry);
                    }
                });
        return entries;
    }

    /**
     * Returns what the sources said of names that are draining or gone as text, to be saved across
     * a restart; "" if there is nothing to save.
     */
    public String departuresAsText() {
        List<Departure> departures = new ArrayList<>();
        endpoints.forEach((name, endpoint) -> departures.addAll(endpoint.departures(name)));
        return DepartureText.format(List.copyOf(sources.keySet()), departures);
    }

    /**
     * Restores the text that {@link #departuresAsText} returned. What a source has said since the
     * start takes precedence, so that the text may be older than some observations. Malformed lines
     * are ignored, as are sources that do not exist any more.
     */
    public void restore(long now, String text) {
        for (Departure departure : DepartureText.parse(List.copyOf(sources.keySet()), text)) {
            endpoints
                    .computeIfAbsent(departure.name(), name -> new TrackedEndpoint())
                    .restore(now, departure);
        }
        applyRules(now);
    }

    private void applyRules(long now) {
        nextTickAt =
                new EndpointFold(now, rules, sources.values(), overrides, endpoints, changeLog)
                        .run();
    }
}
