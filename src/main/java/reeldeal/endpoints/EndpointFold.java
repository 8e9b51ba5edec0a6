package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;
import reeldeal.endpoints.SourceStatements.Statement;

/**
 * Applies the rules of {@link EndpointView} once to all sources and names, at one time. An object
 * is used for one call of {@link #run}, on the view's thread; all lasting state belongs to the
 * sources and endpoints.
 */
final class EndpointFold {
    private static final int MAX_TRACKED_NAMES = 10_000;

    /** The number of departed names up to which none is forgotten because of its age. */
    private static final int MAX_OLD_DEPARTURES = 1_000;

    private static final String OVERRIDE_REASON = "the operator's word";

    private final long now;
    private final EndpointView.Rules rules;
    private final Collection<EndpointSource> sources;
    private final OverrideTable overrides;
    private final Map<String, TrackedEndpoint> endpoints;
    private final EndpointChangeLog changeLog;
    private long nextRunAt = Long.MAX_VALUE;

    EndpointFold(
            long now,
            EndpointView.Rules rules,
            Collection<EndpointSource> sources,
            OverrideTable overrides,
            Map<String, TrackedEndpoint> endpoints,
            EndpointChangeLog changeLog) {
        this.now = now;
        this.rules = rules;
        this.sources = sources;
        this.overrides = overrides;
        this.endpoints = endpoints;
        this.changeLog = changeLog;
    }

    /** Applies the rules, and returns the time at which they must be applied again. */
    long run() {
        Map<EndpointSource, Map<String, List<EndpointReport>>> reports = collectReports();
        List<TrackedEndpoint> damped = new ArrayList<>();
        endpoints.forEach(
                (name, endpoint) -> {
                    update(name, endpoint, findings(name, endpoint, reports));
                    if (endpoint.isDamped()) {
                        damped.add(endpoint);
                    }
                });
        damped.forEach(this::publishReadyIfCellHasNoOther);
        forgetDepartedNames();
        return nextRunAt;
    }

    private void runAgainAt(long time) {
        nextRunAt = Math.min(nextRunAt, time);
    }

    // ---- findings: the result of each source for each name ----

    /** Returns the reports of the sources that report, in the order of their ranks. */
    private Map<EndpointSource, Map<String, List<EndpointReport>>> collectReports() {
        Map<EndpointSource, Map<String, List<EndpointReport>>> bySource = new LinkedHashMap<>();
        for (EndpointSource source : sources) {
            runAgainAt(source.dropEmptySets(now, rules.emptyGraceMs()));
            if (source.isReporting()) {
                Map<String, List<EndpointReport>> byName = source.reportsByName();
                byName.keySet()
                        .forEach(
                                name ->
                                        endpoints
                                                .computeIfAbsent(name, key -> new TrackedEndpoint())
                                                .onReported(now));
                bySource.put(source, byName);
            }
        }
        return bySource;
    }

    /** Records what the sources say of a name, and returns their findings by rank. */
    private List<SourceFinding> findings(
            String name,
            TrackedEndpoint endpoint,
            Map<EndpointSource, Map<String, List<EndpointReport>>> reportsBySource) {
        List<SourceFinding> findings = new ArrayList<>();
        reportsBySource.forEach(
                (source, byName) -> {
                    List<EndpointReport> reports = byName.get(name);
                    if (reports == null) {
                        endpoint.statements().onNotListed(source.rank(), now);
                        return;
                    }
                    SourceFinding finding = resolve(source, endpoint, reports);
                    if (finding != null) {
                        findings.add(finding);
                    }
                });
        return findings;
    }

    /**
     * Rules 4 and 5: returns the finding of a source for a name, from one of several valid reports
     * or from the last valid one; null if the source has no finding.
     */
    private SourceFinding resolve(
            EndpointSource source, TrackedEndpoint endpoint, List<EndpointReport> reports) {
        // One draining report makes the name draining, whichever report gives the address.
        boolean draining = reports.stream().anyMatch(r -> r.state() != EndpointState.READY);
        List<EndpointReport> valid =
                reports.stream().filter(r -> r.invalidReason() == null).toList();
        if (valid.isEmpty()) {
            return holdLastValid(source, endpoint, reports.get(0), draining);
        }
        endpoint.statements().onListed(source.rank(), draining, now);
        ReportSelection selected = ReportSelection.select(valid, endpoint.published());
        return new SourceFinding(
                source,
                selected.report(),
                selected.address(),
                selected.cell(),
                selected.note(),
                false);
    }

