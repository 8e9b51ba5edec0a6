package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reeldeal.core.Searcher;

/**
 * Folds the reports of all sources into one view of the searchers. A state machine: it is given
 * observations and the time, in Unix milliseconds, and collects the changes to be published. The
 * rules:
 *
 * <ol>
 *   <li>A source's observation counts only where its version is later than the last (RFC 1982), so
 *       that an old copy revives no searcher. After a source has expired, any version counts.
 *   <li>A name that leaves a set which still lists others is draining immediately, and removed
 *       after a while. When it comes back it is a new process that needs to warm up, even under the
 *       same address; so is one whose address changed. A drain that was reported by a status and
 *       withdrawn is of the same process, unless it reports a later start.
 *   <li>A set that becomes empty keeps its searchers for a grace period that is shorter than the
 *       500 ms within which a drain must take effect; then they leave like others.
 *   <li>While reports lack an address or a cell, the last valid report is held for a while; where
 *       the host has no records at all, for the grace period only. A name without any valid report
 *       so far is not listed.
 *   <li>Of several reports of one name in a source the lowest priority counts, then the published
 *       address, then the highest weight, then the lowest address; of several cells the published
 *       one, then the lowest.
 *   <li>Sources are ranked. The first that lists a name describes it; a draining status counts
 *       whatever its source's rank. A name that a source dropped is revived by a source of a lower
 *       rank only as a process that started later.
 *   <li>A name that leaves again and again is kept draining until its penalty has decayed, unless
 *       its cell would have no ready searcher.
 *   <li>An administrative override goes before all.
 * </ol>
 *
 * <p>Not thread-safe; {@link EndpointFeed} uses it on its event loop.
 */
public final class EndpointView {
    /** How the reason of an entry begins that is draining only because the fleet agreed so. */
    public static final String DRAINED_BY_FLEET_REASON = "the fleet's word";

    /**
     * Periods and limits of the rules. Each departure adds a penalty of 1, which halves with every
     * half-life.
     *
     * @param emptyGraceMs how long an empty set keeps its searchers, 0 to 60,000 ms; above some 450
     *     a set's last searchers are sent shard requests for longer than 500 ms after they were
     *     removed
     * @param holdMs how long the last valid report replaces an invalid one, in ms
     * @param goneAfterMs how long a name that no source lists is draining, in ms
     * @param rememberMs how long a departed name is remembered, in ms
     * @param flapLimit penalty from which a returning name is kept draining
     * @param flapReuse penalty below which such a name may serve again
     * @param flapHalfLifeMs time in which a penalty halves, in ms
     */
    public record Rules(
            long emptyGraceMs,
            long holdMs,
            long goneAfterMs,
            long rememberMs,
            double flapLimit,
            double flapReuse,
            long flapHalfLifeMs) {
        /** The rules where the operator's settings give none. */
        public static final Rules DEFAULT = new Rules(350, 2_000, 15_000, 600_000, 4, 2, 10_000);
    }

    /** The state that an operator sets for one name. */
    public enum AdministrativeOverride {
        /** Serves although a source reports that it is draining. */
        READY,
        /** Drains whatever the sources report. */
        DRAINING,
        /** Is not listed, whatever the sources report. */
        REMOVED
    }

    /**
     * An entry of the view.
     *
     * @param searcher what is published of the searcher
     * @param source the source that describes it, or "" where none does
     * @param sinceMs since when it has its state, in Unix ms
     * @param reason why it has its state
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
     * Takes all that a source lists.
     *
     * @param now Unix time in ms
     * @param sourceName one of the names given to the constructor
     * @param version a zone's serial number, or below 0 where the source has none
     * @param reports all reports of the source
     * @return false where the version is an old one, so that nothing changed
     */
    public boolean observe(
            long now, String sourceName, long version, List<EndpointReport> reports) {
        EndpointSource source = sources.get(sourceName);
        if (!source.accepts(version)) {
            changeLog.log(
                    sourceName
                            + ": serial "
                            + version
                            + " is not later than "
                            + source.version()
                            + "; not taken");
            return false;
        }
        source.update(now, version, reports, rules.emptyGraceMs(), changeLog);
        applyRules(now);
        return true;
    }

    /** Accepts any version in the next observation of a source, since its last was of a copy. */
    public void forgetVersion(String sourceName) {
        sources.get(sourceName).forgetVersion();
    }

    /** Drops all that a source lists because it is out of date; {@code now} is Unix time in ms. */
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
     * Replaces all administrative overrides, and the names that the fleet has agreed to drain,
     * which goes before any override to READY.
     */
    public void setOverrides(
            long now, Map<String, AdministrativeOverride> byName, Set<String> drainedByFleet) {
        OverrideTable updated = new OverrideTable(byName, drainedByFleet);
        if (!overrides.equals(updated)) {
            overrides = updated;
            applyRules(now);
        }
    }

    /** Applies the rules that depend on time, where one is due; {@code now} is Unix time in ms. */
    public void tick(long now) {
        if (now >= nextTickAt) {
            applyRules(now);
        }
    }

    /** When {@link #tick} has something to do, in Unix ms; {@link Long#MAX_VALUE} for never. */
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

    /** All entries by name, those that are not listed for a known reason included. */
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

    /** The departed names as text, a line each, to be kept across a restart. */
    public String departuresAsText() {
        StringBuilder text = new StringBuilder();
        endpoints.forEach(
                (name, endpoint) -> {
                    if (endpoint.hasDeparted()) {
                        text.append(endpoint.departure(name).format()).append('\n');
                    }
                });
        return text.toString();
    }

    /**
     * Restores what {@link #saved} returned, before the first observation. Lines that cannot be
     * parsed are ignored, as are departures that are too long ago.
     */
    public void restore(long now, String text) {
        for (String line : text.split("\n")) {
            Departure departure = Departure.parse(line);
            if (departure != null && now - departure.departedAtMs() < rules.rememberMs()) {
                endpoints
                        .computeIfAbsent(departure.name(), name -> new TrackedEndpoint())
                        .restore(departure);
            }
        }
    }

    private void applyRules(long now) {
        nextTickAt =
                new EndpointFold(now, rules, sources.values(), overrides, endpoints, changeLog)
                        .run();
    }
}
