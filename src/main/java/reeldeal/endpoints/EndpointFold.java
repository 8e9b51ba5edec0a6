package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;

/**
 * Applies the rules of {@link EndpointView} once to all sources and names, at one time. An object
 * is used for one call of {@link #run}, on the view's thread; all lasting state belongs to the
 * sources and endpoints.
 */
final class EndpointFold {
    private static final int MAX_TRACKED_NAMES = 10_000;
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
        Map<String, List<SourceFinding>> findings = new TreeMap<>();
        for (EndpointSource source : sources) {
            collectFindings(source, findings);
        }
        List<TrackedEndpoint> damped = new ArrayList<>();
        endpoints.forEach(
                (name, endpoint) -> {
                    update(name, endpoint, findings.getOrDefault(name, List.of()));
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

    private void collectFindings(EndpointSource source, Map<String, List<SourceFinding>> findings) {
        runAgainAt(source.dropEmptySets(now, rules.emptyGraceMs()));
        source.reportsByName()
                .forEach(
                        (name, reports) -> {
                            TrackedEndpoint endpoint =
                                    endpoints.computeIfAbsent(name, key -> new TrackedEndpoint());
                            SourceFinding finding = resolve(source, endpoint, reports);
                            if (finding != null) {
                                findings.computeIfAbsent(name, key -> new ArrayList<>())
                                        .add(finding);
                            }
                        });
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
        if (!valid.isEmpty()) {
            endpoint.onValidReport(source.rank());
            ReportSelection selected = ReportSelection.select(valid, endpoint.published());
            return new SourceFinding(
                    source,
                    draining ? selected.report().asDraining() : selected.report(),
                    selected.address(),
                    selected.cell(),
                    selected.note(),
                    false);
        }
        EndpointReport invalid = reports.get(0);
        SourceFinding held = holdLastValid(source, endpoint, invalid, draining);
        if (held != null || !draining) {
            return held;
        }
        return SourceFinding.drainingOnly(source, invalid);
    }

    /**
     * Rule 4: returns a finding with the last valid report while the source lists only invalid
     * ones; null if there was no valid report, or its hold period is over.
     */
    private SourceFinding holdLastValid(
            EndpointSource source,
            TrackedEndpoint endpoint,
            EndpointReport invalid,
            boolean draining) {
        if (!endpoint.hasValidReportOf(source.rank())) {
            endpoint.rejectReports("waits: " + invalid.invalidReason() + " in " + source.name());
            return null;
        }
        long heldSince = endpoint.startHold(now);
        long holdEnd =
                heldSince + (invalid.withoutRecords() ? rules.emptyGraceMs() : rules.holdMs());
        if (now >= holdEnd) {
            endpoint.rejectReports(
                    invalid.invalidReason()
                            + " for "
                            + (now - heldSince)
                            + " ms in "
                            + source.name());
            return null;
        }
        runAgainAt(holdEnd);
        EndpointReport lastValid = endpoint.lastValidReport();
        return new SourceFinding(
                source,
                draining ? lastValid.asDraining() : lastValid,
                endpoint.published().address(),
                endpoint.published().cell(),
                "; held: " + invalid.invalidReason(),
                true);
    }

    // ---- update of one name ----

    private void update(String name, TrackedEndpoint endpoint, List<SourceFinding> findings) {
        AdministrativeOverride override = overrides.of(name);
        boolean dropped = dropFromDescribingSource(endpoint, findings);
        SourceFinding describingFinding = null;
        SourceFinding drainingFinding = null;
        for (SourceFinding finding : findings) {
            if (isLaggingReport(endpoint, finding)) {
                continue;
            }
            if (describingFinding == null && finding.listsAddress()) {
                describingFinding = finding;
            }
            if (drainingFinding == null && finding.isDraining()) {
                drainingFinding = finding;
            }
        }
        if (override == AdministrativeOverride.REMOVED) {
            delist(name, endpoint, true, OVERRIDE_REASON, dropped);
        } else if (describingFinding == null) {
            String rejectionReason = endpoint.rejectionReason();
            String reason = rejectionReason.isEmpty() ? "listed no more" : rejectionReason;
            delist(name, endpoint, false, reason, dropped);
        } else {
            list(name, endpoint, override, describingFinding, drainingFinding);
        }
    }

    /**
     * Rule 6: records a departure if the source that described a name does not list it any more,
     * although the source has not expired. Other sources that still list the name are assumed to
     * lag behind.
     *
     * @return whether the source dropped the name
     */
    private boolean dropFromDescribingSource(
            TrackedEndpoint endpoint, List<SourceFinding> findings) {
        int rank = endpoint.describingRank();
        if (endpoint.published() == null || rank == Integer.MAX_VALUE || isExpired(rank)) {
            return false;
        }
        for (SourceFinding finding : findings) {
            if (finding.source().rank() == rank && finding.listsAddress()) {
                return false;
            }
        }
        endpoint.recordDropBySource(now, rules);
        return true;
    }

    /** Rule 6: whether a source of lower rank still lists a process that a higher one dropped. */
    private boolean isLaggingReport(TrackedEndpoint endpoint, SourceFinding finding) {
        return endpoint.hasDeparted()
                && finding.source().rank() > endpoint.departedRank()
                && finding.report().startedMs() <= endpoint.departedAt()
                && !isExpired(endpoint.departedRank());
    }

    private boolean isExpired(int rank) {
        for (EndpointSource source : sources) {
            if (source.rank() == rank && source.isExpired()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Publishes a name that is listed, as ready or draining.
     *
     * @param override the name's administrative override, or null
     * @param describingFinding the finding that gives the address
     * @param drainingFinding the first finding with a draining status, or null
     */
    private void list(
            String name,
            TrackedEndpoint endpoint,
            AdministrativeOverride override,
            SourceFinding describingFinding,
            SourceFinding drainingFinding) {
        endpoint.accept(describingFinding);
        boolean readyBySources =
                override == AdministrativeOverride.READY
                        || (override == null && drainingFinding == null);
        boolean drainedByFleet = readyBySources && overrides.isDrainedByFleet(name);
        boolean ready = readyBySources && !drainedByFleet;
        boolean wasReady = endpoint.isReady();
        if (wasReady && !ready && !drainedByFleet) {
            SourceFinding cause = drainingFinding == null ? describingFinding : drainingFinding;
            endpoint.recordDeparture(now, cause.source().rank(), rules);
        }
        boolean damped = ready && !wasReady && isFlapping(endpoint);
        endpoint.setDamped(damped);
        double startedMs = endpoint.startTimeOf(describingFinding, readyBySources && !damped, now);
        if (readyBySources && !damped) {
            endpoint.clearDeparture();
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
                        : listedReason(override, drainedByFleet, drainingFinding)
                                + describingFinding.note(),
                changeLog);
    }

    private static String listedReason(
            AdministrativeOverride override,
            boolean drainedByFleet,
            SourceFinding drainingFinding) {
        if (drainedByFleet) {
            return EndpointView.DRAINED_BY_FLEET_REASON;
        }
        if (override != null) {
            return OVERRIDE_REASON;
        }
        return drainingFinding == null
                ? "listed"
                : "status draining in " + drainingFinding.source().name();
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
        endpoint.clearDeparture();
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
    private void delist(
            String name,
            TrackedEndpoint endpoint,
            boolean byOverride,
            String reason,
            boolean droppedBySource) {
        endpoint.markUnlisted();
        if (endpoint.published() == null) {
            endpoint.explainAbsence(now, name, reason, changeLog);
            return;
        }
        if (endpoint.isReady() && !droppedBySource) {
            endpoint.recordDeparture(
                    now, byOverride ? Integer.MAX_VALUE : endpoint.describingRank(), rules);
        } else {
            endpoint.startDepartureUnlessStarted(now);
        }
        long removeAt = endpoint.departedAt() + rules.goneAfterMs();
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
     * Drops names that departed long ago or were never valid. New names appear all the time, so
     * that the number of names is limited as well; the oldest departures are dropped first.
     */
    private void forgetDepartedNames() {
        Set<String> reported = new HashSet<>();
        for (EndpointSource source : sources) {
            source.addNamesTo(reported);
        }
        endpoints
                .entrySet()
                .removeIf(
                        entry ->
                                isForgettable(entry, reported)
                                        && now - entry.getValue().departedAt()
                                                >= rules.rememberMs());
        while (endpoints.size() > MAX_TRACKED_NAMES) {
            String oldest =
                    endpoints.entrySet().stream()
                            .filter(entry -> isForgettable(entry, reported))
                            .min(Comparator.comparingLong(entry -> entry.getValue().departedAt()))
                            .map(Map.Entry::getKey)
                            .orElse(null);
            if (oldest == null) {
                return;
            }
            endpoints.remove(oldest);
        }
    }

    private static boolean isForgettable(
            Map.Entry<String, TrackedEndpoint> entry, Set<String> reported) {
        return entry.getValue().published() == null && !reported.contains(entry.getKey());
    }
}