    /**
     * Rule 4: keeps the statement of a source while it lists only invalid reports, and returns a
     * finding with the last valid report if the source describes the name. Returns null if there
     * was no valid report, or the hold period is over.
     */
    private SourceFinding holdLastValid(
            EndpointSource source,
            TrackedEndpoint endpoint,
            EndpointReport invalid,
            boolean draining) {
        SourceStatements statements = endpoint.statements();
        boolean listedBefore = statements.isListedBy(source.rank());
        if (draining) {
            statements.onDraining(source.rank(), now);
        }
        if (!listedBefore) {
            endpoint.rejectReports("waits: " + invalid.invalidReason() + " in " + source.name());
            return null;
        }
        long heldSince = statements.invalidSince(source.rank(), now);
        long holdEnd =
                heldSince + (invalid.withoutRecords() ? rules.emptyGraceMs() : rules.holdMs());
        if (now >= holdEnd) {
            endpoint.rejectReports(
                    invalid.invalidReason()
                            + " for "
                            + (now - heldSince)
                            + " ms in "
                            + source.name());
            if (!draining) {
                statements.onNotListed(source.rank(), now);
            }
            return null;
        }
        runAgainAt(holdEnd);
        if (!endpoint.hasValidReportOf(source.rank())) {
            return null;
        }
        return new SourceFinding(
                source,
                endpoint.lastValidReport(),
                endpoint.published().address(),
                endpoint.published().cell(),
                "; held: " + invalid.invalidReason(),
                true);
    }

    // ---- update of one name ----

    private void update(String name, TrackedEndpoint endpoint, List<SourceFinding> findings) {
        AdministrativeOverride override = overrides.of(name);
        String goneFrom = firstSourceThatSays(Statement.GONE, endpoint);
        if (override == AdministrativeOverride.REMOVED) {
            delist(name, endpoint, true, OVERRIDE_REASON);
        } else if (findings.isEmpty()) {
            String rejectionReason = endpoint.rejectionReason();
            delist(
                    name,
                    endpoint,
                    false,
                    rejectionReason.isEmpty() ? "listed no more" : rejectionReason);
        } else if (goneFrom != null && override != AdministrativeOverride.READY) {
            delist(name, endpoint, false, "listed no more in " + goneFrom);
        } else {
            list(name, endpoint, override, findings.get(0));
        }
    }

    /** Returns the name of the source of the highest rank that says so, or null. */
    private String firstSourceThatSays(Statement statement, TrackedEndpoint endpoint) {
        int rank = endpoint.statements().firstRankWith(statement);
        for (EndpointSource source : sources) {
            if (source.rank() == rank) {
                return source.name();
            }
        }
        return null;
    }

    /**
     * Publishes a name that is listed, as ready or draining.
     *
     * @param override the name's administrative override, or null
     * @param describingFinding the finding that gives the address
     */
    private void list(
            String name,
            TrackedEndpoint endpoint,
            AdministrativeOverride override,
            SourceFinding describingFinding) {
        endpoint.accept(describingFinding);
        endpoint.markListed();
        String drainedBy = firstSourceThatSays(Statement.DRAINING, endpoint);
        boolean readyBySources =
                override == AdministrativeOverride.READY || (override == null && drainedBy == null);
        boolean drainedByFleet = readyBySources && overrides.isDrainedByFleet(name);
        boolean ready = readyBySources && !drainedByFleet;
        boolean wasReady = endpoint.isReady();
        if (wasReady && !ready && !drainedByFleet) {
            endpoint.addPenalty(now, rules);
        }
        boolean damped = ready && !wasReady && isFlapping(endpoint);
        endpoint.setDamped(damped);
        double startedMs = endpoint.startTimeOf(describingFinding, readyBySources && !damped, now);
        if (readyBySources && !damped) {
            endpoint.markReturned();
        }
        endpoint.publish(
                now,
                new Searcher(
                        name,
                        describingFinding.address(),
                        describingFinding.report().zone(),
                        describingFinding.report().kind(),
                        describingFinding.cell(),
                        startedMs,
                        describingFinding.report().size(),
                        ready && !damped ? EndpointState.READY : EndpointState.DRAINING),
                describingFinding.source().name(),
                damped
                        ? dampedReason(endpoint) + describingFinding.note()
                        : listedReason(override, drainedByFleet, drainedBy)
                                + describingFinding.note(),
                changeLog);
    }

