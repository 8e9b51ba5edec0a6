package reeldeal.fleet.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.disruption.BudgetLimits;

/** Handles the read-only operations: reports of members, permits and the release. */
final class FleetReports {
    private final BudgetLimits limits;

    FleetReports(BudgetLimits limits) {
        this.limits = limits;
    }

    /** Reports one line for each broker. */
    AdminResult members(AdminRequest request) {
        List<String> lines = new ArrayList<>();
        for (Member member : request.fleet().members().values()) {
            lines.add(memberLine(request, member));
        }
        return answer(lines);
    }

    private static String memberLine(AdminRequest request, Member member) {
        boolean isDrained = request.fleet().drainMark(Kind.BROKER, member.name()) != null;
        FormAttributes line =
                new FormAttributes()
                        .with("name", member.name())
                        .with("state", lowerCase(member.state().stored()))
                        .with("incarnation", member.incarnation())
                        .with("zone", member.zone())
                        .with("program", member.program())
                        .with("config", member.config())
                        .with("drain", isDrained)
                        .with("reason", member.reason());
        long silenceMs = request.silenceMs().applyAsLong(member);
        if (silenceMs >= 0) {
            line.with("silent_ms", silenceMs);
        }
        return line.toString();
    }

    /** Reports one line for each member that is out, and one for a limit that is exceeded. */
    AdminResult permits(AdminRequest request) {
        FleetView fleet = request.fleet();
        List<String> lines = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (Permit permit : fleet.permits(kind).values()) {
                lines.add(permitLine(kind.lowerCase(), permit));
            }
        }
        for (String name : limits.brokersOut(fleet)) {
            if (!fleet.permits(Kind.BROKER).containsKey(name)) {
                Member member = fleet.members().get(name);
                String state = lowerCase(member.state().stored());
                long version = member.stateVersion();
                lines.add(
                        permitLine(
                                "broker",
                                new Permit(
                                        Kind.BROKER, name, "", "itself", false, state, version)));
            }
        }
        String violation = limits.violation(fleet, request.observations());
        if (violation != null) {
            lines.add(
                    permitLine("budget", new Permit(Kind.BROKER, "", "", "", false, violation, 0)));
        }
        return answer(lines);
    }

    private static String permitLine(String kind, Permit permit) {
        return new FormAttributes()
                .with("kind", kind)
                .with("name", permit.name())
                .with("by", permit.requestedBy())
                .with("planned", permit.planned())
                .with("version", permit.version())
                .with("reason", permit.reason())
                .toString();
    }

    /** Reports one line for the release and one for each of its members, ordered by wave. */
    AdminResult release(AdminRequest request) {
        Release release = request.fleet().release();
        if (release == null) {
            return new AdminResult.Rejection("no release has been planned");
        }
        List<String> lines = new ArrayList<>();
        lines.add(releaseLine(release));
        request.fleet().steps().values().stream()
                .sorted(Comparator.comparingInt(Step::wave))
                .map(FleetReports::stepLine)
                .forEach(lines::add);
        return answer(lines);
    }

    private static String releaseLine(Release release) {
        return new FormAttributes()
                .with("id", release.id())
                .with("kind", release.kind().lowerCase())
                .with("what", release.artifact())
                .with("to", release.targetVersion())
                .with("way", direction(release.rollingBack()))
                .with("progress", lowerCase(release.progress().stored()))
                .with("reason", release.reason())
                .with("settle_ms", release.settleMs())
                .with("step_ms", release.stepMs())
                .toString();
    }

    private static String stepLine(Step step) {
        return new FormAttributes()
                .with("name", step.name())
                .with("wave", step.wave())
                .with("way", direction(step.rollingBack()))
                .with("stage", lowerCase(step.stage().stored()))
                .with("from", step.previousVersion())
                .toString();
    }

    private static String direction(boolean rollingBack) {
        return rollingBack ? "back" : "forward";
    }

    private static AdminResult answer(List<String> lines) {
        return new AdminResult.Answer(String.join("\n", lines));
    }

    private static String lowerCase(String stored) {
        return stored.toLowerCase(Locale.ROOT);
    }
}
