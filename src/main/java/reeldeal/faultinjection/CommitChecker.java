package reeldeal.faultinjection;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.fleet.DisruptionPolicy;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FormAttributes;

/**
 * Checks the fleet's rules over the commits of the store's log: planned permits stay within the
 * disruption budget, a broker's permit is freed only when the broker is seen to serve again, and
 * steps of a rollout disrupt members only while it is running.
 */
final class CommitChecker {
    private final List<History.Event> events;
    private final Findings findings;
    private final RequestRecordChecker requestRecordChecker;
    private final RecoveryChecker recoveryChecker;
    private final Map<String, FleetView.Value> values = new TreeMap<>();
    private int commits;
    private int grants;

    CommitChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
        requestRecordChecker = new RequestRecordChecker(events, findings);
        recoveryChecker = new RecoveryChecker(events, findings);
    }

    void check() {
        FleetView before = new FleetView(Map.of());
        for (History.Event event : events) {
            if (event.is("commit")) {
                before = applyCommit(before, FormAttributes.of(event.detail()));
            }
        }
        findings.addFigure(
                "commits of the fleet's and of work's",
                commits + ", " + grants + " of them grants");
        requestRecordChecker.check();
        recoveryChecker.check();
    }

    /** Applies a commit, checks what it changed, and returns the fleet after it. */
    private FleetView applyCommit(FleetView before, FormAttributes commit) {
        commits++;
        Map<String, String> changes = commit.all();
        long version = commit.number("version", 0);
        requestRecordChecker.applyCommit(changes, version, before);
        if (changes.keySet().stream().noneMatch(key -> key.startsWith(FleetView.ROOT))) {
            return before;
        }
        changes.forEach((key, change) -> apply(key, change, version));
        FleetView after = new FleetView(new TreeMap<>(values));
        for (Kind kind : Kind.values()) {
            checkGrants(before, after, kind, version);
            checkFreedSlots(before, after, kind, version);
        }
        checkSteps(before, after, version);
        recoveryChecker.checkCommit(after, version);
        return after;
    }

    /** Applies the change of one key: {@code +VALUE}, or {@code -} for a key that was removed. */
    private void apply(String key, String change, long version) {
        if (!key.startsWith(FleetView.ROOT)) {
            return;
        }
        if (change.startsWith("+")) {
            values.put(key, new FleetView.Value(change.substring(1), version));
        } else {
            values.remove(key);
        }
    }

    private void addViolation(long version, String description) {
        findings.addViolation("version " + version + ": " + description);
    }

    private void checkGrants(FleetView before, FleetView after, Kind kind, long version) {
        for (Permit permit : after.permits(kind).values()) {
            if (!permit.planned() || before.permits(kind).containsKey(permit.name())) {
                continue;
            }
            grants++;
            long planned = after.permits(kind).values().stream().filter(Permit::planned).count();
            long allowed = allowedOut(after, kind);
            if (planned > allowed) {
                addViolation(
                        version,
                        planned
                                + " "
                                + kind.lowerCase()
                                + "s hold planned permits, "
                                + allowed
                                + " allowed");
            }
        }
    }

    private static long allowedOut(FleetView fleet, Kind kind) {
        DisruptionPolicy policy = fleet.policy();
        return kind == Kind.BROKER
                ? DisruptionPolicy.resolveLimit(policy.brokersOut(), fleet.members().size())
                : DisruptionPolicy.resolveLimit(policy.searchersOut(), fleet.searchers().size());
    }

    private void checkFreedSlots(FleetView before, FleetView after, Kind kind, long version) {
        for (Permit permit : before.permits(kind).values()) {
            boolean isFreed = !after.permits(kind).containsKey(permit.name());
            FleetView.Member member = after.members().get(permit.name());
            if (!isFreed || kind != Kind.BROKER || member == null) {
                continue;
            }
            boolean sameProcess = member.bootId().equals(permit.processMark());
            boolean undrained = sameProcess && after.drainMark(kind, permit.name()) == null;
            if (member.state() != State.SERVING || (sameProcess && !undrained)) {
                addViolation(
                        version,
                        "the permit of "
                                + permit.name()
                                + " was freed before it served again, undrained or in a new process; its state is "
                                + member.state());
            }
        }
    }

    private void checkSteps(FleetView before, FleetView after, long version) {
        for (FleetView.Step step : after.steps().values()) {
            FleetView.Step previous = before.steps().get(step.name());
            if (previous == null) {
                continue;
            }
            boolean disrupts =
                    step.stage() == Stage.DRAIN
                            || (step.stage() == Stage.RESTART && previous.stage() != Stage.RESTART);
            if (previous.stage() != step.stage() && disrupts && !before.release().isRunning()) {
                addViolation(
                        version,
                        step.name()
                                + " moved to "
                                + step.stage()
                                + " while the release was not RUNNING but "
                                + before.release().progress());
            }
            boolean fromDrain =
                    previous.stage() == Stage.DRAIN || previous.stage() == Stage.RESTART;
            if (step.stage() == Stage.RESTART && !fromDrain) {
                addViolation(
                        version,
                        step.name()
                                + " moved to RESTART, expected after DRAIN, from "
                                + previous.stage());
            }
        }
    }
}
