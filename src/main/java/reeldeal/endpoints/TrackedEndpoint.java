package reeldeal.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;

/**
 * The state of the view for one name: the published entry, the last valid report, and what the
 * sources said. Owned by the view and used on its thread; times are Unix milliseconds.
 */
final class TrackedEndpoint {
    private static final long NEVER = -1;
    private static final int NO_RANK = Integer.MAX_VALUE;
    private static final Pattern PENALTY = Pattern.compile("penalty [0-9.]+");

    private Searcher published; // null while the name is not listed
    private String publishedBy = "";
    private String reason = "";
    private long stateSince;

    private EndpointReport lastValidReport; // may be held while there are only invalid ones
    private int describingRank = NO_RANK;
    private String rejectionReason = ""; // "" while a report is used

    private final SourceStatements statements = new SourceStatements();
    private long lastReportedAt;

    /** Time since which the name is published although it is not listed any more. */
    private long unlistedSince = NEVER;

    /** Whether the name was not listed since it was last ready. */
    private boolean returnsAsNewProcess;

    private double penalty;
    private long penaltyAt;
    private boolean damped;

    Searcher published() {
        return published;
    }

    String publishedBy() {
        return publishedBy;
    }

    /** Returns the entry of the view; null if the name is not listed and there is no reason. */
    EndpointView.Entry entry(String name) {
        if (published == null && reason.isEmpty()) {
            return null;
        }
        Searcher searcher =
                published == null
                        ? new Searcher(name, "", "", "", 0, 0, 1, EndpointState.REMOVED)
                        : published;
        return new EndpointView.Entry(searcher, publishedBy, stateSince, reason);
    }

    boolean isReady() {
        return published != null && published.state() == EndpointState.READY;
    }

    // ---- reports ----

    /** Returns what the sources said of the name. */
    SourceStatements statements() {
        return statements;
    }

    /** Records that a source has reports of the name, valid or not. */
    void onReported(long now) {
        lastReportedAt = now;
    }

    long lastReportedAt() {
        return lastReportedAt;
    }

    /** Whether the last valid report is of the source with this rank, and the name is published. */
    boolean hasValidReportOf(int rank) {
        return lastValidReport != null && published != null && describingRank == rank;
    }

    EndpointReport lastValidReport() {
        return lastValidReport;
    }

    void rejectReports(String newReason) {
        rejectionReason = newReason;
    }

    String rejectionReason() {
        return rejectionReason;
    }

    /** Makes a source's finding the description of the name. */
    void accept(SourceFinding finding) {
        rejectionReason = "";
        if (!finding.held()) {
            lastValidReport = finding.report();
            describingRank = finding.source().rank();
        }
    }

    private void dropValidReport() {
        lastValidReport = null;
        describingRank = NO_RANK;
    }

    // ---- departures ----

    /**
     * Rule 2: returns the start time to publish, in Unix ms. The process counts as a new one if its
     * address changed, or if no source listed the name for some time; the fleet relies on this to
     * see that a searcher that it drained has come back as a new process.
     *
     * @param comesBack whether the sources list the name as ready and it is not damped
     */
    double startTimeOf(SourceFinding finding, boolean comesBack, long now) {
        double reported = finding.report().startedMs();
        boolean moved = published != null && !published.address().equals(finding.address());
        if (comesBack && (moved || returnsAsNewProcess)) {
            return Math.max(reported, (double) now);
        }
        if (published != null && reported <= published.startedMs()) {
            return published.startedMs();
        }
        return reported;
    }

    /** Adds to the penalty of a name that stops being ready. */
    void addPenalty(long now, EndpointView.Rules rules) {
        penalty = penalty(now, rules) + 1;
        penaltyAt = now;
    }

    /**
     * Records that the name is not listed; a published name then comes back as a new process.
     *
     * @return the time since which the name has not been listed
     */
    long markUnlisted(long now) {
        damped = false;
        returnsAsNewProcess |= published != null;
        if (unlistedSince < 0) {
            unlistedSince = now;
        }
        return unlistedSince;
    }

    /** Records that the name is listed, though it may be draining. */
    void markListed() {
        unlistedSince = NEVER;
    }

    /** Records that the name is ready, so that its process has come back. */
    void markReturned() {
        returnsAsNewProcess = false;
    }

    List<Departure> departures(String name) {
        return statements.departures(name, returnsAsNewProcess);
    }

    /** Restores the statement of a source from before a restart. */
    void restore(long now, Departure departure) {
        statements.restore(departure);
        if (published == null) {
            returnsAsNewProcess |= departure.unlisted();
            lastReportedAt = now;
            if (reason.isEmpty()) {
                reason = "left before the restart";
                stateSince = departure.departedAtMs();
            }
        }
    }

    // ---- flap damping ----

    double penalty(long now, EndpointView.Rules rules) {
        return penalty
                * Math.pow(0.5, Math.max(0, now - penaltyAt) / (double) rules.flapHalfLifeMs());
    }

    boolean isDamped() {
        return damped;
    }

    void setDamped(boolean value) {
        damped = value;
    }

    // ---- publishing ----

    /** Publishes an entry, with a log line if its state, address or reason changed. */
    void publish(
            long now,
            Searcher searcher,
            String source,
            String newReason,
            EndpointChangeLog changeLog) {
        boolean sameState = published != null && published.state() == searcher.state();
        if (!searcher.equals(published)) {
            changeLog.addChange(searcher);
        }
        if (!sameState
                || !sameReason(newReason)
                || !Objects.equals(published.address(), searcher.address())) {
            changeLog.log(
                    searcher.name()
                            + ": "
                            + (searcher.state() == EndpointState.READY ? "ready" : "draining")
                            + " at "
                            + searcher.address()
                            + ", cell "
                            + searcher.cell()
                            + ", by "
                            + source
                            + ": "
                            + newReason);
        }
        if (!sameState) {
            stateSince = now;
        }
        published = searcher;
        publishedBy = source;
        reason = newReason;
    }

    /** Compares reasons without the penalty, which decays continuously. */
    private boolean sameReason(String newReason) {
        return PENALTY.matcher(reason)
                .replaceAll("")
                .equals(PENALTY.matcher(newReason).replaceAll(""));
    }

    /** Publishes the removal of a listed name. */
    void publishRemoval(long now, String removalReason, EndpointChangeLog changeLog) {
        changeLog.addChange(withState(published, EndpointState.REMOVED));
        changeLog.log(published.name() + ": gone: " + removalReason);
        published = null;
        dropValidReport();
        reason = "gone: " + removalReason;
        stateSince = now;
    }

    /** Records and logs the reason for which a name that was never listed is not listed. */
    void explainAbsence(long now, String name, String absenceReason, EndpointChangeLog changeLog) {
        if (!reason.equals(absenceReason) && statements.isEmpty()) {
            reason = absenceReason;
            stateSince = now;
            changeLog.log(name + ": not listed: " + absenceReason);
        }
    }

    /** Returns the same searcher with another state. */
    static Searcher withState(Searcher searcher, EndpointState state) {
        return new Searcher(
                searcher.name(),
                searcher.address(),
                searcher.zone(),
                searcher.kind(),
                searcher.cell(),
                searcher.startedMs(),
                searcher.size(),
                state);
    }
}