    private static String listedReason(
            AdministrativeOverride override, boolean drainedByFleet, String drainedBy) {
        if (drainedByFleet) {
            return EndpointView.DRAINED_BY_FLEET_REASON;
        }
        if (override != null) {
            return OVERRIDE_REASON;
        }
        return drainedBy == null ? "listed" : "status draining in " + drainedBy;
    }

    private String dampedReason(TrackedEndpoint endpoint) {
        return String.format(Locale.ROOT, "damped: penalty %.1f", endpoint.penalty(now, rules));
    }

    /**
     * Rule 7: whether a name that could become ready must wait for its penalty to decay. Schedules
     * the end of that wait.
     */
    private boolean isFlapping(TrackedEndpoint endpoint) {
        double penalty = endpoint.penalty(now, rules);
        if (penalty < (endpoint.isDamped() ? rules.flapReuse() : rules.flapLimit())) {
            return false;
        }
        double untilReuseMs =
                rules.flapHalfLifeMs() * Math.log(penalty / rules.flapReuse()) / Math.log(2);
        runAgainAt(now + 1 + (long) untilReuseMs);
        return true;
    }

    /** Rule 7: publishes a damped name as ready if its cell has no other ready searcher. */
    private void publishReadyIfCellHasNoOther(TrackedEndpoint endpoint) {
        Searcher dampedSearcher = endpoint.published();
        for (TrackedEndpoint other : endpoints.values()) {
            if (other.isReady() && other.published().cell() == dampedSearcher.cell()) {
                return;
            }
        }
        endpoint.setDamped(false);
        endpoint.markReturned();
        endpoint.publish(
                now,
                new Searcher(
                        dampedSearcher.name(),
                        dampedSearcher.address(),
                        dampedSearcher.zone(),
                        dampedSearcher.kind(),
                        dampedSearcher.cell(),
                        Math.max(dampedSearcher.startedMs(), (double) now),
                        dampedSearcher.size(),
                        EndpointState.READY),
                endpoint.publishedBy(),
                "listed; would be damped, but cell " + dampedSearcher.cell() + " has no other",
                changeLog);
    }

    /**
     * Rule 2: publishes a name that is not listed as draining, and as removed {@link
     * EndpointView.Rules#goneAfterMs} after its departure. A name that an override removes is
     * removed immediately.
     */
    private void delist(String name, TrackedEndpoint endpoint, boolean byOverride, String reason) {
        if (endpoint.isReady()) {
            endpoint.addPenalty(now, rules);
        }
        long removeAt = endpoint.markUnlisted(now) + rules.goneAfterMs();
        if (endpoint.published() == null) {
            endpoint.explainAbsence(now, name, reason, changeLog);
            return;
        }
        if (byOverride || now >= removeAt) {
            endpoint.publishRemoval(now, reason, changeLog);
            return;
        }
        runAgainAt(removeAt);
        endpoint.publish(
                now,
                TrackedEndpoint.withState(endpoint.published(), EndpointState.DRAINING),
                endpoint.publishedBy(),
                reason,
                changeLog);
    }

    /**
     * Drops names that no source has ever listed validly. What a source said of a name holds
     * without a limit of time, but new names appear all the time, so that the number of names is
     * limited: beyond the limits, the names that were reported longest ago are dropped.
     */
    private void forgetDepartedNames() {
        Set<String> reported = new HashSet<>();
        for (EndpointSource source : sources) {
            source.addNamesTo(reported);
        }
        List<Map.Entry<String, TrackedEndpoint>> departed = new ArrayList<>();
        for (Map.Entry<String, TrackedEndpoint> entry : endpoints.entrySet()) {
            if (entry.getValue().published() == null && !reported.contains(entry.getKey())) {
                departed.add(entry);
            }
        }
        departed.sort(Comparator.comparingLong(entry -> entry.getValue().lastReportedAt()));
        int others = endpoints.size() - departed.size();
        int remembered = departed.size();
        List<String> forgotten = new ArrayList<>();
        for (Map.Entry<String, TrackedEndpoint> entry : departed) {
            boolean old = now - entry.getValue().lastReportedAt() >= rules.rememberMs();
            if (entry.getValue().statements().isEmpty()
                    || (old && remembered > MAX_OLD_DEPARTURES)
                    || others + remembered > MAX_TRACKED_NAMES) {
                forgotten.add(entry.getKey());
                remembered--;
            }
        }
        endpoints.keySet().removeAll(forgotten);
    }
}
